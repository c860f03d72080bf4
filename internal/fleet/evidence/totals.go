package evidence

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"jaywind"
	"jaywind/internal/core/rollout"
	"jaywind/internal/core/table"
)

// totals are a router's running totals for one roll-out.
type totals struct {
	Rows   []totalsRow `cbor:"1,keyasint"`
	Starts int         `cbor:"2,keyasint"`
	All    int         `cbor:"3,keyasint"`
}

// totalsRow is one cell of them.
type totalsRow struct {
	Route   string            `cbor:"1,keyasint"`
	Measure int               `cbor:"2,keyasint"`
	New     bool              `cbor:"3,keyasint"`
	Good    uint64            `cbor:"4,keyasint"`
	Bad     uint64            `cbor:"5,keyasint"`
	By      map[string]uint64 `cbor:"6,keyasint,omitempty"`
}

// EncodeTotals writes totals for a note.
func EncodeTotals(t rollout.Totals) ([]byte, error) {
	w := totals{Starts: t.Starts, All: t.Requests}
	for c, n := range t.Outcomes {
		row := totalsRow{Route: string(c.Route), Measure: int(c.Measure), New: c.New, Good: n.Good, Bad: n.Bad}
		for source, k := range n.BadBySource {
			if row.By == nil {
				row.By = map[string]uint64{}
			}
			row.By[string(source)] = k
		}
		w.Rows = append(w.Rows, row)
	}
	return cbor.Marshal(w)
}

// DecodeTotals reads totals from a note.
func DecodeTotals(b []byte) (rollout.Totals, error) {
	var w totals
	if err := cbor.Unmarshal(b, &w); err != nil {
		return rollout.Totals{}, fmt.Errorf("totals: %w", err)
	}
	t := rollout.Totals{Starts: w.Starts, Requests: w.All, Outcomes: map[table.OutcomeKey]table.OutcomeCounts{}}
	for _, row := range w.Rows {
		n := table.OutcomeCounts{Good: row.Good, Bad: row.Bad}
		for source, k := range row.By {
			if n.BadBySource == nil {
				n.BadBySource = map[table.Source]uint64{}
			}
			n.BadBySource[table.Source(source)] = k
		}
		c := table.OutcomeKey{RouteMeasure: table.RouteMeasure{Route: jaywind.Route(row.Route), Measure: table.Measure(row.Measure)}, New: row.New}
		t.Outcomes[c] = n
	}
	return t, nil
}
