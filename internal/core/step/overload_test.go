package step

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/internal/core/table"
)

type rates = map[jaywind.Organisation]float64

// The load tests use 8 simulated engines; capacity is how many requests they complete per second with all slots busy.
const (
	fleetSize       = 8
	meanTokens      = 0.97*99.5 + 0.03*1500                          // of the answers that submitNew asks for
	capacity        = fleetSize * engineSlots / (0.026 * meanTokens) // 26 ms is the gap of an engine with all slots busy
	noLimits        = "organisation large rate=0 # test\norganisation small rate=0 # test\n"
	warmUp          = 8 * time.Second
	measured        = 10 * time.Second
	coolDown        = 5 * time.Second
	minGoodputShare = 0.9 // of the goodput at capacity, when the load is twice the capacity
)

// goodput runs a load and returns how many requests of the measured period were answered in time.
func (sim *simulation) goodput(load rates) int {
	sim.run(warmUp, load)
	from := sim.now
	sim.run(measured, load)
	end := sim.now
	sim.run(coolDown, load)
	return sim.count(from, func(a *answer) bool { return a.arrived.Before(end) && a.inTime() })
}

func TestGoodputAtTwiceCapacity(t *testing.T) {
	is := is.New(t)
	got := map[bool][]int{}
	for _, baseline := range []bool{true, false} {
		for _, factor := range []float64{1, 2} {
			sim := newSimulation(baseline)
			got[baseline] = append(got[baseline], sim.goodput(rates{"large": factor * capacity}))
		}
	}
	t.Logf("answers in time at 1x and 2x: baseline %d, jaywind %d", got[true], got[false])
	is.True(float64(got[false][1]) >= minGoodputShare*float64(got[false][0]))
	is.True(got[false][0] >= got[true][0]) // at capacity, no worse than the baseline
}

func TestSmallOrganisationDuringFlood(t *testing.T) {
	is := is.New(t)
	for _, baseline := range []bool{true, false} {
		sim := newSimulation(baseline)
		sim.run(warmUp, rates{"large": 3 * capacity})
		from := sim.now
		sim.run(measured, rates{"large": 3 * capacity, "small": 8})
		end := sim.now
		sim.run(coolDown, rates{"large": 3 * capacity})
		small := func(a *answer) bool { return a.organisation == "small" && a.arrived.Before(end) }
		all := sim.count(from, small)
		good := sim.count(from, func(a *answer) bool { return small(a) && a.inTime() })
		t.Logf("baseline %v: %d of %d answers of the small organisation in time", baseline, good, all)
		is.True(baseline || float64(good) >= 0.95*float64(all))
	}
}

// TestRefusalsAreFinalAtOnce checks that at twice the capacity, refusals are immediate, final and carry a retry delay.
func TestRefusalsAreFinalAtOnce(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(false)
	sim.goodput(rates{"large": 2 * capacity})
	refused := 0
	for _, a := range sim.answers {
		if a.final == nil || a.final.Outcome != table.OutcomeRefused {
			continue
		}
		refused++
		is.True(a.first.IsZero())                      // a refused request has not run
		is.True(a.ended.Sub(a.arrived) <= firstTarget) // the caller does not wait longer than for a first token
		is.True(a.final.RetryAfter >= time.Second)     // the caller is told when to retry
		is.True(a.final.RetryAfter <= 2*time.Minute)
	}
	is.True(refused > 0)
}
