package generate

import (
	"errors"
	"maps"
	"slices"
	"time"

	"jaywind"
	"jaywind/internal/core/table"
)

// Silence probes the engines of streams that have been quiet for too long.
type Silence struct{}

// Step looks at all open streams on a full tick.
func (Silence) Step(s *table.State) {
	if !s.Full {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(s.Requests)) {
		r := s.Requests[id]
		if !forget(s, r) {
			watch(s, r)
		}
	}
}

func watch(s *table.State, r *table.Request) {
	switch r.Phase {
	case table.PhaseOpening, table.PhaseStreaming:
		watchStream(s, r)
	case table.PhaseProbing:
		watchProbe(s, r)
	}
}

func watchStream(s *table.State, r *table.Request) {
	limit := quietLimit(s, r)
	if withheld(r) {
		limit = min(limit, ReopenLimit)
	}
	switch {
	case s.Now.Sub(quietSince(r)) < limit:
	case withheld(r) && s.Now.Sub(r.LastFrame) >= StuckLimit-ProbeLimit:
		moveAway(s, r) // there is no time left for a probe
	default:
		suspect(s, r)
	}
}

func watchProbe(s *table.State, r *table.Request) {
	if !r.ProbeSent.IsZero() && s.Now.Sub(r.ProbeSent) >= ProbeLimit {
		leaveDead(s, r)
		return
	}
	if s.Now.Sub(r.Answered) <= ProbeWait+ProbeLimit && overdue(s, r) {
		leaveLive(s, r)
		return
	}
	if r.ProbeSent.IsZero() && !s.Now.Before(r.NextProbe) {
		suspect(s, r)
	}
}

// suspect asks the engine of the current attempt whether it still works on the request.
func suspect(s *table.State, r *table.Request) {
	address, known := addressOf(s, r.Endpoint)
	if !known {
		moveAway(s, r)
		return
	}
	if r.BrokenAt.IsZero() {
		r.BrokenAt = r.LastFrame
	}
	r.Phase = table.PhaseProbing
	r.ProbeSent = s.Now
	r.Probes++
	s.Emit(table.Probe{Request: r.ID, Attempt: r.Attempt, Run: r.Run, At: address, Limit: ProbeLimit})
}

// takeProbe decides between waiting, resuming on the same engine and leaving it.
func takeProbe(s *table.State, e table.Probed) {
	r := s.Requests[e.Request]
	if r == nil || e.Attempt != r.Attempt || r.Phase != table.PhaseProbing || r.ProbeSent.IsZero() {
		return
	}
	r.ProbeSent = time.Time{}
	if e.Err != nil {
		takeProbeError(s, r, e.Err)
		return
	}
	r.Made = max(r.Made, e.Progress.Position)
	switch {
	case withheld(r) && overdue(s, r):
		moveAway(s, r)
	case e.Progress.Position > r.Position() || e.Progress.Done || broken(r):
		resumeHere(s, r)
	case overdue(s, r):
		leaveLive(s, r)
	default:
		r.Answered = s.Now
		r.NextProbe = s.Now.Add(ProbeWait)
	}
}

func takeProbeError(s *table.State, r *table.Request, err error) {
	if errors.Is(err, jaywind.ErrNoStream) || errors.Is(err, jaywind.ErrBusy) {
		moveAway(s, r)
		return
	}
	leaveDead(s, r)
}

// quietSince returns when the current attempt last showed a sign of life.
func quietSince(r *table.Request) time.Time {
	if r.Opened.After(r.LastFrame) {
		return r.Opened
	}
	return r.LastFrame
}

// overdue tells whether a live engine has given no token for too long. A new
// connection to the engine's own work does not start that time again.
func overdue(s *table.State, r *table.Request) bool {
	since := r.LastFrame
	if starting(r) {
		since = r.Begun
	}
	return s.Now.Sub(since) >= stallLimit(s, r)
}

// withheld tells whether the endpoint has made tokens that a new connection to it was opened for.
func withheld(r *table.Request) bool {
	return r.Reopens > 0 && r.Made > r.Position()
}

// broken tells whether the current attempt has no connection to wait on.
func broken(r *table.Request) bool {
	return r.Opened.IsZero()
}
