package generate

import (
	"time"

	"jaywind/internal/core/table"
)

// Limits and estimates for the parts of the gap in a caller's stream when an engine or a router
// is lost, from the last token before the loss to the next token. TestBudgetFitsTheTarget checks that
// those of each way to another engine add up to less than ResumeTarget.
const (
	MinSilence           = 150 * time.Millisecond  // lower bound of the silence limit between tokens, after which an engine is probed
	MinFirstTokenSilence = 300 * time.Millisecond  // the same before the first token of an attempt
	MaxSilence           = 1200 * time.Millisecond // upper bound of the silence limit, and the limit while token gaps are unknown
	ProbeTimeout         = 300 * time.Millisecond  // for the engine to answer a probe
	ProbeInterval        = 200 * time.Millisecond  // between probes of an engine that answers but generates no token
	EngineStallTimeout   = 1300 * time.Millisecond // silence of all streams of such an engine after which it is left
	StreamStallTimeout   = 1850 * time.Millisecond // silence of one stream after which it leaves such an engine
	ReopenTimeout        = 250 * time.Millisecond  // for tokens that the engine has generated to arrive over a new connection
	RecallTimeout        = 300 * time.Millisecond  // for peers to return a record after the loss of a router
	PlacementTime        = 100 * time.Millisecond  // to find another endpoint
	FirstTokenTime       = 2 * time.Second         // prefill and first token on the other endpoint
	ResumeTarget         = 4 * time.Second         // the whole gap
)

// DisconnectGrace is how long the work for a disconnected caller goes on.
const DisconnectGrace = 3 * time.Second

const (
	silenceFactor          = 4                // silence limit as a multiple of the engine's 0.99 quantile of token gaps
	relaxedStallTimeout    = 6 * time.Second  // for a live engine that prefills, or once the move budget is spent
	firstTokenStallTimeout = 15 * time.Second // the same before an answer's first token
	retryAfter             = 2 * time.Second  // delay after which the caller of a failed request may retry

	prefillFactor     = 2       // allowed prefill of an overtaken request as a multiple of its estimate
	maxReopens        = 2       // connections to one engine without a token before it is left
	maxMoves          = 12      // endpoints left without a token before the request fails
	maxCatchUp        = 64      // tokens that another engine may generate again to reach a bookmark
	attemptsPerRouter = 1 << 16 // attempt numbers for one router; those of the next router start above
)

// attemptSilenceLimit returns how long the current attempt may be silent before a probe.
func attemptSilenceLimit(s *table.State, r *table.Request) time.Duration {
	limit := endpointSilenceLimit(s.Endpoints[r.Endpoint])
	if r.OpenedAt.After(r.LastFrameAt) {
		return max(limit, MinFirstTokenSilence)
	}
	return limit
}

// endpointSilenceLimit returns how long a stream of the endpoint may be silent between tokens
// before the engine is probed.
func endpointSilenceLimit(e *table.Endpoint) time.Duration {
	if e == nil {
		return MaxSilence
	}
	limit := e.FrameGaps.P99() * silenceFactor
	if limit == 0 {
		return MaxSilence
	}
	return min(max(limit, MinSilence), MaxSilence)
}

// stallLimit returns how long a live engine may send no token for a request before the request
// leaves it.
func stallLimit(s *table.State, r *table.Request) time.Duration {
	e := s.Endpoints[r.Endpoint]
	switch {
	case awaitingFirstToken(r) && overtaken(s, r) && moveBudget(s, r).CanRetry():
		return StreamStallTimeout + prefillFactor*estimatedPrefill(r)
	case !r.Pinned():
		return firstTokenStallTimeout
	case awaitingFirstToken(r) || !moveBudget(s, r).CanRetry():
		return relaxedStallTimeout
	case e != nil && s.Now.Sub(e.LastFrameAt) < endpointSilenceLimit(e):
		return StreamStallTimeout
	default:
		return EngineStallTimeout
	}
}

// moveBudget returns the budget for leaving live engines. Each answer of the model adds a share.
func moveBudget(s *table.State, r *table.Request) *table.RetryBudget {
	return s.RetryBudgetFor(table.RetryKey{Model: r.Model})
}

// awaitingFirstToken reports whether no token has arrived since the endpoint's work on the request
// began.
func awaitingFirstToken(r *table.Request) bool {
	return r.WorkStartedAt.After(r.LastFrameAt)
}

// overtaken reports whether the endpoint has sent tokens for work that began later and is not more
// urgent. A resumed generation is more urgent than a request without tokens.
func overtaken(s *table.State, r *table.Request) bool {
	for _, o := range s.Requests {
		urgent := o.Priority > r.Priority || o.Resumes > 0 && !r.Pinned()
		if o.Endpoint == r.Endpoint && o.WorkStartedAt.After(r.WorkStartedAt) && !awaitingFirstToken(o) && !urgent {
			return true
		}
	}
	return false
}

// estimatedPrefill estimates how long an engine computes before a request's first token.
func estimatedPrefill(r *table.Request) time.Duration {
	return time.Duration(r.PrefillTokens()) * time.Second / table.PrefillRate
}
