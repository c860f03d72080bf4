package step

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind/internal/core/table"
)

// lose lets the engines of one of four failure domains fall silent.
func (w *world) lose(domain int) {
	for i := domain; i < len(w.engines); i += 4 {
		w.engines[i].dead = true
	}
}

// interrupted returns the answers that were under way and not whole at a time.
func (w *world) interrupted(at time.Time) []*answer {
	var out []*answer
	for _, a := range w.answers {
		if !a.first.IsZero() && a.first.Before(at) && (a.final == nil || a.ended.After(at)) {
			out = append(out, a)
		}
	}
	return out
}

// goesOn tells whether an answer is whole, or has gone on until now.
func (w *world) goesOn(a *answer) bool {
	if a.final == nil {
		return w.now.Sub(a.last) <= time.Second
	}
	return a.final.Outcome == table.OutcomeWhole
}

func TestLossOfFailureDomains(t *testing.T) {
	tests := map[string]struct {
		domains int // lost of four
		long    int // bytes of the prompts of long generations
	}{
		"one":                    {domains: 1},
		"one, with long prompts": {domains: 1, long: 16000},
		"three":                  {domains: 3, long: 16000},
	}
	for name, c := range tests {
		for _, naive := range []bool{true, false} {
			t.Run(fmt.Sprint(name, ", baseline ", naive), func(t *testing.T) {
				is := is.New(t)
				w := newWorld(naive)
				w.long = c.long
				load := rates{"large": 0.8 * capacity}
				w.run(warmUp, load)
				at := w.now
				for i := range c.domains {
					w.lose(i)
				}
				w.run(measured, load)
				w.run(coolDown, nil)
				worst, late, given, whole := time.Duration(0), 0, 0, 0
				for _, a := range w.interrupted(at) {
					if !w.goesOn(a) {
						given++
						is.True(naive || a.final != nil && a.ended.Sub(at) <= resumeTarget && a.final.RetryAfter > 0)
						continue
					}
					whole++
					worst = max(worst, a.gap)
					if a.gap > resumeTarget {
						late++
					}
				}
				good := w.count(at, func(a *answer) bool { return a.good() })
				asked := w.count(at, func(*answer) bool { return true })
				t.Logf("%d under way went on, %d late, longest gap %v, %d given up; of %d asked after the loss %d in time; %+v",
					whole, late, worst, given, asked, good, w.core.State.Counts)
				is.True(naive || late == 0)
				is.True(naive || whole > 0)
			})
		}
	}
}
