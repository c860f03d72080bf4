package balance

import (
	"math"
	"time"
)

// decayingCount counts events, whose weight falls by a factor of e in each period of its memory.
type decayingCount struct {
	memory time.Duration
	count  float64
	at     time.Time
}

func (c *decayingCount) value(now time.Time) float64 {
	if c.at.IsZero() || !now.After(c.at) {
		return c.count
	}
	return c.count * math.Exp(-float64(now.Sub(c.at))/float64(c.memory))
}

func (c *decayingCount) add(now time.Time) {
	c.count = c.value(now) + 1
	if now.After(c.at) {
		c.at = now
	}
}

// share returns the part of calls that some of them make up. One more call counts among them, so that a single event says little.
func share(part, calls *decayingCount, now time.Time) float64 {
	return part.value(now) / (calls.value(now) + 1)
}
