package step

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind/internal/core/table"
)

func TestGoodputWithAFault(t *testing.T) {
	tests := map[string]func(sim *simulation){
		"slow engine":          func(sim *simulation) { sim.engines[3].slowdown = 4 },
		"engine that refuses":  func(sim *simulation) { sim.engines[3].refuses = true },
		"engine that is dead":  func(sim *simulation) { sim.engines[3].dead = true },
		"no load reports":      func(sim *simulation) { sim.reports = false },
		"load reports stopped": func(sim *simulation) { sim.run(time.Second, rates{"large": 0.7 * capacity}); sim.reports = false },
	}
	faultFree := newSimulation(false)
	want := faultFree.goodput(rates{"large": 0.7 * capacity})
	for name, inject := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var got []int
			for _, baseline := range []bool{true, false} {
				sim := newSimulation(baseline)
				inject(sim)
				got = append(got, sim.goodput(rates{"large": 0.7 * capacity}))
			}
			t.Logf("answers in time: baseline %d, jaywind %d, without the fault %d", got[0], got[1], want)
			is.True(float64(got[1]) >= minGoodputShare*float64(want))
		})
	}
}

// TestReturnAfterAnOutage checks that goodput recovers after an outage of all engines, while refused callers retry after the
// delay that they were given.
func TestReturnAfterAnOutage(t *testing.T) {
	tests := map[string]time.Duration{
		"shorter than resumes wait": 5 * time.Second,
		"longer than resumes wait":  15 * time.Second,
	}
	for name, outage := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(false)
			sim.retryRefused = true
			load := rates{"large": 0.8 * capacity}
			sim.run(warmUp, load)
			for i := range 4 {
				sim.silenceDomain(i)
			}
			sim.run(outage, load)
			for _, e := range sim.engines {
				e.dead = false
			}
			sim.run(warmUp, load)
			from := sim.now
			good := sim.goodput(load)
			requests := sim.count(from, func(a *answer) bool { return !a.isRetry })
			t.Logf("from 8 s after the outage: %d new requests, %d answers in time within the following 10 s; %+v", requests, good, sim.core.State.Counts)
			is.True(float64(good) >= minGoodputShare*0.8*capacity*measured.Seconds())
			for _, a := range sim.answers {
				if a.final != nil && a.final.Outcome == table.OutcomeRefused {
					is.True(a.ended.Sub(a.arrived) <= 2*time.Second)
				}
			}
		})
	}
}
