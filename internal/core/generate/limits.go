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
	PlaceLimit   = 100 * time.Millisecond  // time to find another endpoint
	FirstLimit   = 2 * time.Second         // prefill and first token on the other endpoint
	ResumeTarget = 4 * time.Second         // the whole
)

const (
	silenceFactor = 4                       // silence limit as a multiple of the engine's 0.99 gap
	stallLimit    = 2500 * time.Millisecond // silence after which a live engine is left
	firstStall    = 15 * time.Second        // the same before an answer's first token
	probeBackoff  = 200 * time.Millisecond  // first wait between probes; doubles each time
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
