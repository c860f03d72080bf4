package generate

import (
	"errors"
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
	for _, r := range s.Requests {
		watch(s, r)
	}
}

func watch(s *table.State, r *table.Request) {
	switch r.Phase {
	case table.PhaseOpening, table.PhaseStreaming:
		if s.Now.Sub(quietSince(r)) >= silenceLimit(s.Endpoints[r.Endpoint]) {
			suspect(s, r)
		}
	case table.PhaseProbing:
		watchProbe(s, r)
	}
}

func watchProbe(s *table.State, r *table.Request) {
	if !r.ProbeSent.IsZero() && s.Now.Sub(r.ProbeSent) >= ProbeLimit {
		moveAway(s, r)
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
	s.Emit(table.Probe{Request: r.ID, Attempt: r.Attempt, At: address, Limit: ProbeLimit})
}

// takeProbe decides between waiting, resuming on the same engine and leaving it.
func takeProbe(s *table.State, e table.Probed) {
	r := s.Requests[e.Request]
	if r == nil || e.Attempt != r.Attempt || r.Phase != table.PhaseProbing || r.ProbeSent.IsZero() {
		return
	}
	r.ProbeSent = time.Time{}
	switch {
	case e.Err != nil, broken(r) && r.Probes > maxReopens:
		moveAway(s, r)
	case e.Progress.Position > r.Position() || e.Progress.Done || broken(r):
		resumeHere(s, r)
	case s.Now.Sub(quietSince(r)) >= stallOf(r):
		moveAway(s, r)
	default:
		r.NextProbe = s.Now.Add(probeBackoff << min(r.Probes-1, maxBackoffShift))
	}
}

const (
	maxBackoffShift = 4
	maxReopens      = 2 // broken connections to one engine in a row before it is left
)

// quietSince returns when the current attempt last showed a sign of life.
func quietSince(r *table.Request) time.Time {
	if r.Opened.After(r.LastFrame) {
		return r.Opened
	}
	return r.LastFrame
}

// broken tells whether the current attempt has no connection to wait on.
func broken(r *table.Request) bool {
	return r.Opened.IsZero()
}

func stallOf(r *table.Request) time.Duration {
	if r.Pinned() {
		return stallLimit
	}
	return firstStall
}

// handleLoss decides what a broken stream means.
func handleLoss(s *table.State, r *table.Request, err error) {
	switch {
	case errors.Is(err, jaywind.ErrBusy):
		turnAway(s, r)
		return
	case errors.Is(err, jaywind.ErrNotSent):
		noteMiss(s, r)
		moveAway(s, r)
		return
	case errors.Is(err, jaywind.ErrNoStream):
		moveAway(s, r)
		return
	}
	r.Opened = time.Time{}
	suspect(s, r)
}

// breakStream gives up a connection that carried a wrong frame.
func breakStream(s *table.State, r *table.Request, _ string) {
	address, _ := addressOf(s, r.Endpoint)
	s.Emit(table.Cancel{Request: r.ID, Attempt: r.Attempt, At: address, KeepWork: true})
	resumeHere(s, r)
}

// resumeHere opens a new connection to the same engine's stream.
func resumeHere(s *table.State, r *table.Request) {
	release(s, r, true)
	r.Reuse = true
	requeue(s, r)
}

// moveAway leaves the endpoint of the current attempt and asks for another.
func moveAway(s *table.State, r *table.Request) {
	release(s, r, false)
	avoidHere(r)
	requeue(s, r)
}

// release closes the current attempt; a failed one counts against its endpoint.
func release(s *table.State, r *table.Request, healthy bool) {
	e := s.Endpoints[r.Endpoint]
	if e != nil && r.Held {
		e.Inflight--
	}
	r.Held = false
	if e != nil && !healthy {
		e.Fail(r.Version, s.Now, s.Random)
	}
	if address, known := addressOf(s, r.Endpoint); known {
		s.Emit(table.Cancel{Request: r.ID, Attempt: r.Attempt, At: address, KeepWork: healthy})
	}
}

func requeue(s *table.State, r *table.Request) {
	if r.BrokenAt.IsZero() {
		r.BrokenAt = r.LastFrame
	}
	r.Phase = table.PhaseReady
	r.ProbeSent = time.Time{}
	r.NextProbe = time.Time{}
	r.Resumes++
	s.Counts.Resumed++
	s.Ready = append(s.Ready, r.ID)
}

func addressOf(s *table.State, id jaywind.EndpointID) (jaywind.Address, bool) {
	if s.Rules == nil {
		return "", false
	}
	e, known := s.Rules.Endpoints[id]
	return e.URL, known
}
