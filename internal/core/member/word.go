package member

import (
	"maps"
	"time"

	"jaywind"
	"jaywind/internal/core/table"
)

// NoteEndpoint is the kind of a note that names an endpoint with the time, of its own clock, when it said that it leaves, negative for its return.
const NoteEndpoint = "endpoint"

const (
	wordHold  = time.Minute      // for which the word of an endpoint is held when its own reports don't repeat it
	wordRenew = 30 * time.Second // after which a word is told again
	wordGrain = 10 * time.Second // to which its time is rounded up, so that routers which hear it at once tell the same
)

// takeWord keeps what an endpoint's load report says of its leaving, and tells all routers of what was
// not known: each polls its endpoints in turn, so that one alone would hear of it late.
func takeWord(s *table.State, e table.LoadReported) {
	row := s.Endpoints[e.Endpoint]
	if row == nil || e.Err != nil {
		return
	}
	at := e.Load.MeasuredAt
	if at.IsZero() {
		at = s.Now
	}
	last := s.Fleet.EndpointNotices[e.Endpoint]
	changed := e.Load.Leaving != last.Leaving && at.UnixMilli() > last.SaidAt
	old := last.Leaving && e.Load.Leaving && s.Now.Sub(last.HeardAt) >= wordRenew
	if changed || old {
		tellWord(s, e.Endpoint, e.Load.Leaving, at)
	}
	row.Leaving = leaves(s, e.Endpoint, e.Load)
}

func tellWord(s *table.State, id jaywind.EndpointID, leaving bool, at time.Time) {
	rounded := at.Truncate(wordGrain).Add(wordGrain)
	word := table.LeaveNotice{Leaving: leaving, SaidAt: rounded.UnixMilli(), HeardAt: s.Now}
	s.Fleet.EndpointNotices[id] = word
	s.Fleet.Broadcast(noteOf(NoteEndpoint, string(id), word))
}

// hearWord keeps the later word of an endpoint that another router has heard.
func hearWord(s *table.State, n jaywind.Note) {
	id := jaywind.EndpointID(n.Key)
	word, ok := wordOf(n)
	if !ok || word.SaidAt <= s.Fleet.EndpointNotices[id].SaidAt {
		return
	}
	word.HeardAt = s.Now
	s.Fleet.EndpointNotices[id] = word
	if row := s.Endpoints[id]; row != nil {
		row.Leaving = leaves(s, id, row.Load)
	}
}

// leaves tells whether an endpoint leaves by the VM list or, as long as that is held, by its last word to
// any router, and otherwise by its last report here.
func leaves(s *table.State, id jaywind.EndpointID, l jaywind.Load) bool {
	if onLeavingVM(s, id) {
		return true
	}
	word := s.Fleet.EndpointNotices[id]
	if s.Now.Sub(word.HeardAt) < wordHold {
		return word.Leaving
	}
	return l.Leaving
}

// forgetWords drops the words of endpoints that the rules no longer have.
func forgetWords(s *table.State) {
	maps.DeleteFunc(s.Fleet.EndpointNotices, func(id jaywind.EndpointID, _ table.LeaveNotice) bool {
		_, known := s.Rules.Endpoints[id]
		return !known
	})
}
