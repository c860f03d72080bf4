package member

import (
	"strconv"
	"time"

	"jaywind"
	"jaywind/internal/core/table"
)

// LeaveTracker marks the endpoints that are leaving, as reported by themselves or by the VM list. Drain rules are not
// included; package place checks them when it chooses an endpoint.
type LeaveTracker struct{}

// Step handles the load reports, VM lists and notes of the tick, and marks the endpoints again after changes.
func (LeaveTracker) Step(s *table.State) {
	for _, e := range s.Events {
		switch e := e.(type) {
		case table.LoadReported:
			handleEndpointReport(s, e)
		case table.VMsListed:
			updateVMStatuses(s, e.VMs)
		case table.RulesReceived:
			pruneEndpointStatuses(s)
			markEndpoints(s)
		}
	}
	for _, n := range s.Fleet.NotesIn {
		switch n.Kind {
		case NoteVMLeaving:
			mergeVMStatus(s, n)
		case NoteEndpointLeaving:
			mergeEndpointStatus(s, n)
		}
	}
}

// updateVMStatuses records which VMs are leaving and notifies all routers of changes.
//
// Routers read the VM list with different delays. A list in which a VM is no
// longer leaving is therefore believed only after vmReturnDelay, when it can't
// be an older list.
func updateVMStatuses(s *table.State, machines []jaywind.ListedVM) {
	now := s.Now.UnixMilli()
	for _, m := range machines {
		last := s.Fleet.VMLeaveStatus[m.VM]
		mayReturn := last.Leaving && now-last.ReportedAt >= vmReturnDelay.Milliseconds()
		if m.Leaving && !last.Leaving || !m.Leaving && mayReturn {
			status := table.LeaveStatus{Leaving: m.Leaving, ReportedAt: now}
			s.Fleet.VMLeaveStatus[m.VM] = status
			s.Fleet.Broadcast(leaveNote(NoteVMLeaving, string(m.VM), status))
		}
	}
	markEndpoints(s)
}

const vmReturnDelay = time.Minute // from when a VM was said to leave until a list may say that it stays

// leaveNote returns the note for a leave status. Its value is the time of the status, negative if it says not leaving.
func leaveNote(kind, key string, status table.LeaveStatus) jaywind.Note {
	at := status.ReportedAt
	if !status.Leaving {
		at = -at
	}
	return jaywind.Note{Kind: kind, Key: key, Value: []byte(strconv.FormatInt(at, 10))}
}

func parseLeaveNote(n jaywind.Note) (table.LeaveStatus, bool) {
	at, err := strconv.ParseInt(string(n.Value), 10, 64)
	return table.LeaveStatus{Leaving: at > 0, ReportedAt: max(at, -at)}, err == nil
}

// mergeVMStatus applies a note from another router if it is later than what is known of the VM.
func mergeVMStatus(s *table.State, n jaywind.Note) {
	status, ok := parseLeaveNote(n)
	if ok && status.ReportedAt > s.Fleet.VMLeaveStatus[jaywind.VM(n.Key)].ReportedAt {
		s.Fleet.VMLeaveStatus[jaywind.VM(n.Key)] = status
		markEndpoints(s)
	}
}

// markEndpoints updates the endpoints on VMs that have a leave status.
func markEndpoints(s *table.State) {
	if s.Rules == nil {
		return
	}
	for id, row := range s.Endpoints {
		if _, known := s.Fleet.VMLeaveStatus[s.Rules.Endpoints[id].VM]; known {
			row.Leaving = isLeaving(s, id, row.Load)
		}
	}
}

func onLeavingVM(s *table.State, id jaywind.EndpointID) bool {
	if s.Rules == nil {
		return false
	}
	return s.Fleet.VMLeaveStatus[s.Rules.Endpoints[id].VM].Leaving
}

// NoteVMLeaving is the kind of a note on a VM that is leaving according to the platform's VM list. Its key is the VM; its value is
// the time at which the list was read, negative when the VM is no longer leaving.
const NoteVMLeaving = "leaving"
