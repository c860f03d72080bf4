package moves

import (
	"context"

	"github.com/sourcegraph/conc/iter"

	"jaywind/internal/measure/report"
)

const studyName = "moves"

// The required results.
const (
	completedTarget = 0.95 // share of moves to a good version that complete by the deadline
	rollbackTarget  = 0.99 // share of moves to a bad version that are rolled back
	exposureTarget  = 1.0  // highest % of the traffic on a bad version, from 2 s after the oracle detected it
)

// Measure simulates each scenario with each workload, as often as runs says, and returns the rows.
func Measure(ctx context.Context, loads []Workload, kinds []Scenario, runs int) ([]report.Row, error) {
	var studies []Study
	for _, l := range loads {
		for _, k := range kinds {
			studies = append(studies, Study{Workload: l, Scenario: k, Runs: runs, Seed: 1})
		}
	}
	results := iter.Map(studies, func(s *Study) Result {
		if ctx.Err() != nil {
			return Result{}
		}
		return s.Run()
	})
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	var rows []report.Row
	for _, r := range results {
		rows = append(rows, r.rows()...)
	}
	return rows, nil
}

func (r Result) rows() []report.Row {
	row := func(measure string, value float64, unit string) report.Row {
		return report.Row{Study: studyName, Case: r.Workload.Name + ", " + r.Scenario.Name, Measure: measure, Value: value, Unit: unit}
	}
	runs := float64(r.Runs)
	if !r.Scenario.Bad {
		return []report.Row{row("done in time", float64(r.Done)/runs, "share").AtLeast(completedTarget)}
	}
	return []report.Row{
		row("taken back", float64(r.RolledBack)/runs, "share").AtLeast(rollbackTarget),
		row("traffic before it showed", 100*r.ShareBefore, "%"),
		row("traffic after 2 s", 100*r.ShareAfter, "%").AtMost(exposureTarget),
	}
}
