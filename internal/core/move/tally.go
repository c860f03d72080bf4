package move

import (
	"maps"

	"jaywind"
	"jaywind/internal/core/table"
)

const (
	maxSources         = 8  // per entry of a report
	maxReportKeys      = 48 // entries in one report
	initialFullReports = 2  // full reports at the start of a stream, so that a lost one delays its totals by only a second
	fullReportInterval = 10 // of the later reports, one in this many is full
)

// addOutcomes adds outcome counts to a map. With limit above 0 an entry keeps at most limit sources and the map at most
// maxReportKeys entries.
func addOutcomes(counts map[table.Cell]table.Tally, c table.Cell, t table.Tally, limit int) {
	sum, known := counts[c]
	if !known && limit > 0 && len(counts) >= maxReportKeys {
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
	counts[c] = sum
}

// outcomeDelta returns the increase of running totals.
func outcomeDelta(now, before table.Tally) table.Tally {
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

// addReport adds the increase of another router's totals since its last report. Reports to this router as a collector also
// become part of its own totals.
func addReport(m *table.Move, r table.Report) {
	before, known := m.Evidence.Heard[r.From]
	if known && (r.Life < before.Life || r.Life == before.Life && r.Number <= before.Number) {
		return
	}
	if r.Partial && before.Life != r.Life {
		return // the next full report contains its entries as well
	}
	if before.Life != r.Life {
		before = table.Report{}
	}
	r.Tallies = mergeOutcomes(before.Tallies, r.Tallies)
	m.Evidence.Heard[r.From] = r
	if !known && isBaseline(m, r) {
		return
	}
	for c, t := range r.Tallies {
		fresh := outcomeDelta(t, before.Tallies[c])
		if fresh.Good+fresh.Bad == 0 {
			continue
		}
		addOutcomes(m.Evidence.Pending, c, fresh, 0)
		if r.Kind == table.ReportPart {
			addOutcomes(m.Evidence.Own, c, fresh, maxSources)
		}
	}
}

// isBaseline reports whether the first report received from a router only sets the base for the increases of later ones.
func isBaseline(m *table.Move, r table.Report) bool {
	if r.Kind == table.ReportPart {
		return r.Number > 1 // this collector may have passed on the earlier ones before a restart
	}
	return r.Life < m.Relay.Since.UnixNano()-int64(startTolerance) // its totals began before this router's evaluation
}

// mergeOutcomes returns the entries of a partial report, completed with the earlier entries and sources that it omits.
func mergeOutcomes(before, now map[table.Cell]table.Tally) map[table.Cell]table.Tally {
	out := make(map[table.Cell]table.Tally, len(now))
	maps.Copy(out, before)
	for c, t := range now {
		by := before[c].By
		if len(by) > 0 {
			by = maps.Clone(by)
			maps.Copy(by, t.By)
			t.By = by
		}
		out[c] = t
	}
	return out
}

// changedSources returns outcome counts with only those sources that have changed since the last report.
func changedSources(t, last table.Tally) table.Tally {
	t.By = maps.Clone(t.By)
	maps.DeleteFunc(t.By, func(name table.Source, n uint64) bool { return n == last.By[name] })
	return t
}

// unreportedTotals returns the increase of this router's totals since its last report.
func unreportedTotals(m *table.Move) map[table.Cell]table.Tally {
	out := map[table.Cell]table.Tally{}
	for c, t := range m.Evidence.Own {
		if fresh := outcomeDelta(t, m.Evidence.Told[c]); fresh.Good+fresh.Bad > 0 {
			out[c] = fresh
		}
	}
	return out
}

// buildReport returns the running totals of this router, addressed to its collector unless it collects itself.
func buildReport(s *table.State, m *table.Move) table.Report {
	m.Told++
	r := table.Report{
		Move:    m.ID,
		From:    s.Self,
		Life:    m.Relay.Since.UnixNano(),
		Partial: !mesh(s) && m.Told > initialFullReports && m.Told%fullReportInterval != 0,
		Number:  m.Told,
		Step:    m.Step,
		State:   m.State,
		Reason:  m.Reason,
		Final:   m.Recorded,
		Blind:   !m.Known,
		Tallies: make(map[table.Cell]table.Tally, len(m.Evidence.Own)),
	}
	if !r.Partial {
		r.Began = m.Began.UnixNano()
	}
	if !isCollector(s, m) {
		r.Kind = table.ReportPart
		r.To = m.Relay.Collector
	}
	if m.State != table.MoveGoing {
		return r // the report of an end needs no totals
	}
	if mesh(s) && m.Step == 0 {
		r.Short = m.Short
		r.Given = maps.Clone(m.Given)
	}
	for c, t := range m.Evidence.Own {
		if last := m.Evidence.Told[c]; r.Partial && t.Good == last.Good && t.Bad == last.Bad {
			continue
		}
		if r.Partial {
			r.Tallies[c] = changedSources(t, m.Evidence.Told[c])
			continue
		}
		t.By = maps.Clone(t.By)
		r.Tallies[c] = t
	}
	m.Evidence.Told = mergeOutcomes(m.Evidence.Told, r.Tallies)
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
