package step

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind/internal/core/table"
)

// silenceDomain stops the answers of all engines in one of the four failure domains.
func (sim *simulation) silenceDomain(domain int) {
	for i := domain; i < len(sim.engines); i += 4 {
		sim.engines[i].dead = true
	}
}

// interrupted returns the answers that were partly delivered at a time.
func (sim *simulation) interrupted(at time.Time) []*answer {
	var out []*answer
	for _, a := range sim.answers {
		if !a.first.IsZero() && a.first.Before(at) && (a.final == nil || a.ended.After(at)) {
			out = append(out, a)
		}
	}
	return out
}

// completedOrStreaming tells whether an answer is complete, or has received a token within the last second.
func (sim *simulation) completedOrStreaming(a *answer) bool {
	if a.final == nil {
		return sim.now.Sub(a.last) <= time.Second
	}
	return a.final.Outcome == table.OutcomeCompleted
}

func TestLossOfFailureDomains(t *testing.T) {
	tests := map[string]struct {
		domains     int // silent ones, of four
		promptBytes int // prompt size of long generations
	}{
		"one":                    {domains: 1},
		"one, with long prompts": {domains: 1, promptBytes: 16000},
		"three":                  {domains: 3, promptBytes: 16000},
	}
	for name, c := range tests {
		for _, baseline := range []bool{true, false} {
			t.Run(fmt.Sprint(name, ", baseline ", baseline), func(t *testing.T) {
				is := is.New(t)
				sim := newSimulation(baseline)
				sim.longPromptBytes = c.promptBytes
				load := rates{"large": 0.8 * capacity}
				sim.run(warmUp, load)
				at := sim.now
				for i := range c.domains {
					sim.silenceDomain(i)
				}
				sim.run(measured, load)
				sim.run(coolDown, nil)
				worst, late, gaveUp, resumed := time.Duration(0), 0, 0, 0
				for _, a := range sim.interrupted(at) {
					if !sim.completedOrStreaming(a) {
						gaveUp++
						is.True(baseline || a.final != nil && a.ended.Sub(at) <= resumeTarget && a.final.RetryAfter > 0)
						continue
					}
					resumed++
					worst = max(worst, a.gap)
					if a.gap > resumeTarget {
						late++
					}
				}
				good := sim.count(at, func(a *answer) bool { return a.inTime() })
				requests := sim.count(at, func(*answer) bool { return true })
				t.Logf("%d interrupted answers resumed, %d late, longest gap %v, %d given up; of %d requests after the loss %d in time; %+v",
					resumed, late, worst, gaveUp, requests, good, sim.core.State.Counts)
				is.True(baseline || late == 0)
				is.True(baseline || resumed > 0)
			})
		}
	}
}
