package evidence

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind/internal/core/rollout"
	"jaywind/internal/core/table"
)

// TestTotals fails if a part of a router's totals, or of the limits in the reply, is lost on the way.
func TestTotals(t *testing.T) {
	is := is.New(t)
	pair := table.RouteMeasure{Route: "r", Measure: table.MeasureTokenGap}
	want := rollout.Totals{
		Outcomes: map[table.OutcomeKey]table.OutcomeCounts{
			{RouteMeasure: pair, New: true}: {Good: 3, Bad: 2, BadBySource: map[table.Source]uint64{"e1": 2}},
		},
		Target: "v2", Age: 3 * time.Second, Starts: 4, Requests: 9, Unjudged: 1,
		Baselines: map[table.RouteMeasure]table.Durations{pair: {Counts: map[int]uint64{-3: 1, 250: 7}}},
	}
	b, err := EncodeTotals(want)
	is.NoErr(err)
	got, err := DecodeTotals(b)
	is.NoErr(err)
	is.Equal(got, want)

	tests := map[string]rollout.LateLimits{"none": {}, "one": {pair: time.Second}, "of all routes": {{Measure: table.MeasureFirstToken}: time.Minute}}
	for name, want := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b, err := EncodeLimits(want)
			is.NoErr(err)
			limits, err := DecodeLimits(b)
			is.NoErr(err)
			is.Equal(limits, want)
		})
	}
	_, err = DecodeLimits(nil) // of a leader that sends none
	is.NoErr(err)
}
