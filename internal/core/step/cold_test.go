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

// burst has callers arrive at once at a new router and returns how long each waited for its first token, refusals included.
func (w *world) burst(callers int) []time.Duration {
	w.returns = true
	w.run(200*time.Millisecond, nil) // rules and reports arrive
	start := w.now
	for i := range callers {
		id := jaywind.RequestID(fmt.Sprint("b", i))
		w.ask(table.Ask{ID: id, Listener: 1, Organisation: "large", Model: "heat", Prompt: string(make([]byte, 400)), Limit: burstTokens}, false)
	}
	w.run(20*time.Second, nil)
	var waits []time.Duration
	for _, a := range w.answers {
		if !a.first.IsZero() {
			waits = append(waits, a.first.Sub(start))
		}
	}
	slices.Sort(waits)
	return waits
}

// TestBurstAtANewRouter has the target's share of first tokens in time, unless there are more callers than slots.
func TestBurstAtANewRouter(t *testing.T) {
	const share = 0.95
	for _, engines := range []int{2, 8} {
		for _, callers := range []int{10, 25, 50, 100} {
			t.Run(fmt.Sprintf("%d callers, %d engines", callers, engines), func(t *testing.T) {
				is := is.New(t)
				w := newWorldOf(engines)
				waits := w.burst(callers)
				is.Equal(len(waits), callers) // those that were refused have come back
				inTime, _ := slices.BinarySearch(waits, firstTarget+1)
				refused := w.count(w.start, func(a *answer) bool { return a.final != nil && a.final.Outcome == table.OutcomeRefused })
				t.Logf("first token p50 %v, p95 %v, %d in time; %d refusals", waits[callers/2], waits[callers*95/100], inTime, refused)
				is.True(callers > engines*slots || float64(inTime) >= share*float64(callers))
			})
		}
	}
}
