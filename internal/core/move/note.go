package move

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"jaywind"
	"jaywind/internal/core/table"
)

// NoteKind is the kind of the notes that carry reports.
const NoteKind = "move"

const maxNoteBytes = 2048 // of a note's value

// ErrNote is returned for a note that holds no valid report.
var ErrNote = errors.New("note is not a valid move report")

// wireReport is the CBOR form of a table.Report in a note's value.
type wireReport struct {
	Model   string         `cbor:"1,keyasint,omitempty"`
	Old     string         `cbor:"2,keyasint,omitempty"`
	New     string         `cbor:"3,keyasint,omitempty"`
	By      int64          `cbor:"4,keyasint,omitempty"`
	From    string         `cbor:"5,keyasint,omitempty"`
	Life    int64          `cbor:"6,keyasint,omitempty"`
	Number  uint64         `cbor:"7,keyasint,omitempty"`
	Began   int64          `cbor:"8,keyasint,omitempty"`
	Step    int            `cbor:"9,keyasint,omitempty"`
	State   string         `cbor:"10,keyasint,omitempty"` // empty while the move is in progress
	Reason  string         `cbor:"11,keyasint,omitempty"`
	Final   bool           `cbor:"12,keyasint,omitempty"`
	Tallies []wireCell     `cbor:"13,keyasint,omitempty"`
	Kind    int            `cbor:"14,keyasint,omitempty"`
	To      string         `cbor:"15,keyasint,omitempty"`
	Partial bool           `cbor:"16,keyasint,omitempty"`
	Share   float64        `cbor:"17,keyasint,omitempty"`
	Blind   bool           `cbor:"18,keyasint,omitempty"`
	Short   int            `cbor:"19,keyasint,omitempty"`
	Given   map[string]int `cbor:"20,keyasint,omitempty"`
}

type wireCell struct {
	_       struct{} `cbor:",toarray"`
	Route   string
	Measure int
	New     bool
	Good    uint64
	Bad     uint64
	By      map[string]uint64
}

// EncodeReport returns a report as a note. Counts beyond the size limit are dropped, those of the old version first.
func EncodeReport(r table.Report) (jaywind.Note, error) {
	w := toWire(r)
	for {
		value, err := cbor.Marshal(w)
		if err != nil {
			return jaywind.Note{}, err
		}
		if len(value) <= maxNoteBytes || len(w.Tallies) == 0 {
			return jaywind.Note{Kind: NoteKind, Key: w.From + moveKey(r.Move), Value: value}, nil
		}
		w.Tallies = w.Tallies[:len(w.Tallies)*3/4]
	}
}

// EncodeDecision returns a collector's decision as an answer to a report. It omits the move and the collector, which the
// reporting router knows.
func EncodeDecision(r table.Report) (jaywind.Note, error) {
	r.Move = table.MoveID{}
	r.From = ""
	n, err := EncodeReport(r)
	n.Key = ""
	return n, err
}

// DecodeAnswer decodes a router's answer to a report on the given move; its errors wrap ErrNote.
func DecodeAnswer(n jaywind.Note, id table.MoveID, from jaywind.VM) (table.Report, error) {
	r, err := DecodeReport(n)
	if err == nil && r.Kind == table.ReportDecision {
		r.Move = id
		r.From = from
	}
	return r, err
}

func toWire(r table.Report) wireReport {
	w := wireReport{
		Model: string(r.Move.Model), Old: string(r.Move.From), New: string(r.Move.To), By: r.Move.Deadline,
		From: string(r.From), Life: r.Stream, Number: r.Number, Began: r.Began,
		Step: r.Step, State: string(r.State), Reason: r.Reason, Final: r.Recorded,
		Kind: int(r.Kind), To: string(r.To), Partial: r.Partial, Share: r.Share, Blind: r.Unconfirmed,
	}
	if r.State == table.MoveRunning {
		w.State = ""
	}
	w.Short = r.Withheld
	for vm, n := range r.BudgetGiven {
		if w.Given == nil {
			w.Given = map[string]int{}
		}
		w.Given[string(vm)] = n
	}
	for _, c := range slices.SortedFunc(maps.Keys(r.Outcomes), compareKeys) {
		t := r.Outcomes[c]
		cell := wireCell{Route: string(c.Route), Measure: int(c.Measure), New: c.New, Good: t.Good, Bad: t.Bad}
		for name, n := range t.BadBySource {
			if cell.By == nil {
				cell.By = map[string]uint64{}
			}
			cell.By[string(name)] = n
		}
		w.Tallies = append(w.Tallies, cell)
	}
	return w
}

// compareKeys orders the new version first and, within a route, failures first; the last entries are dropped first.
func compareKeys(a, b table.OutcomeKey) int {
	if a.New != b.New {
		if a.New {
			return -1
		}
		return 1
	}
	return comparePairs(table.RouteMeasure{Route: a.Route, Measure: a.Measure}, table.RouteMeasure{Route: b.Route, Measure: b.Measure})
}

// DecodeReport decodes a note; its errors wrap ErrNote.
func DecodeReport(n jaywind.Note) (table.Report, error) {
	if n.Kind != NoteKind || len(n.Value) > maxNoteBytes {
		return table.Report{}, fmt.Errorf("%w: kind %q, %d bytes", ErrNote, n.Kind, len(n.Value))
	}
	var w wireReport
	if err := cbor.Unmarshal(n.Value, &w); err != nil {
		return table.Report{}, fmt.Errorf("%w: %w", ErrNote, err)
	}
	state := table.MoveState(cmp.Or(w.State, string(table.MoveRunning)))
	if state != table.MoveRunning && state != table.MoveDone && state != table.MoveRolledBack {
		return table.Report{}, fmt.Errorf("%w: state %q", ErrNote, w.State)
	}
	kind := table.ReportKind(w.Kind)
	if kind < table.ReportTotals || kind > table.ReportDecision {
		return table.Report{}, fmt.Errorf("%w: kind %d", ErrNote, w.Kind)
	}
	r := table.Report{
		Kind: kind, To: jaywind.VM(w.To), Partial: w.Partial, Unconfirmed: w.Blind, Share: min(max(w.Share, 0), 1),
		Move: table.MoveID{Model: jaywind.Model(w.Model), From: jaywind.Version(w.Old), To: jaywind.Version(w.New), Deadline: w.By},
		From: jaywind.VM(w.From), Stream: w.Life, Number: w.Number, Began: w.Began,
		Step: max(w.Step, 0), State: state, Reason: w.Reason, Recorded: w.Final,
		Withheld: w.Short,
		Outcomes: make(map[table.OutcomeKey]table.OutcomeCounts, len(w.Tallies)),
	}
	for vm, n := range w.Given {
		if r.BudgetGiven == nil {
			r.BudgetGiven = map[jaywind.VM]int{}
		}
		r.BudgetGiven[jaywind.VM(vm)] = max(n, 0)
	}
	for _, c := range w.Tallies {
		key := table.OutcomeKey{RouteMeasure: table.RouteMeasure{Route: jaywind.Route(c.Route), Measure: table.Measure(c.Measure)}, New: c.New}
		if _, known := paramsByMeasure[key.Measure]; !known {
			continue // a measure added in a newer release
		}
		t := table.OutcomeCounts{Good: c.Good, Bad: c.Bad}
		for name, n := range c.By {
			if t.BadBySource == nil {
				t.BadBySource = map[table.Source]uint64{}
			}
			t.BadBySource[table.Source(name)] = n
		}
		r.Outcomes[key] = t
	}
	return r, nil
}

// handleNotes applies the reports among the received notes; invalid ones are ignored.
func handleNotes(s *table.State) {
	for _, n := range s.Fleet.NotesIn {
		if n.Kind != NoteKind {
			continue
		}
		if r, err := DecodeReport(n); err == nil {
			handleEvent(s, table.ReportReceived{Report: r})
		}
	}
}
