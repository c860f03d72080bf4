package generate

import (
	"errors"
	"maps"
	"slices"
	"time"

	"jaywind"
	"jaywind/internal/core/table"
)

// recoverStream chooses how to resume a broken stream, by the error that ended it.
func recoverStream(s *table.State, r *table.Request, err error) {
	switch {
	case errors.Is(err, jaywind.ErrBusy):
		handleBusy(s, r)
	case errors.Is(err, jaywind.ErrNotSent):
		recordConnectFailure(s, r)
		leaveUnresponsive(s, r)
	case errors.Is(err, jaywind.ErrNoStream):
		leaveEndpoint(s, r)
	default:
		r.OpenedAt = time.Time{}
		sendProbe(s, r)
	}
}

// reconnect resumes the stream of the same engine over a new connection; after maxReopens
// connections without a token it leaves the endpoint.
func reconnect(s *table.State, r *table.Request) {
	r.Reopens++
	if r.Reopens > maxReopens {
		leaveEndpoint(s, r)
		return
	}
	releaseAttempt(s, r, true)
	r.ReuseStream = true
	requeue(s, r)
}

// leaveUnresponsive leaves an endpoint that does not answer. If all its streams are silent, all of
// them leave it at once and its breaker opens.
func leaveUnresponsive(s *table.State, r *table.Request) {
	e := s.Endpoints[r.Endpoint]
	leaveEndpoint(s, r)
	if e == nil || s.Now.Sub(e.LastFrameAt) < endpointSilenceLimit(e) {
		return
	}
	e.TripBreaker(s.Now, s.Random)
	for _, id := range slices.Sorted(maps.Keys(s.Requests)) {
		o := s.Requests[id]
		if o.Endpoint == e.ID && attemptActive(o) && o.CountsInflight {
			leaveEndpoint(s, o)
		}
	}
}

// leaveStalled leaves an endpoint that answers probes but does not go on with the request, and
// charges the move budget.
func leaveStalled(s *table.State, r *table.Request) {
	moveBudget(s, r).RecordRetry()
	leaveEndpoint(s, r)
}

// leaveEndpoint gives up the current attempt and queues the request for another endpoint. It ends
// the request if it has left too many endpoints, or if too many tokens before the caller's bookmark
// are lost.
func leaveEndpoint(s *table.State, r *table.Request) {
	s.Counts.RecomputedTokens += int(max(0, r.EnginePosition-r.Position()))
	r.Moves++
	switch {
	case r.Moves > maxMoves:
		finish(s, r, table.FinishRequest{Outcome: table.OutcomeFailed, Reason: "no endpoint goes on with the answer", RetryAfter: retryAfter})
		return
	case r.CatchUp != nil && r.CatchUp.Position-r.Position() > maxCatchUp:
		finish(s, r, table.FinishRequest{Outcome: table.OutcomeBookmarkMismatch, Reason: "the tokens before the bookmark are lost; send them back with it"})
		return
	}
	releaseAttempt(s, r, false)
	if e := s.Endpoints[r.Endpoint]; e != nil {
		e.RecordFailure(r.Version, s.Now, s.Random)
	}
	avoidEndpoint(r)
	r.Reopens = 0
	requeue(s, r)
}

// releaseAttempt closes the current attempt's connection, and cancels the engine's work unless
// keepWork is set.
func releaseAttempt(s *table.State, r *table.Request, keepWork bool) {
	if e := s.Endpoints[r.Endpoint]; e != nil && r.CountsInflight {
		e.Inflight--
	}
	r.CountsInflight = false
	if address, known := addressOf(s, r.Endpoint); known {
		s.Emit(table.CancelAttempt{Request: r.ID, Attempt: r.Attempt, Run: r.Run, Address: address, KeepWork: keepWork})
	}
}

// requeue puts the request back in the queue for placement.
func requeue(s *table.State, r *table.Request) {
	if r.BrokenAt.IsZero() {
		r.BrokenAt = r.LastFrameAt
	}
	r.Phase = table.PhaseReady
	r.ProbeSentAt = time.Time{}
	r.NextProbe = time.Time{}
	r.NoProgressAt = time.Time{}
	r.Probes = 0
	if !r.ReuseStream {
		r.EnginePosition = 0
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
