package rollout_test

import (
	"maps"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind/internal/core/rollout"
	"jaywind/internal/core/rule"
	"jaywind/internal/core/table"
)

// answers are outcomes of one version: good ones, and ones that were late.
type answers struct{ good, late uint64 }

// addAnswers adds answers to a router's totals.
func addAnswers(t rollout.Totals, old, fresh answers) rollout.Totals {
	t.Outcomes = maps.Clone(t.Outcomes)
	if t.Outcomes == nil {
		t.Outcomes = map[table.OutcomeKey]table.OutcomeCounts{}
	}
	for isNew, a := range map[bool]answers{false: old, true: fresh} {
		for measure, n := range map[table.Measure]table.OutcomeCounts{
			table.MeasureFailure:    {Good: a.good + a.late},
			table.MeasureFirstToken: {Good: a.good, Bad: a.late, BadBySource: map[table.Source]uint64{"e1": a.late}},
		} {
			key := table.OutcomeKey{RouteMeasure: table.RouteMeasure{Route: "r", Measure: measure}, New: isNew}
			sum := t.Outcomes[key]
			sum.Good, sum.Bad, sum.BadBySource = sum.Good+n.Good, sum.Bad+n.Bad, n.BadBySource
			t.Outcomes[key] = sum
		}
	}
	t.Requests += int(old.good + old.late + fresh.good + fresh.late)
	t.Starts += int(fresh.good + fresh.late)
	return t
}

// TestNextLeaderAtTheEnd: a router begins to lead when the time of the roll-out is nearly over, and gets the totals of the others all at
// once. The test fails if it completes a version that has just turned slow, or takes back one that is as slow as the old version.
func TestNextLeaderAtTheEnd(t *testing.T) {
	tests := map[string]struct {
		recent answers // of the new version, at each router and in each interval
		old    answers
		want   rollout.Phase
	}{
		"good":                           {answers{good: 4}, answers{good: 40}, rollout.PhaseDone},
		"slow":                           {answers{good: 1, late: 3}, answers{good: 40}, rollout.PhaseRolledBack},
		"half of them slow":              {answers{good: 2, late: 2}, answers{good: 40}, rollout.PhaseRolledBack},
		"as slow as the old version":     {answers{good: 2, late: 2}, answers{good: 20, late: 20}, rollout.PhaseDone},
		"too few recent answers to tell": {answers{}, answers{good: 40}, rollout.PhaseDone},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			r := rollout.New(rollout.Order{Service: "desk", Target: "v2", Duration: 30 * time.Second, ReceivedAt: start}, rollout.Bounds{Share: 0.1, ExtraRequests: 50}, nil)
			r.SetEndpoints([]rule.Endpoint{{ID: "e1", Version: "v2", Domain: "a"}, {ID: "e2", Version: "v2", Domain: "b"}, {ID: "e3", Version: "v1", Domain: "a"}})
			r.State = rollout.State{Target: "v2", Phase: rollout.PhaseShift, Step: 3}
			const turnsAt, leadsAt, interval = 27600 * time.Millisecond, 28500 * time.Millisecond, 400 * time.Millisecond
			own := addAnswers(rollout.Totals{}, answers{good: 2000}, answers{good: 100})
			other := own
			for at := 25 * time.Second; at < 30*time.Second && !r.State.Phase.Final(); at += interval {
				recent := answers{good: 4}
				if at >= turnsAt {
					recent = c.recent
				}
				own, other = addAnswers(own, c.old, recent), addAnswers(other, c.old, recent)
				r.Report("vm1", own)
				if at >= leadsAt {
					r.Report("vm2", other)
				}
				if next := r.Decide(start.Add(at)); at >= leadsAt {
					r.State = next
				}
			}
			is.New(t).Equal(r.State.Phase, c.want)
		})
	}
}
