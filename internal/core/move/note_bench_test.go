package move

import (
	"testing"

	"jaywind"
	"jaywind/internal/core/table"
)

// BenchmarkReport encodes and decodes a report on three routes with a few bad outcomes, and measures its size.
func BenchmarkReport(b *testing.B) {
	r := table.Report{Move: moveID(), From: "vm1", State: table.MoveRunning, Outcomes: map[table.OutcomeKey]table.OutcomeCounts{}}
	for _, route := range []jaywind.Route{"risk", "clause", "board"} {
		for k := range paramsByMeasure {
			p := table.RouteMeasure{Route: route, Measure: k}
			r.Outcomes[table.OutcomeKey{RouteMeasure: p}] = table.OutcomeCounts{Good: 9000, Bad: 40, BadBySource: map[table.Source]uint64{"d1": 20, "d2": 20}}
			r.Outcomes[table.OutcomeKey{RouteMeasure: p, New: true}] = table.OutcomeCounts{Good: 900, Bad: 4, BadBySource: map[table.Source]uint64{"e7": 2, "e8": 2}}
		}
	}
	size := 0
	for b.Loop() {
		n, err := EncodeReport(r)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := DecodeReport(n); err != nil {
			b.Fatal(err)
		}
		size = len(n.Value)
	}
	b.ReportMetric(float64(size), "bytes")
}
