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

// version is how a new version behaves.
type version struct {
	bad   float64       // share of its answers that fail
	after time.Duration // since the order, when it begins to
}

// play runs an order of 16 s over a few routers and returns how it ended and how many requests the new version got.
func play(t *testing.T, v version, rate int, seed uint64) (rollout.Steps, int, int) {
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
			tot := &totals[random.IntN(routers)]
			tot.All++
			all++
			fresh := r.Steps.Phase == rollout.PhaseShift || r.Steps.Phase == rollout.PhaseDone ||
				r.Steps.Phase == rollout.PhaseTrial && random.Float64() < r.Steps.Share
			rate := 0.01
			source := table.Source(endpoints[random.IntN(2)].Domain)
			if fresh {
				tot.Starts++
				starts++
				source = table.Source(endpoints[2+random.IntN(2)].ID)
				if now.Sub(start) >= v.after {
					rate = max(rate, v.bad)
				}
			}
			c := table.Cell{Pair: table.Pair{Route: "r", Measure: table.MeasureFailure}, New: fresh}
			n := tot.Cells[c]
			if random.Float64() < rate {
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
			tot.Cells[c] = n
		}
		for i, tot := range totals {
			cells := map[table.Cell]table.Tally{}
			for c, n := range tot.Cells {
				cells[c] = n
			}
			r.Report(jaywind.VM(rune('A'+i)), rollout.Totals{Cells: cells, Starts: tot.Starts, All: tot.All})
		}
		r.Steps = r.Decide(now)
	}
	return r.Steps, starts, all
}

func TestVersions(t *testing.T) {
	tests := map[string]struct {
		version version
		rate    int // requests a second
		want    rollout.Phase
	}{
		"good":                    {version{}, 80, rollout.PhaseDone},
		"good, thin traffic":      {version{}, 30, rollout.PhaseDone},
		"good, very thin":         {version{}, 0, rollout.PhaseBack}, // nobody can vouch for it
		"bad at once":             {version{bad: 0.5}, 80, rollout.PhaseBack},
		"all fail":                {version{bad: 1}, 80, rollout.PhaseBack},
		"bad later, in the trial": {version{bad: 0.5, after: 4 * time.Second}, 80, rollout.PhaseBack},
		"bad under all the load":  {version{bad: 0.5, after: 9 * time.Second}, 80, rollout.PhaseBack},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				is := is.New(t)
				steps, starts, all := play(t, c.version, c.rate, seed)
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

// TestAct: the operator hears of an end only once it stands, and an end is never taken back.
func TestAct(t *testing.T) {
	steps := func(target jaywind.Version, p rollout.Phase) rollout.Steps {
		return rollout.Steps{Target: target, Phase: p}
	}
	tests := map[string]struct {
		stored, decided rollout.Steps
		want            rollout.Action
	}{
		"nothing is there":           {rollout.Steps{}, steps("v2", rollout.PhaseTrial), rollout.ActSteps},
		"it is there":                {steps("v2", rollout.PhaseTrial), steps("v2", rollout.PhaseTrial), rollout.ActStatus},
		"the end is not there":       {steps("v2", rollout.PhaseTrial), steps("v2", rollout.PhaseBack), rollout.ActSteps},
		"the end is there":           {steps("v2", rollout.PhaseBack), steps("v2", rollout.PhaseBack), rollout.ActStatus},
		"another end is there":       {steps("v2", rollout.PhaseBack), steps("v2", rollout.PhaseDone), rollout.ActNone},
		"a new lead would begin":     {steps("v2", rollout.PhaseDone), steps("v2", rollout.PhaseTrial), rollout.ActNone},
		"the end of an older target": {steps("v1", rollout.PhaseDone), steps("v2", rollout.PhaseTrial), rollout.ActSteps},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(rollout.Act(c.stored, c.decided), c.want)
		})
	}
}
