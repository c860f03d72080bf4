package move

import (
	"maps"

	"jaywind"
	"jaywind/internal/core/table"
)

const (
	maxSources = 8  // named in one tally of a report
	maxCells   = 48 // in one report
)

// add puts a tally into a map of tallies and names at most limit sources, or any number for 0.
func add(tallies map[table.Cell]table.Tally, c table.Cell, t table.Tally, limit int) {
	sum, known := tallies[c]
	if !known && limit > 0 && len(tallies) >= maxCells {
		return
	}
	sum.Good += t.Good
	sum.Bad += t.Bad
	for name, n := range t.By {
		if sum.By == nil {
			sum.By = map[table.Source]uint64{}
		}
		if _, known := sum.By[name]; known || limit == 0 || len(sum.By) < limit {
			sum.By[name] += n
		}
	}
	tallies[c] = sum
}

// since returns what a running total has grown by.
func since(now, before table.Tally) table.Tally {
	out := table.Tally{Good: now.Good - min(now.Good, before.Good), Bad: now.Bad - min(now.Bad, before.Bad)}
	for name, n := range now.By {
		if n > before.By[name] {
			if out.By == nil {
				out.By = map[table.Source]uint64{}
			}
			out.By[name] = n - before.By[name]
		}
	}
	return out
}

// hear adds what another router has counted since its last report.
func hear(m *table.Move, r table.Report) {
	before, known := m.Evidence.Heard[r.From]
	if known && (r.Life < before.Life || r.Life == before.Life && r.Number <= before.Number) {
		return
	}
	m.Evidence.Heard[r.From] = r
	if !known && r.Life < m.Started.UnixNano()-int64(startSlack) {
		return // its totals are older than this row; they only serve as the base of later ones
	}
	if before.Life != r.Life {
		before = table.Report{}
	}
	for c, t := range r.Tallies {
		if fresh := since(t, before.Tallies[c]); fresh.Good+fresh.Bad > 0 {
			add(m.Evidence.Pending, c, fresh, 0)
		}
	}
}

// report returns the running totals of this router.
func report(s *table.State, m *table.Move) table.Report {
	m.Told++
	r := table.Report{
		Move:    m.ID,
		From:    s.Self,
		Life:    m.Started.UnixNano(),
		Number:  m.Told,
		Began:   m.Began.UnixNano(),
		Step:    m.Step,
		State:   m.State,
		Reason:  m.Reason,
		Final:   m.Recorded,
		Tallies: make(map[table.Cell]table.Tally, len(m.Evidence.Own)),
	}
	for c, t := range m.Evidence.Own {
		t.By = maps.Clone(t.By)
		r.Tallies[c] = t
	}
	return r
}

func newEvidence() table.Evidence {
	return table.Evidence{
		Own:     map[table.Cell]table.Tally{},
		Heard:   map[jaywind.VM]table.Report{},
		Pending: map[table.Cell]table.Tally{},
		Scores:  map[table.Pair]*table.Score{},
		Normal:  map[table.Pair]*table.Quantile{},
	}
}
