package move

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind/internal/core/table"
)

// TestRecordDuration compares a duration on the new version to a history of 10 ms on the old one.
func TestRecordDuration(t *testing.T) {
	tests := map[string]struct {
		took time.Duration
		bad  uint64
	}{
		"as fast":             {took: 10 * time.Millisecond},
		"a tenth slower":      {took: 11 * time.Millisecond},
		"a fifth slower":      {took: 12 * time.Millisecond},
		"four tenths slower":  {took: 14 * time.Millisecond, bad: 1},
		"nearly twice slower": {took: 18 * time.Millisecond, bad: 1},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newSimulator(t)
			b.step()
			m := b.state.Moves["heat"]
			for range 100 {
				RecordDuration(b.state, m, &table.Observation{Route: "risk", Endpoint: "e1"}, table.MeasureTokenGap, 10*time.Millisecond)
			}
			RecordDuration(b.state, m, &table.Observation{Route: "risk", Endpoint: "e7", New: true}, table.MeasureTokenGap, c.took)
			key := table.OutcomeKey{RouteMeasure: table.RouteMeasure{Route: "risk", Measure: table.MeasureTokenGap}, New: true}
			is.Equal(m.Evidence.Own[key].Bad, c.bad)
		})
	}
}
