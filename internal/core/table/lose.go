package table

import (
	"math/rand/v2"
	"time"
)

// TripBreaker opens the breaker of an endpoint at once, when it is silent on all streams.
func (e *Endpoint) TripBreaker(now time.Time, random *rand.Rand) {
	e.Breaker.consecutive = max(e.Breaker.consecutive, breakerMaxConsecutive)
	e.Breaker.RecordFailure(now, random)
}
