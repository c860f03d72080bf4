package generate

import (
	"time"

	"jaywind/internal/core/table"
)

// The parts of the time from the last token of a lost engine to the next token.
const (
	SilenceFloor = 300 * time.Millisecond  // shortest silence that is suspected
	SilenceCap   = 1200 * time.Millisecond // longest silence that is not
	ProbeLimit   = 300 * time.Millisecond  // time for the engine to answer a probe
	ProbeWait    = 200 * time.Millisecond  // between probes of an engine that answers but makes nothing
	StallLimit   = 1300 * time.Millisecond // silence of all its streams after which such an engine is left
	RecallLimit  = 300 * time.Millisecond  // time for peers to answer after the loss of a router
	PlaceLimit   = 100 * time.Millisecond  // time to find another endpoint
	FirstLimit   = 2 * time.Second         // prefill and first token on the other endpoint
	ResumeTarget = 4 * time.Second         // the whole
)

// GoneLimit is how long the work for a caller that is gone goes on.
const GoneLimit = 3 * time.Second

const (
	silenceFactor = 4                // silence limit as a multiple of the engine's 0.99 gap
	patience      = 6 * time.Second  // for a live engine that prefills or has put the stream behind others
	firstStall    = 15 * time.Second // the same for an answer's first token
	returnAfter   = 2 * time.Second  // when the caller of a failed request may come back

	maxReopens   = 2       // connections to one engine without a token before it is left
	maxMoves     = 12      // endpoints left without a token before the request fails
	catchUpLimit = 64      // tokens that another engine may make again to reach a bookmark
	attemptBlock = 1 << 16 // attempts of one router; the next router's begin above
)

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

// stallLimit returns how long a live engine may give no token for the current attempt.
func stallLimit(s *table.State, r *table.Request) time.Duration {
	e := s.Endpoints[r.Endpoint]
	switch {
	case !r.Pinned():
		return firstStall
	case r.Opened.After(r.LastFrame):
		return patience
	case e != nil && s.Now.Sub(e.LastFrame) < silenceLimit(e):
		return patience
	default:
		return StallLimit
	}
}
