package table

import (
	"time"
)

// Gaps tracks an upper quantile of the times between an endpoint's frames.
type Gaps struct {
	high  time.Duration
	count int
}

const (
	gapQuantile = 0.99
	gapStep     = 0.02 // relative step of the estimate for one observation
)

// Observe adds one time between two frames of a stream.
func (g *Gaps) Observe(d time.Duration) {
	if g.count == 0 {
		g.high = d
	}
	g.count++
	step := float64(max(g.high, time.Millisecond)) * gapStep
	if d > g.high {
		g.high += time.Duration(step * gapQuantile * 10)
		return
	}
	g.high -= time.Duration(step * (1 - gapQuantile) * 10)
}

// High returns the estimated 0.99 quantile, or 0 before anything was observed.
func (g *Gaps) High() time.Duration {
	return g.high
}
