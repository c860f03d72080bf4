package step

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/internal/core/table"
)

const burstTokens = 200 // in each answer

// burst sends one request from each of many callers at once to a new router. It returns the sorted times to first token;
// the time of a refused caller includes its retries.
func (sim *simulation) burst(callers int) []time.Duration {
	sim.retryRefused = true
	sim.run(200*time.Millisecond, nil) // receive the rules and load reports
	start := sim.now
	for i := range callers {
		id := jaywind.RequestID(fmt.Sprint("b", i))
		sim.submit(table.GenerationRequest{ID: id, Listener: 1, Organisation: "large", Model: "heat", Prompt: string(make([]byte, 400)), MaxTokens: burstTokens}, false)
	}
	sim.run(20*time.Second, nil)
	var waits []time.Duration
	for _, a := range sim.answers {
		if !a.first.IsZero() {
			waits = append(waits, a.first.Sub(start))
		}
	}
	slices.Sort(waits)
	return waits
}

// TestBurstAtANewRouter checks that a new router, whose limit is still unadjusted, delivers 95% of first tokens within the
// target, unless there are more callers than engine slots.
func TestBurstAtANewRouter(t *testing.T) {
	const share = 0.95
	for _, engines := range []int{2, 8} {
		for _, callers := range []int{10, 25, 50, 100} {
			t.Run(fmt.Sprintf("%d callers, %d engines", callers, engines), func(t *testing.T) {
				is := is.New(t)
				sim := newSimulationOf(engines)
				waits := sim.burst(callers)
				is.Equal(len(waits), callers) // refused callers have retried
				inTime, _ := slices.BinarySearch(waits, firstTarget+1)
				refused := sim.count(sim.start, func(a *answer) bool { return a.final != nil && a.final.Outcome == table.OutcomeRefused })
				t.Logf("first token p50 %v, p95 %v, %d in time; %d refusals", waits[callers/2], waits[callers*95/100], inTime, refused)
				is.True(callers > engines*engineSlots || float64(inTime) >= share*float64(callers))
			})
		}
	}
}
