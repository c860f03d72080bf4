package table

import (
	"math/rand/v2"
	"time"
)

// Lose opens the breaker of an endpoint that answers nothing on any stream.
func (e *Endpoint) Lose(now time.Time, random *rand.Rand) {
	e.Breaker.row = max(e.Breaker.row, breakerRow)
	e.Breaker.Fail(now, random)
}
