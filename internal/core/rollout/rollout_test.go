package rollout_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/internal/core/rollout"
	"jaywind/internal/core/rule"
	"jaywind/internal/core/table"
)

// behaviour describes how a new version fails.
type behaviour struct {
	failRate float64       // share of its answers that fail
	after    time.Duration // time since the order from which they fail
}

// simulate runs an order of 16 s on four routers. It returns the final state, the requests on the new version and all
// requests.
func simulate(t *testing.T, b behaviour, rate int, seed uint64) (rollout.State, int, int) {
	t.Helper()
	const routers, length = 4, 16 * time.Second
	random := rand.New(rand.NewPCG(seed, 1))
	start := time.Unix(1000, 0)
	r := rollout.New(rollout.Order{Service: "pool", Target: "v2", Duration: length, ReceivedAt: start}, rollout.Bounds{Share: 0.1, ExtraRequests: 50}, nil)
	var endpoints []rule.Endpoint
	for i, e := range []jaywind.Version{"v1", "v1", "v2", "v2"} {
		id := jaywind.EndpointID(rune('a' + i))
		endpoints = append(endpoints, rule.Endpoint{ID: id, Version: e, Domain: jaywind.Domain(rune('x' + i%2))})
	}
	r.SetEndpoints(endpoints)
	totals := make([]rollout.Totals, routers)
	for i := range totals {
		totals[i].Outcomes = map[table.OutcomeKey]table.OutcomeCounts{}
	}
	all, starts := 0, 0
	for now := start; now.Before(start.Add(length)); now = now.Add(100 * time.Millisecond) {
		for range rate / 10 {
			total := &totals[random.IntN(routers)]
			total.Requests++
			all++
			onNew := r.State.Phase == rollout.PhaseShift || r.State.Phase == rollout.PhaseDone ||
				r.State.Phase == rollout.PhaseCanary && random.Float64() < r.State.Share
			failRate := 0.01
			source := table.Source(endpoints[random.IntN(2)].Domain)
			if onNew {
				total.Starts++
				starts++
				source = table.Source(endpoints[2+random.IntN(2)].ID)
				if now.Sub(start) >= b.after {
					failRate = max(failRate, b.failRate)
				}
			}
			c := table.OutcomeKey{RouteMeasure: table.RouteMeasure{Route: "r", Measure: table.MeasureFailure}, New: onNew}
			n := total.Outcomes[c]
			if random.Float64() < failRate {
				by := map[table.Source]uint64{source: n.BadBySource[source] + 1}
				for s, k := range n.BadBySource {
					if s != source {
						by[s] = k
					}
				}
				n.Bad, n.BadBySource = n.Bad+1, by
			} else {
				n.Good++
			}
			total.Outcomes[c] = n
		}
		for i, total := range totals {
			outcomes := map[table.OutcomeKey]table.OutcomeCounts{}
			for c, n := range total.Outcomes {
				outcomes[c] = n
			}
			r.Report(jaywind.VM(rune('A'+i)), rollout.Totals{Outcomes: outcomes, Starts: total.Starts, Requests: total.Requests})
		}
		r.State = r.Decide(now)
	}
	return r.State, starts, all
}

func TestVersions(t *testing.T) {
	tests := map[string]struct {
		behaviour behaviour
		rate      int // requests per second
		want      rollout.Phase
	}{
		"good":                           {behaviour{}, 80, rollout.PhaseDone},
		"good, thin traffic":             {behaviour{}, 30, rollout.PhaseDone},
		"good, very thin":                {behaviour{}, 0, rollout.PhaseRolledBack}, // no answers to judge it by
		"bad at once":                    {behaviour{failRate: 0.5}, 80, rollout.PhaseRolledBack},
		"all fail":                       {behaviour{failRate: 1}, 80, rollout.PhaseRolledBack},
		"bad later, in the canary phase": {behaviour{failRate: 0.5, after: 4 * time.Second}, 80, rollout.PhaseRolledBack},
		"bad under full load":            {behaviour{failRate: 0.5, after: 9 * time.Second}, 80, rollout.PhaseRolledBack},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				is := is.New(t)
				state, starts, all := simulate(t, c.behaviour, c.rate, seed)
				if state.Phase != c.want {
					t.Fatalf("seed %d: %+v, want %s", seed, state, c.want)
				}
				if c.want == rollout.PhaseRolledBack {
					is.True(float64(starts) <= 0.1*float64(all)+50) // the bound on a bad version
				}
			}
		})
	}
}

// TestSupersedes: a store that has come back from an older copy shows an earlier state. The test fails if a roll-out returns to
// it, or if a state of a router that writes no steps is not followed.
func TestSupersedes(t *testing.T) {
	state := func(p rollout.Phase, share float64, step int) rollout.State {
		return rollout.State{Target: "v2", Phase: p, Share: share, Step: step}
	}
	canary, shift, done, back := rollout.PhaseCanary, rollout.PhaseShift, rollout.PhaseDone, rollout.PhaseRolledBack
	tests := map[string]struct {
		old, next rollout.State
		want      bool
	}{
		"larger share":          {state(canary, 0.1, 1), state(canary, 0.2, 2), true},
		"earlier share":         {state(canary, 0.1, 3), state(canary, 0.4, 2), false},
		"same step, other lead": {state(canary, 0.1, 2), state(canary, 0.2, 2), true},
		"without steps":         {state(canary, 0.1, 0), state(canary, 0.2, 0), true},
		"lead without steps":    {state(canary, 0.1, 4), state(canary, 0.2, 0), true},
		"same state":            {state(canary, 0.1, 1), state(canary, 0.1, 1), false},
		"shift":                 {state(canary, 0.1, 1), state(shift, 0.1, 2), true},
		"back from shift":       {state(shift, 0.1, 2), state(canary, 0.1, 1), false},
		"back, without steps":   {state(shift, 0.1, 0), state(canary, 0.1, 0), false},
		"done":                  {state(shift, 0.1, 2), state(done, 0.1, 3), true},
		"end is taken back":     {state(done, 0.1, 3), state(shift, 0.1, 2), false},
		"another end":           {state(done, 0.1, 3), state(back, 0.1, 9), false},
		"end with fewer steps":  {state(canary, 0.1, 9), state(back, 0.1, 2), true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(c.next.Supersedes(c.old), c.want)
		})
	}
}

// TestNextAction checks that the operator is told of an end only once it is stored, and that a stored end is never overwritten.
func TestNextAction(t *testing.T) {
	state := func(target jaywind.Version, p rollout.Phase) rollout.State {
		return rollout.State{Target: target, Phase: p}
	}
	tests := map[string]struct {
		stored, decided rollout.State
		want            rollout.Action
	}{
		"nothing stored":                     {rollout.State{}, state("v2", rollout.PhaseCanary), rollout.ActWriteState},
		"same state stored":                  {state("v2", rollout.PhaseCanary), state("v2", rollout.PhaseCanary), rollout.ActWriteStatus},
		"end not stored":                     {state("v2", rollout.PhaseCanary), state("v2", rollout.PhaseRolledBack), rollout.ActWriteState},
		"same end stored":                    {state("v2", rollout.PhaseRolledBack), state("v2", rollout.PhaseRolledBack), rollout.ActWriteStatus},
		"different end stored":               {state("v2", rollout.PhaseRolledBack), state("v2", rollout.PhaseDone), rollout.ActNone},
		"new lead starts over after the end": {state("v2", rollout.PhaseDone), state("v2", rollout.PhaseCanary), rollout.ActNone},
		"end of an older target stored":      {state("v1", rollout.PhaseDone), state("v2", rollout.PhaseCanary), rollout.ActWriteState},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(rollout.NextAction(c.stored, c.decided), c.want)
		})
	}
}
