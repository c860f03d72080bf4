package member

import (
	"strconv"
	"time"

	"jaywind"
	"jaywind/internal/core/table"
)

// LeaveStatus marks the endpoints that leave, by their own word or by the VM list; drain rules are read at placement.
type LeaveStatus struct{}

// Step takes the load reports and notes of the tick; endpoints are looked at again when what is known has changed.
func (LeaveStatus) Step(s *table.State) {
	for _, e := range s.Events {
		switch e := e.(type) {
		case table.LoadReported:
			takeWord(s, e)
		case table.MachinesListed:
			listVMs(s, e.Machines)
		case table.RulesReceived:
			forgetWords(s)
			markVMs(s)
		}
	}
	for _, n := range s.Fleet.NotesIn {
		switch n.Kind {
		case NoteLeaving:
			takeVM(s, n)
		case NoteEndpoint:
			hearWord(s, n)
		}
	}
}

// listVMs keeps which VMs are leaving, and tells all routers of what was not known.
//
// Lists lag by different times, so one that no longer says that a VM leaves
// is believed only after a while, when it can't be an older one.
func listVMs(s *table.State, machines []jaywind.ListedVM) {
	now := s.Now.UnixMilli()
	for _, m := range machines {
		last := s.Fleet.VMNotices[m.VM]
		back := last.Leaving && now-last.SaidAt >= leaveHold.Milliseconds()
		if m.Leaving && !last.Leaving || !m.Leaving && back {
			word := table.LeaveNotice{Leaving: m.Leaving, SaidAt: now}
			s.Fleet.VMNotices[m.VM] = word
			s.Fleet.Broadcast(noteOf(NoteLeaving, string(m.VM), word))
		}
	}
	markVMs(s)
}

const leaveHold = time.Minute // before a VM that was said to leave is taken back

// noteOf returns the note that tells a word; a negative time says that what had left is back.
func noteOf(kind, key string, w table.LeaveNotice) jaywind.Note {
	at := w.SaidAt
	if !w.Leaving {
		at = -at
	}
	return jaywind.Note{Kind: kind, Key: key, Value: []byte(strconv.FormatInt(at, 10))}
}

func wordOf(n jaywind.Note) (table.LeaveNotice, bool) {
	at, err := strconv.ParseInt(string(n.Value), 10, 64)
	return table.LeaveNotice{Leaving: at > 0, SaidAt: max(at, -at)}, err == nil
}

// takeVM keeps the later word on a VM.
func takeVM(s *table.State, n jaywind.Note) {
	word, ok := wordOf(n)
	if ok && word.SaidAt > s.Fleet.VMNotices[jaywind.VM(n.Key)].SaidAt {
		s.Fleet.VMNotices[jaywind.VM(n.Key)] = word
		markVMs(s)
	}
}

// markVMs marks the endpoints on VMs that the list has spoken of.
func markVMs(s *table.State) {
	if s.Rules == nil {
		return
	}
	for id, row := range s.Endpoints {
		if _, spoken := s.Fleet.VMNotices[s.Rules.Endpoints[id].VM]; spoken {
			row.Leaving = leaves(s, id, row.Load)
		}
	}
}

func onLeavingVM(s *table.State, id jaywind.EndpointID) bool {
	if s.Rules == nil {
		return false
	}
	return s.Fleet.VMNotices[s.Rules.Endpoints[id].VM].Leaving
}

// NoteLeaving is the kind of a note that names a VM with the time when the platform's list said that it leaves, negative for its return.
const NoteLeaving = "leaving"
