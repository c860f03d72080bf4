package table

import (
	"time"
)

// GapQuantile is a streaming estimate of the 0.99 quantile of the time between an endpoint's frames.
type GapQuantile struct {
	estimate time.Duration
	count    int
}

const (
	gapQuantile = 0.99
	gapStep     = 0.02 // relative step: the estimate rises by 9.9 and falls by 0.1 times this
)

// Observe adds the time between two frames of a stream. The steps up and down, in the ratio of 0.99 to 0.01, balance
// where 1% of the times are above the estimate.
func (g *GapQuantile) Observe(d time.Duration) {
	if g.count == 0 {
		g.estimate = d
	}
	g.count++
	step := float64(max(g.estimate, time.Millisecond)) * gapStep
	if d > g.estimate {
		g.estimate += time.Duration(step * gapQuantile * 10)
		return
	}
	g.estimate -= time.Duration(step * (1 - gapQuantile) * 10)
}

// P99 returns the estimated 0.99 quantile, or 0 before the first observation.
func (g *GapQuantile) P99() time.Duration {
	return g.estimate
}
