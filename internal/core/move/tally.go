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
func addOutcomes(counts map[table.OutcomeKey]table.OutcomeCounts, c table.OutcomeKey, t table.OutcomeCounts, limit int) {
	sum, known := counts[c]
	if !known && limit > 0 && len(counts) >= maxReportKeys {
		return
	}
	sum.Good += t.Good
	sum.Bad += t.Bad
	for name, n := range t.BadBySource {
		if sum.BadBySource == nil {
			sum.BadBySource = map[table.Source]uint64{}
		}
		if _, known := sum.BadBySource[name]; known || limit == 0 || len(sum.BadBySource) < limit {
			sum.BadBySource[name] += n
		}
	}
	counts[c] = sum
}

// outcomeDelta returns the increase of running totals.
func outcomeDelta(now, before table.OutcomeCounts) table.OutcomeCounts {
	out := table.OutcomeCounts{Good: now.Good - min(now.Good, before.Good), Bad: now.Bad - min(now.Bad, before.Bad)}
	for name, n := range now.BadBySource {
		if n > before.BadBySource[name] {
			if out.BadBySource == nil {
				out.BadBySource = map[table.Source]uint64{}
			}
			out.BadBySource[name] = n - before.BadBySource[name]
		}
	}
	return out
}

// addReport adds the increase of another router's totals since its last report. Reports to this router as a collector also
// become part of its own totals.
func addReport(m *table.Move, r table.Report) {
	before, known := m.Evidence.PeerReports[r.From]
	if known && (r.Stream < before.Stream || r.Stream == before.Stream && r.Number <= before.Number) {
		return
	}
	if r.Partial && before.Stream != r.Stream {
		return // the next full report contains its entries as well
	}
	if before.Stream != r.Stream {
		before = table.Report{}
	}
	r.Outcomes = mergeOutcomes(before.Outcomes, r.Outcomes)
	m.Evidence.PeerReports[r.From] = r
	if !known && isBaseline(m, r) {
		return
	}
	for c, t := range r.Outcomes {
		fresh := outcomeDelta(t, before.Outcomes[c])
		if fresh.Good+fresh.Bad == 0 {
			continue
		}
		addOutcomes(m.Evidence.Pending, c, fresh, 0)
		if r.Kind == table.ReportToCollector {
			addOutcomes(m.Evidence.Own, c, fresh, maxSources)
		}
	}
}

// isBaseline reports whether the first report received from a router only sets the base for the increases of later ones.
func isBaseline(m *table.Move, r table.Report) bool {
	if r.Kind == table.ReportToCollector {
		return r.Number > 1 // this collector may have passed on the earlier ones before a restart
	}
	return r.Stream < m.Relay.Since.UnixNano()-int64(startTolerance) // its totals began before this router's evaluation
}

// mergeOutcomes returns the entries of a partial report, completed with the earlier entries and sources that it omits.
func mergeOutcomes(before, now map[table.OutcomeKey]table.OutcomeCounts) map[table.OutcomeKey]table.OutcomeCounts {
	out := make(map[table.OutcomeKey]table.OutcomeCounts, len(now))
	maps.Copy(out, before)
	for c, t := range now {
		by := before[c].BadBySource
		if len(by) > 0 {
			by = maps.Clone(by)
			maps.Copy(by, t.BadBySource)
			t.BadBySource = by
		}
		out[c] = t
	}
	return out
}

// changedSources returns outcome counts with only those sources that have changed since the last report.
func changedSources(t, last table.OutcomeCounts) table.OutcomeCounts {
	t.BadBySource = maps.Clone(t.BadBySource)
	maps.DeleteFunc(t.BadBySource, func(name table.Source, n uint64) bool { return n == last.BadBySource[name] })
	return t
}

// unreportedTotals returns the increase of this router's totals since its last report.
func unreportedTotals(m *table.Move) map[table.OutcomeKey]table.OutcomeCounts {
	out := map[table.OutcomeKey]table.OutcomeCounts{}
	for c, t := range m.Evidence.Own {
		if fresh := outcomeDelta(t, m.Evidence.LastReported[c]); fresh.Good+fresh.Bad > 0 {
			out[c] = fresh
		}
	}
	return out
}

// buildReport returns the running totals of this router, addressed to its collector unless it collects itself.
func buildReport(s *table.State, m *table.Move) table.Report {
	m.ReportsSent++
	r := table.Report{
		Move:        m.ID,
		From:        s.Self,
		Stream:      m.Relay.Since.UnixNano(),
		Partial:     !mesh(s) && m.ReportsSent > initialFullReports && m.ReportsSent%fullReportInterval != 0,
		Number:      m.ReportsSent,
		Step:        m.Step,
		State:       m.State,
		Reason:      m.Reason,
		Recorded:    m.Recorded,
		Unconfirmed: !m.Confirmed,
		Outcomes:    make(map[table.OutcomeKey]table.OutcomeCounts, len(m.Evidence.Own)),
	}
	if !r.Partial {
		r.Began = m.Began.UnixNano()
	}
	if !isCollector(s, m) {
		r.Kind = table.ReportToCollector
		r.To = m.Relay.Collector
	}
	if m.State != table.MoveRunning {
		return r // the report of an end needs no totals
	}
	if mesh(s) && m.Step == 0 {
		r.Withheld = m.Withheld
		r.BudgetGiven = maps.Clone(m.BudgetGiven)
	}
	for c, t := range m.Evidence.Own {
		if last := m.Evidence.LastReported[c]; r.Partial && t.Good == last.Good && t.Bad == last.Bad {
			continue
		}
		if r.Partial {
			r.Outcomes[c] = changedSources(t, m.Evidence.LastReported[c])
			continue
		}
		t.BadBySource = maps.Clone(t.BadBySource)
		r.Outcomes[c] = t
	}
	m.Evidence.LastReported = mergeOutcomes(m.Evidence.LastReported, r.Outcomes)
	return r
}

func newEvidence() table.Evidence {
	return table.Evidence{
		Own:         map[table.OutcomeKey]table.OutcomeCounts{},
		PeerReports: map[jaywind.VM]table.Report{},
		Pending:     map[table.OutcomeKey]table.OutcomeCounts{},
		Scores:      map[table.RouteMeasure]*table.CUSUM{},
		Baselines:   map[table.RouteMeasure]*table.Quantile{},
	}
}
