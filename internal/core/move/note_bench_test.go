package move

import (
	"testing"

	"jaywind"
	"jaywind/internal/core/table"
)

// BenchmarkReport encodes and decodes a report on three routes with a few bad outcomes, and measures its size.
func BenchmarkReport(b *testing.B) {
	r := table.Report{Move: moveID(), From: "vm1", State: table.MoveGoing, Tallies: map[table.Cell]table.Tally{}}
	for _, route := range []jaywind.Route{"risk", "clause", "board"} {
		for k := range paramsByMeasure {
			p := table.Pair{Route: route, Measure: k}
			r.Tallies[table.Cell{Pair: p}] = table.Tally{Good: 9000, Bad: 40, By: map[table.Source]uint64{"d1": 20, "d2": 20}}
			r.Tallies[table.Cell{Pair: p, New: true}] = table.Tally{Good: 900, Bad: 4, By: map[table.Source]uint64{"e7": 2, "e8": 2}}
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
