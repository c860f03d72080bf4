package generate

import (
	"time"

	"jaywind/internal/core/table"
)

// The parts of the time from the last token of a lost engine to the next token.
const (
	SilenceFloor = 150 * time.Millisecond  // shortest silence between tokens that is suspected
	FirstFloor   = 300 * time.Millisecond  // the same before the first token of an attempt
	SilenceCap   = 1200 * time.Millisecond // longest silence that is not
	ProbeLimit   = 300 * time.Millisecond  // time for the engine to answer a probe
	ProbeWait    = 200 * time.Millisecond  // between probes of an engine that answers but makes nothing
	StallLimit   = 1300 * time.Millisecond // silence of all its streams after which such an engine is left
	StuckLimit   = 1850 * time.Millisecond // silence of one stream after which it leaves such an engine
	ReopenLimit  = 250 * time.Millisecond  // time for tokens that the engine has made to come over a new connection
	RecallLimit  = 300 * time.Millisecond  // time for peers to answer after the loss of a router
	PlaceLimit   = 100 * time.Millisecond  // time to find another endpoint
	FirstLimit   = 2 * time.Second         // prefill and first token on the other endpoint
	ResumeTarget = 4 * time.Second         // the whole
)

// GoneLimit is how long the work for a caller that is gone goes on.
const GoneLimit = 3 * time.Second

const (
	silenceFactor = 4                // silence limit as a multiple of the engine's 0.99 gap
	patience      = 6 * time.Second  // for a live engine that prefills, or when too many answers have left such
	firstStall    = 15 * time.Second // the same for an answer's first token
	returnAfter   = 2 * time.Second  // when the caller of a failed request may come back

	prefillSlack = 2       // times that the estimated prefill of an overtaken request may take
	maxReopens   = 2       // connections to one engine without a token before it is left
	maxMoves     = 12      // endpoints left without a token before the request fails
	catchUpLimit = 64      // tokens that another engine may make again to reach a bookmark
	attemptBlock = 1 << 16 // attempts of one router; the next router's begin above
)

// quietLimit returns how long the current attempt may be silent before it is probed.
func quietLimit(s *table.State, r *table.Request) time.Duration {
	limit := silenceLimit(s.Endpoints[r.Endpoint])
	if r.Opened.After(r.LastFrame) {
		return max(limit, FirstFloor)
	}
	return limit
}

// silenceLimit returns how long a stream of the endpoint may be silent before it is probed.
func silenceLimit(e *table.Endpoint) time.Duration {
	if e == nil {
		return SilenceCap
	}
	limit := e.Gaps.High() * silenceFactor
	if limit == 0 {
		return SilenceCap
	}
	return min(max(limit, SilenceFloor), SilenceCap)
}

// stallLimit returns how long a live engine may give no token for the work that it does for a request.
func stallLimit(s *table.State, r *table.Request) time.Duration {
	e := s.Endpoints[r.Endpoint]
	switch {
	case starting(r) && overtaken(s, r) && leaves(s, r).Left():
		return StuckLimit + prefillSlack*prefillTime(r)
	case !r.Pinned():
		return firstStall
	case starting(r) || !leaves(s, r).Left():
		return patience
	case e != nil && s.Now.Sub(e.LastFrame) < silenceLimit(e):
		return StuckLimit
	default:
		return StallLimit
	}
}

// leaves returns the budget for leaving live engines, to which each answer of the model adds a share.
func leaves(s *table.State, r *table.Request) *table.RetryBudget {
	return s.Budget(table.RetryKey{Model: r.Model})
}

// starting tells whether the endpoint has given no token yet for the work that it does.
func starting(r *table.Request) bool {
	return r.Begun.After(r.LastFrame)
}

// overtaken tells whether the endpoint has given tokens to work that began later and is not more urgent.
func overtaken(s *table.State, r *table.Request) bool {
	for _, o := range s.Requests {
		urgent := o.Priority > r.Priority || o.Resumes > 0 && !r.Pinned()
		if o.Endpoint == r.Endpoint && o.Begun.After(r.Begun) && !starting(o) && !urgent {
			return true
		}
	}
	return false
}

// prefillTime estimates how long an engine computes before a request's first token.
func prefillTime(r *table.Request) time.Duration {
	return time.Duration(r.Prefill()) * time.Second / table.PrefillRate
}
