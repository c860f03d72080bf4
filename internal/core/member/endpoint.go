package member

import (
	"maps"
	"time"

	"jaywind"
	"jaywind/internal/core/table"
)

// NoteEndpointLeaving is the kind of a note on an endpoint that reports itself as leaving. Its key is the endpoint; its value is the
// time of the report by the endpoint's clock, negative when the endpoint reports that it no longer leaves.
const NoteEndpointLeaving = "endpoint"

const (
	endpointStatusTTL      = time.Minute      // how long an endpoint's status counts without another report or note
	endpointStatusRefresh  = 30 * time.Second // age at which a leaving status is sent again
	endpointStatusRounding = 10 * time.Second // times are rounded up to this, so that routers which learn of it together send the same note
)

// handleEndpointReport takes the leave status from an endpoint's load report and notifies all routers of a change.
// Each router polls its endpoints in turn, so without the note some would learn of it late.
func handleEndpointReport(s *table.State, e table.LoadReported) {
	row := s.Endpoints[e.Endpoint]
	if row == nil || e.Err != nil {
		return
	}
	at := e.Load.MeasuredAt
	if at.IsZero() {
		at = s.Now
	}
	last := s.Fleet.EndpointLeaveStatus[e.Endpoint]
	changed := e.Load.Leaving != last.Leaving && at.UnixMilli() > last.ReportedAt
	refresh := last.Leaving && e.Load.Leaving && s.Now.Sub(last.ReceivedAt) >= endpointStatusRefresh
	if changed || refresh {
		broadcastEndpointStatus(s, e.Endpoint, e.Load.Leaving, at)
	}
	row.Leaving = isLeaving(s, e.Endpoint, e.Load)
}

func broadcastEndpointStatus(s *table.State, id jaywind.EndpointID, leaving bool, at time.Time) {
	rounded := at.Truncate(endpointStatusRounding).Add(endpointStatusRounding)
	status := table.LeaveStatus{Leaving: leaving, ReportedAt: rounded.UnixMilli(), ReceivedAt: s.Now}
	s.Fleet.EndpointLeaveStatus[id] = status
	s.Fleet.Broadcast(leaveNote(NoteEndpointLeaving, string(id), status))
}

// mergeEndpointStatus applies a note from another router if it is later than what is known of the endpoint.
func mergeEndpointStatus(s *table.State, n jaywind.Note) {
	id := jaywind.EndpointID(n.Key)
	status, ok := parseLeaveNote(n)
	if !ok || status.ReportedAt <= s.Fleet.EndpointLeaveStatus[id].ReportedAt {
		return
	}
	status.ReceivedAt = s.Now
	s.Fleet.EndpointLeaveStatus[id] = status
	if row := s.Endpoints[id]; row != nil {
		row.Leaving = isLeaving(s, id, row.Load)
	}
}

// isLeaving tells whether an endpoint is leaving. A leaving VM in the VM list decides first, then the last status known to any
// router until it expires, and then the last report received here.
func isLeaving(s *table.State, id jaywind.EndpointID, l jaywind.Load) bool {
	if onLeavingVM(s, id) {
		return true
	}
	status := s.Fleet.EndpointLeaveStatus[id]
	if s.Now.Sub(status.ReceivedAt) < endpointStatusTTL {
		return status.Leaving
	}
	return l.Leaving
}

// pruneEndpointStatuses drops the statuses of endpoints that are no longer in the rules.
func pruneEndpointStatuses(s *table.State) {
	maps.DeleteFunc(s.Fleet.EndpointLeaveStatus, func(id jaywind.EndpointID, _ table.LeaveStatus) bool {
		_, known := s.Rules.Endpoints[id]
		return !known
	})
}
