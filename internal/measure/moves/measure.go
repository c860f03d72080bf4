package moves

import (
	"context"

	"github.com/sourcegraph/conc/iter"

	"jaywind/internal/measure/report"
)

const studyName = "moves"

// The brief's measures, as the letter's issue states them.
const (
	doneTarget  = 0.95 // share of good versions that finish in time
	backTarget  = 0.99 // share of bad versions that are taken back
	afterTarget = 1.0  // percent of the traffic, 2 s after a version showed itself bad
)

// Measure plays each kind at the loads so often and returns rows for good and bad versions.
func Measure(ctx context.Context, loads []Load, kinds []Kind, runs int) ([]report.Row, error) {
	var studies []Study
	for _, l := range loads {
		for _, k := range kinds {
			studies = append(studies, Study{Load: l, Kind: k, Runs: runs, Seed: 1})
		}
	}
	results := iter.Map(studies, func(y *Study) Result {
		if ctx.Err() != nil {
			return Result{}
		}
		return y.Run()
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
		return report.Row{Study: studyName, Case: r.Load.Name + ", " + r.Kind.Name, Measure: measure, Value: value, Unit: unit}
	}
	runs := float64(r.Runs)
	if !r.Kind.Bad {
		return []report.Row{row("done in time", float64(r.Done)/runs, "share").AtLeast(doneTarget)}
	}
	return []report.Row{
		row("taken back", float64(r.Back)/runs, "share").AtLeast(backTarget),
		row("traffic before it showed", 100*r.Before, "%"),
		row("traffic after 2 s", 100*r.After, "%").AtMost(afterTarget),
	}
}
