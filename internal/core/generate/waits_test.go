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

// BenchmarkWaitingStreams runs good engines that now and then let one stream wait while the others go
// on, in virtual time, and reports what leaving them costs.
func BenchmarkWaitingStreams(b *testing.B) {
	tests := map[string]struct {
		every    int // tokens between two waits
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
				waits := drawWaits(c.every, c.min, c.max)
				w := newWorld(b, 1)
				for _, e := range w.engines {
					e.gap, e.wait = 34*time.Millisecond, waits
				}
				ended, longest := turnOver(w, 20, 5*time.Minute)
				n := w.routers[0].core.State.Counts
				b.ReportMetric(float64(movesOf(w))/float64(ended)*1000, "moves/1000answers")
				b.ReportMetric(float64(n.Recounted)/float64(n.Taken)*100, "%extra")
				b.ReportMetric(float64(w.probes)/float64(ended), "probes/answer")
				b.ReportMetric(float64(n.Reused)/float64(ended)*1000, "reopens/1000answers")
				b.ReportMetric(longest.Seconds(), "s-longest")
			}
		})
	}
}

// TestWaitingStreamsLeaveWithinTheRetryBudget overloads engines so that most answers wait now and then.
func TestWaitingStreamsLeaveWithinTheRetryBudget(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1)
	for _, e := range w.engines {
		e.gap, e.wait = 34*time.Millisecond, drawWaits(100, 500*time.Millisecond, 4*time.Second)
	}
	ended, _ := turnOver(w, 20, 2*time.Minute)
	is.True(ended > 20)
	const reserve, share = 10, 0.1
	is.True(float64(movesOf(w)) <= reserve+share*float64(ended+20))
}

// drawWaits returns a source of waits whose logarithms are spread evenly.
func drawWaits(every int, shortest, longest time.Duration) func() time.Duration {
	random := rand.New(rand.NewPCG(11, 11))
	return func() time.Duration {
		if random.IntN(every) != 0 {
			return 0
		}
		return time.Duration(float64(shortest) * math.Pow(float64(longest)/float64(shortest), random.Float64()))
	}
}

// movesOf counts the attempts that began with tokens of an engine that was left.
func movesOf(w *world) (n int) {
	for _, c := range w.conns {
		if len(c.call.Prefix) > 0 {
			n++
		}
	}
	return n
}

// turnOver keeps n answers running for a time and returns how many came to their end, and their longest gap.
func turnOver(w *world, n int, span time.Duration) (ended int, longest time.Duration) {
	asked := 0
	running := map[jaywind.RequestID]bool{}
	for end := w.now.Add(span); w.now.Before(end); w.beat() {
		for ; len(running) < n; asked++ {
			id := jaywind.RequestID(fmt.Sprint("r", asked))
			w.ask(id, 0, false)
			running[id] = true
		}
		for id := range running {
			c := w.callers[id]
			if len(c.finals) == 0 {
				continue
			}
			delete(running, id)
			longest = max(longest, c.longest)
			if c.finals[0].Outcome == table.OutcomeWhole {
				ended++
			}
		}
	}
	return ended, longest
}
