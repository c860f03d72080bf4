package generate

import (
	"errors"
	"maps"
	"slices"
	"time"

	"jaywind"
	"jaywind/internal/core/table"
)

// SilenceDetector probes the engines of streams that have been silent for too long, and leaves
// those that are dead or stalled.
type SilenceDetector struct{}

// Step checks all requests on a full tick.
func (SilenceDetector) Step(s *table.State) {
	if !s.Full {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(s.Requests)) {
		r := s.Requests[id]
		if !finishAbandoned(s, r) {
			checkRequest(s, r)
		}
	}
}

func checkRequest(s *table.State, r *table.Request) {
	switch r.Phase {
	case table.PhaseOpening, table.PhaseStreaming:
		checkStream(s, r)
	case table.PhaseProbing:
		checkProbe(s, r)
	}
}

func checkStream(s *table.State, r *table.Request) {
	limit := attemptSilenceLimit(s, r)
	if tokensWithheld(r) {
		limit = min(limit, ReopenTimeout)
	}
	switch {
	case s.Now.Sub(silentSince(r)) < limit:
	case tokensWithheld(r) && s.Now.Sub(r.LastFrameAt) >= StreamStallTimeout-ProbeTimeout:
		leaveEndpoint(s, r) // there is no time left for a probe
	default:
		sendProbe(s, r)
	}
}

func checkProbe(s *table.State, r *table.Request) {
	if !r.ProbeSentAt.IsZero() && s.Now.Sub(r.ProbeSentAt) >= ProbeTimeout {
		leaveUnresponsive(s, r)
		return
	}
	// The last answer is recent enough for the engine to count as alive, and showed no progress.
	if s.Now.Sub(r.NoProgressAt) <= ProbeInterval+ProbeTimeout && stalled(s, r) {
		leaveStalled(s, r)
		return
	}
	if r.ProbeSentAt.IsZero() && !s.Now.Before(r.NextProbe) {
		sendProbe(s, r)
	}
}

// sendProbe asks the engine of the current attempt over a new connection whether it still works on
// the request.
func sendProbe(s *table.State, r *table.Request) {
	address, known := addressOf(s, r.Endpoint)
	if !known {
		leaveEndpoint(s, r)
		return
	}
	if r.BrokenAt.IsZero() {
		r.BrokenAt = r.LastFrameAt
	}
	r.Phase = table.PhaseProbing
	r.ProbeSentAt = s.Now
	r.Probes++
	s.Emit(table.ProbeProgress{Request: r.ID, Attempt: r.Attempt, Run: r.Run, Address: address, Limit: ProbeTimeout})
}

// handleProbed decides by the answer to a probe whether to wait, to resume on the same engine or to
// leave it.
func handleProbed(s *table.State, e table.ProbeAnswered) {
	r := s.Requests[e.Request]
	if r == nil || e.Attempt != r.Attempt || r.Phase != table.PhaseProbing || r.ProbeSentAt.IsZero() {
		return
	}
	r.ProbeSentAt = time.Time{}
	if e.Err != nil {
		handleProbeError(s, r, e.Err)
		return
	}
	r.EnginePosition = max(r.EnginePosition, e.Progress.Position)
	switch {
	case tokensWithheld(r) && stalled(s, r):
		leaveEndpoint(s, r)
	case e.Progress.Position > r.Position() || e.Progress.Done || disconnected(r):
		reconnect(s, r)
	case stalled(s, r):
		leaveStalled(s, r)
	default:
		r.NoProgressAt = s.Now
		r.NextProbe = s.Now.Add(ProbeInterval)
	}
}

func handleProbeError(s *table.State, r *table.Request, err error) {
	if errors.Is(err, jaywind.ErrNoStream) || errors.Is(err, jaywind.ErrBusy) {
		leaveEndpoint(s, r)
		return
	}
	leaveUnresponsive(s, r)
}

// silentSince returns when the current attempt last received a frame, or when it was opened if none
// has arrived since.
func silentSince(r *table.Request) time.Time {
	if r.OpenedAt.After(r.LastFrameAt) {
		return r.OpenedAt
	}
	return r.LastFrameAt
}

// stalled reports whether a live engine has sent no token for too long. Reconnecting to the
// engine's own stream does not restart that time.
func stalled(s *table.State, r *table.Request) bool {
	since := r.LastFrameAt
	if awaitingFirstToken(r) {
		since = r.WorkStartedAt
	}
	return s.Now.Sub(since) >= stallLimit(s, r)
}

// tokensWithheld reports whether the engine has generated tokens that have not arrived although a
// new connection was opened for them.
func tokensWithheld(r *table.Request) bool {
	return r.Reopens > 0 && r.EnginePosition > r.Position()
}

// disconnected reports whether the current attempt has no connection to wait for.
func disconnected(r *table.Request) bool {
	return r.OpenedAt.IsZero()
}
