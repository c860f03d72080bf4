package evidence

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"jaywind"
	"jaywind/internal/core/rollout"
	"jaywind/internal/core/table"
)

// wireTotals is a rollout.Totals on the wire: the cumulative counts of a router for one rollout.
type wireTotals struct {
	Rows      []wireOutcomes `cbor:"1,keyasint"`
	Starts    int            `cbor:"2,keyasint"`
	Requests  int            `cbor:"3,keyasint"`
	Unjudged  int            `cbor:"4,keyasint,omitempty"`
	Baselines []wireBaseline `cbor:"5,keyasint,omitempty"`
	Target    string         `cbor:"6,keyasint,omitempty"`
	Age       time.Duration  `cbor:"7,keyasint,omitempty"` // nanoseconds
}

// wireBaseline holds the durations of one table.RouteMeasure.
type wireBaseline struct {
	Route   string         `cbor:"1,keyasint"`
	Measure int            `cbor:"2,keyasint"`
	Counts  map[int]uint64 `cbor:"3,keyasint"` // by bucket
}

// wireLimit is one of rollout.LateLimits.
type wireLimit struct {
	Route   string        `cbor:"1,keyasint"`
	Measure int           `cbor:"2,keyasint"`
	Limit   time.Duration `cbor:"3,keyasint"` // nanoseconds
}

// wireOutcomes holds the counts of one table.OutcomeKey.
type wireOutcomes struct {
	Route   string            `cbor:"1,keyasint"`
	Measure int               `cbor:"2,keyasint"`
	New     bool              `cbor:"3,keyasint"`
	Good    uint64            `cbor:"4,keyasint"`
	Bad     uint64            `cbor:"5,keyasint"`
	By      map[string]uint64 `cbor:"6,keyasint,omitempty"` // bad outcomes by source
}

// EncodeTotals encodes totals as the value of a note.
func EncodeTotals(t rollout.Totals) ([]byte, error) {
	w := wireTotals{Target: string(t.Target), Age: t.Age, Starts: t.Starts, Requests: t.Requests, Unjudged: t.Unjudged}
	for pair, d := range t.Baselines {
		w.Baselines = append(w.Baselines, wireBaseline{Route: string(pair.Route), Measure: int(pair.Measure), Counts: d.Counts})
	}
	for c, n := range t.Outcomes {
		row := wireOutcomes{Route: string(c.Route), Measure: int(c.Measure), New: c.New, Good: n.Good, Bad: n.Bad}
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

// DecodeTotals decodes the value of a note that EncodeTotals returned.
func DecodeTotals(b []byte) (rollout.Totals, error) {
	var w wireTotals
	if err := cbor.Unmarshal(b, &w); err != nil {
		return rollout.Totals{}, fmt.Errorf("totals: %w", err)
	}
	t := rollout.Totals{Target: jaywind.Version(w.Target), Age: w.Age, Starts: w.Starts, Requests: w.Requests, Unjudged: w.Unjudged,
		Outcomes: map[table.OutcomeKey]table.OutcomeCounts{}, Baselines: map[table.RouteMeasure]table.Durations{}}
	for _, b := range w.Baselines {
		t.Baselines[table.RouteMeasure{Route: jaywind.Route(b.Route), Measure: table.Measure(b.Measure)}] = table.Durations{Counts: b.Counts}
	}
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

// EncodeLimits encodes limits as the value of a note.
func EncodeLimits(limits rollout.LateLimits) ([]byte, error) {
	var w []wireLimit
	for pair, d := range limits {
		w = append(w, wireLimit{Route: string(pair.Route), Measure: int(pair.Measure), Limit: d})
	}
	return cbor.Marshal(w)
}

// DecodeLimits decodes the value of a note that EncodeLimits returned; an empty value holds no limits.
func DecodeLimits(b []byte) (rollout.LateLimits, error) {
	if len(b) == 0 {
		return nil, nil
	}
	var w []wireLimit
	if err := cbor.Unmarshal(b, &w); err != nil {
		return nil, fmt.Errorf("limits: %w", err)
	}
	limits := rollout.LateLimits{}
	for _, l := range w {
		limits[table.RouteMeasure{Route: jaywind.Route(l.Route), Measure: table.Measure(l.Measure)}] = l.Limit
	}
	return limits, nil
}
