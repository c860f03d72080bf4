package step

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/internal/core/table"
)

type rates = map[jaywind.Organisation]float64

// The load rows use 8 modelled engines; capacity is what they complete a second with all slots busy.
const (
	fleetSize    = 8
	meanTokens   = 0.97*99.5 + 0.03*1500
	capacity     = fleetSize * slots / (0.026 * meanTokens)
	noLimits     = "organisation large rate=0 # test\norganisation small rate=0 # test\n"
	warmUp       = 8 * time.Second
	measured     = 10 * time.Second
	coolDown     = 5 * time.Second
	shareAtTwice = 0.9 // of the goodput at capacity, at twice the load
)

// goodput runs a load and returns the answers in time among those asked for in the measured window.
func (w *world) goodput(load rates) int {
	w.run(warmUp, load)
	from := w.now
	w.run(measured, load)
	till := w.now
	w.run(coolDown, load)
	return w.count(from, func(a *answer) bool { return a.arrived.Before(till) && a.good() })
}

func TestGoodputAtTwiceCapacity(t *testing.T) {
	is := is.New(t)
	got := map[bool][]int{}
	for _, naive := range []bool{true, false} {
		for _, factor := range []float64{1, 2} {
			w := newWorld(naive)
			got[naive] = append(got[naive], w.goodput(rates{"large": factor * capacity}))
		}
	}
	t.Logf("answers in time at 1x and 2x: baseline %d, jaywind %d", got[true], got[false])
	is.True(float64(got[false][1]) >= shareAtTwice*float64(got[false][0]))
	is.True(got[false][0] >= got[true][0]) // nothing is lost at capacity
}

func TestSmallOrganisationDuringFlood(t *testing.T) {
	is := is.New(t)
	for _, naive := range []bool{true, false} {
		w := newWorld(naive)
		w.run(warmUp, rates{"large": 3 * capacity})
		from := w.now
		w.run(measured, rates{"large": 3 * capacity, "small": 8})
		till := w.now
		w.run(coolDown, rates{"large": 3 * capacity})
		small := func(a *answer) bool { return a.organisation == "small" && a.arrived.Before(till) }
		all := w.count(from, small)
		good := w.count(from, func(a *answer) bool { return small(a) && a.good() })
		t.Logf("baseline %v: %d of %d answers of the small organisation in time", naive, good, all)
		is.True(naive || float64(good) >= 0.95*float64(all))
	}
}

// TestRefusalsAreFinalAtOnce checks what callers hear at twice the capacity.
func TestRefusalsAreFinalAtOnce(t *testing.T) {
	is := is.New(t)
	w := newWorld(false)
	w.goodput(rates{"large": 2 * capacity})
	refused := 0
	for _, a := range w.answers {
		if a.final == nil || a.final.Outcome != table.OutcomeRefused {
			continue
		}
		refused++
		is.True(a.first.IsZero())                      // a refusal says that nothing ran
		is.True(a.ended.Sub(a.arrived) <= firstTarget) // no caller is held
		is.True(a.final.RetryAfter >= time.Second)     // the caller hears when to come back
		is.True(a.final.RetryAfter <= 2*time.Minute)   //
	}
	is.True(refused > 0)
}
