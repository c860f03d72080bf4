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
func simulate(t *testing.T, b behaviour, rate int, seed uint64) (rollout.Steps, int, int) {
	t.Helper()
	const routers, length = 4, 16 * time.Second
	random := rand.New(rand.NewPCG(seed, 1))
	start := time.Unix(1000, 0)
	r := rollout.New(rollout.Order{Service: "pool", Target: "v2", For: length, Seen: start}, rollout.Bounds{Share: 0.1, Slack: 50})
	var endpoints []rule.Endpoint
	for i, e := range []jaywind.Version{"v1", "v1", "v2", "v2"} {
		id := jaywind.EndpointID(rune('a' + i))
		endpoints = append(endpoints, rule.Endpoint{ID: id, Version: e, Domain: jaywind.Domain(rune('x' + i%2))})
	}
	r.Know(endpoints)
	totals := make([]rollout.Totals, routers)
	for i := range totals {
		totals[i].Cells = map[table.Cell]table.Tally{}
	}
	all, starts := 0, 0
	for now := start; now.Before(start.Add(length)); now = now.Add(100 * time.Millisecond) {
		for range rate / 10 {
			total := &totals[random.IntN(routers)]
			total.All++
			all++
			onNew := r.Steps.Phase == rollout.PhaseShift || r.Steps.Phase == rollout.PhaseDone ||
				r.Steps.Phase == rollout.PhaseTrial && random.Float64() < r.Steps.Share
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
			c := table.Cell{Pair: table.Pair{Route: "r", Measure: table.MeasureFailure}, New: onNew}
			n := total.Cells[c]
			if random.Float64() < failRate {
				by := map[table.Source]uint64{source: n.By[source] + 1}
				for s, k := range n.By {
					if s != source {
						by[s] = k
					}
				}
				n.Bad, n.By = n.Bad+1, by
			} else {
				n.Good++
			}
			total.Cells[c] = n
		}
		for i, total := range totals {
			cells := map[table.Cell]table.Tally{}
			for c, n := range total.Cells {
				cells[c] = n
			}
			r.Report(jaywind.VM(rune('A'+i)), rollout.Totals{Cells: cells, Starts: total.Starts, All: total.All})
		}
		r.Steps = r.Decide(now)
	}
	return r.Steps, starts, all
}

func TestVersions(t *testing.T) {
	tests := map[string]struct {
		behaviour behaviour
		rate      int // requests per second
		want      rollout.Phase
	}{
		"good":                           {behaviour{}, 80, rollout.PhaseDone},
		"good, thin traffic":             {behaviour{}, 30, rollout.PhaseDone},
		"good, very thin":                {behaviour{}, 0, rollout.PhaseBack}, // no answers to judge it by
		"bad at once":                    {behaviour{failRate: 0.5}, 80, rollout.PhaseBack},
		"all fail":                       {behaviour{failRate: 1}, 80, rollout.PhaseBack},
		"bad later, in the canary phase": {behaviour{failRate: 0.5, after: 4 * time.Second}, 80, rollout.PhaseBack},
		"bad under full load":            {behaviour{failRate: 0.5, after: 9 * time.Second}, 80, rollout.PhaseBack},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				is := is.New(t)
				steps, starts, all := simulate(t, c.behaviour, c.rate, seed)
				if steps.Phase != c.want {
					t.Fatalf("seed %d: %+v, want %s", seed, steps, c.want)
				}
				if c.want == rollout.PhaseBack {
					is.True(float64(starts) <= 0.1*float64(all)+50) // the bound on a bad version
				}
			}
		})
	}
}

// TestAct checks that the operator is told of an end only once it is stored, and that a stored end is never overwritten.
func TestAct(t *testing.T) {
	steps := func(target jaywind.Version, p rollout.Phase) rollout.Steps {
		return rollout.Steps{Target: target, Phase: p}
	}
	tests := map[string]struct {
		stored, decided rollout.Steps
		want            rollout.Action
	}{
		"nothing stored":                     {rollout.Steps{}, steps("v2", rollout.PhaseTrial), rollout.ActSteps},
		"same state stored":                  {steps("v2", rollout.PhaseTrial), steps("v2", rollout.PhaseTrial), rollout.ActStatus},
		"end not stored":                     {steps("v2", rollout.PhaseTrial), steps("v2", rollout.PhaseBack), rollout.ActSteps},
		"same end stored":                    {steps("v2", rollout.PhaseBack), steps("v2", rollout.PhaseBack), rollout.ActStatus},
		"different end stored":               {steps("v2", rollout.PhaseBack), steps("v2", rollout.PhaseDone), rollout.ActNone},
		"new lead starts over after the end": {steps("v2", rollout.PhaseDone), steps("v2", rollout.PhaseTrial), rollout.ActNone},
		"end of an older target stored":      {steps("v1", rollout.PhaseDone), steps("v2", rollout.PhaseTrial), rollout.ActSteps},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(rollout.Act(c.stored, c.decided), c.want)
		})
	}
}
