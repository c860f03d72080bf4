package generate_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/internal/core/table"
)

// BenchmarkWaitingStreams runs healthy engines that occasionally delay one stream while the others go on, in
// virtual time, and reports the cost of leaving them.
func BenchmarkWaitingStreams(b *testing.B) {
	tests := map[string]struct {
		every    int // mean number of tokens between two waits
		min, max time.Duration
	}{
		"none":                             {every: math.MaxInt},
		"1 in 10,000, 0.5 to 8 s":          {every: 10_000, min: 500 * time.Millisecond, max: 8 * time.Second},
		"1 in 1,000, 0.5 to 8 s":           {every: 1000, min: 500 * time.Millisecond, max: 8 * time.Second},
		"1 in 1,000, 0.5 to 2 s":           {every: 1000, min: 500 * time.Millisecond, max: 2 * time.Second},
		"1 in 100, 0.1 to 1 s":             {every: 100, min: 100 * time.Millisecond, max: time.Second},
		"1 in 100, 0.5 to 4 s, overloaded": {every: 100, min: 500 * time.Millisecond, max: 4 * time.Second},
	}
	for name, c := range tests {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				waits := randomWaits(c.every, c.min, c.max)
				sim := newSimulation(b, 1)
				for _, e := range sim.engines {
					e.gap, e.extraGap = 34*time.Millisecond, waits
				}
				ended, longest := keepRunning(sim, 20, 5*time.Minute)
				n := sim.routers[0].core.State.Counts
				b.ReportMetric(float64(countMoves(sim))/float64(ended)*1000, "moves/1000answers")
				b.ReportMetric(float64(n.RecomputedTokens)/float64(n.Tokens)*100, "%extra")
				b.ReportMetric(float64(sim.probes)/float64(ended), "probes/answer")
				b.ReportMetric(float64(n.ReusedStreams)/float64(ended)*1000, "reopens/1000answers")
				b.ReportMetric(longest.Seconds(), "s-longest")
			}
		})
	}
}

// TestWaitingStreamsLeaveWithinTheRetryBudget checks that streams leave overloaded engines, which delay most
// answers occasionally, no more often than the retry budget allows. Otherwise the moves would add to the overload.
func TestWaitingStreamsLeaveWithinTheRetryBudget(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 1)
	for _, e := range sim.engines {
		e.gap, e.extraGap = 34*time.Millisecond, randomWaits(100, 500*time.Millisecond, 4*time.Second)
	}
	ended, _ := keepRunning(sim, 20, 2*time.Minute)
	is.True(ended > 20)
	const reserve, share = 10, 0.1
	is.True(float64(countMoves(sim)) <= reserve+share*float64(ended+20))
}

// randomWaits returns a function that draws the extra gap before a token: a wait with log-uniform length with
// probability 1/every, and 0 otherwise.
func randomWaits(every int, shortest, longest time.Duration) func() time.Duration {
	random := rand.New(rand.NewPCG(11, 11))
	return func() time.Duration {
		if random.IntN(every) != 0 {
			return 0
		}
		return time.Duration(float64(shortest) * math.Pow(float64(longest)/float64(shortest), random.Float64()))
	}
}

// countMoves counts the attempts that started from tokens of an engine that was left.
func countMoves(sim *simulation) (n int) {
	for _, c := range sim.conns {
		if len(c.call.Prefix) > 0 {
			n++
		}
	}
	return n
}

// keepRunning keeps n answers running for a time and returns how many ended whole, and the longest gap of any
// answer that ended.
func keepRunning(sim *simulation, n int, span time.Duration) (ended int, longest time.Duration) {
	asked := 0
	running := map[jaywind.RequestID]bool{}
	for end := sim.now.Add(span); sim.now.Before(end); sim.tick() {
		for ; len(running) < n; asked++ {
			id := jaywind.RequestID(fmt.Sprint("r", asked))
			sim.connect(id, 0, false)
			running[id] = true
		}
		for id := range running {
			c := sim.callers[id]
			if len(c.finishes) == 0 {
				continue
			}
			delete(running, id)
			longest = max(longest, c.longest)
			if c.finishes[0].Outcome == table.OutcomeCompleted {
				ended++
			}
		}
	}
	return ended, longest
}
