package step

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind/internal/core/table"
)

func TestGoodputWithAFault(t *testing.T) {
	tests := map[string]func(w *world){
		"slow engine":          func(w *world) { w.engines[3].slow = 4 },
		"engine that refuses":  func(w *world) { w.engines[3].refuse = true },
		"engine that is dead":  func(w *world) { w.engines[3].dead = true },
		"no load reports":      func(w *world) { w.reports = false },
		"load reports stopped": func(w *world) { w.run(time.Second, rates{"large": 0.7 * capacity}); w.reports = false },
	}
	whole := newWorld(false)
	want := whole.goodput(rates{"large": 0.7 * capacity})
	for name, strike := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var got []int
			for _, naive := range []bool{true, false} {
				w := newWorld(naive)
				strike(w)
				got = append(got, w.goodput(rates{"large": 0.7 * capacity}))
			}
			t.Logf("answers in time: baseline %d, jaywind %d, without the fault %d", got[0], got[1], want)
			is.True(float64(got[1]) >= shareAtTwice*float64(want))
		})
	}
}

// TestReturnAfterAnOutage lets all engines fall silent for a while, and refused callers come back when told to.
func TestReturnAfterAnOutage(t *testing.T) {
	tests := map[string]time.Duration{
		"shorter than resumes wait": 5 * time.Second,
		"longer than resumes wait":  15 * time.Second,
	}
	for name, outage := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(false)
			w.returns = true
			load := rates{"large": 0.8 * capacity}
			w.run(warmUp, load)
			for i := range 4 {
				w.lose(i)
			}
			w.run(outage, load)
			for _, e := range w.engines {
				e.dead = false
			}
			w.run(warmUp, load)
			from := w.now
			good := w.goodput(load)
			asked := w.count(from, func(a *answer) bool { return !a.again })
			t.Logf("from 8 s after the outage, %d callers asked, %d answers in time in the later 10 s; %+v", asked, good, w.core.State.Counts)
			is.True(float64(good) >= shareAtTwice*0.8*capacity*measured.Seconds())
			for _, a := range w.answers {
				if a.final != nil && a.final.Outcome == table.OutcomeRefused {
					is.True(a.ended.Sub(a.arrived) <= 2*time.Second)
				}
			}
		})
	}
}
