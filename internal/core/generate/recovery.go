package generate

import (
	"errors"
	"maps"
	"slices"
	"time"

	"jaywind"
	"jaywind/internal/core/table"
)

// handleLoss decides what a broken stream means.
func handleLoss(s *table.State, r *table.Request, err error) {
	switch {
	case errors.Is(err, jaywind.ErrBusy):
		turnAway(s, r)
	case errors.Is(err, jaywind.ErrNotSent):
		noteMiss(s, r)
		leaveDead(s, r)
	case errors.Is(err, jaywind.ErrNoStream):
		moveAway(s, r)
	default:
		r.Opened = time.Time{}
		suspect(s, r)
	}
}

// resumeHere opens a new connection to the same engine's stream.
func resumeHere(s *table.State, r *table.Request) {
	r.Reopens++
	if r.Reopens > maxReopens {
		moveAway(s, r)
		return
	}
	release(s, r, true)
	r.Reuse = true
	requeue(s, r)
}

// leaveDead leaves an endpoint that does not answer; if all its streams are
// silent too, they leave it at once with this one and the breaker opens.
func leaveDead(s *table.State, r *table.Request) {
	e := s.Endpoints[r.Endpoint]
	moveAway(s, r)
	if e == nil || s.Now.Sub(e.LastFrame) < silenceLimit(e) {
		return
	}
	e.Lose(s.Now, s.Random)
	for _, id := range slices.Sorted(maps.Keys(s.Requests)) {
		o := s.Requests[id]
		if o.Endpoint == e.ID && listening(o) && o.Held {
			moveAway(s, o)
		}
	}
}

// leaveLive leaves an endpoint that answers but does not go on with the request.
func leaveLive(s *table.State, r *table.Request) {
	leaves(s, r).Spend()
	moveAway(s, r)
}

// moveAway leaves the endpoint of the current attempt and asks for another.
func moveAway(s *table.State, r *table.Request) {
	s.Counts.Recounted += int(max(0, r.Made-r.Position()))
	r.Moves++
	switch {
	case r.Moves > maxMoves:
		end(s, r, table.Finish{Outcome: table.OutcomeFailed, Reason: "no endpoint goes on with the answer", RetryAfter: returnAfter})
		return
	case r.CatchUp != nil && r.CatchUp.Position-r.Position() > catchUpLimit:
		end(s, r, table.Finish{Outcome: table.OutcomeMismatch, Reason: "the tokens before the bookmark are lost; send them back with it"})
		return
	}
	release(s, r, false)
	if e := s.Endpoints[r.Endpoint]; e != nil {
		e.Fail(r.Version, s.Now, s.Random)
	}
	avoidHere(r)
	r.Reopens = 0
	requeue(s, r)
}

// release closes the current attempt's connection, and ends the engine's work unless that is kept.
func release(s *table.State, r *table.Request, keep bool) {
	if e := s.Endpoints[r.Endpoint]; e != nil && r.Held {
		e.Inflight--
	}
	r.Held = false
	if address, known := addressOf(s, r.Endpoint); known {
		s.Emit(table.Cancel{Request: r.ID, Attempt: r.Attempt, Run: r.Run, At: address, KeepWork: keep})
	}
}

func requeue(s *table.State, r *table.Request) {
	if r.BrokenAt.IsZero() {
		r.BrokenAt = r.LastFrame
	}
	r.Phase = table.PhaseReady
	r.ProbeSent = time.Time{}
	r.NextProbe = time.Time{}
	r.Answered = time.Time{}
	r.Probes = 0
	if !r.Reuse {
		r.Made = 0
	}
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
