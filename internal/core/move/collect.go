package move

import (
	"maps"
	"slices"
	"time"

	"jaywind"
	"jaywind/internal/core/table"
	"jaywind/internal/fleet/rendezvous"
)

const (
	meshLimit       = 10               // routers up to which all collect, and tell each other
	groupSize       = 37               // routers that report to one collector, and itself
	excludeTime     = 30 * time.Second // that a collector is left out after it did not answer
	decisionTimeout = 5 * time.Second  // without a word of its decisions, after which a collector is left out as well
	memberTTL       = 5 * time.Second  // after the last report of a member or peer, that it is still counted as one
)

func newRelay(s *table.State) table.Relay {
	return table.Relay{
		Collector: s.Self,
		Since:     s.Now,
		Members:   map[jaywind.VM]time.Time{},
		Peers:     map[jaywind.VM]time.Time{},
		Shunned:   map[jaywind.VM]time.Time{},
	}
}

// mesh tells whether the fleet is so small that each router tells all others.
func mesh(s *table.State) bool { return s.Membership.Members <= meshLimit }

// collects tells whether this router judges by the sums of others, rather than following one that does.
func isCollector(s *table.State, m *table.Move) bool { return m.Relay.Collector == s.Self }

// judges returns how many routers judge the move.
func collectorCount(s *table.State, m *table.Move) int {
	if mesh(s) {
		return s.Membership.Members
	}
	return len(chosenCollectors(s, m))
}

// chosen returns the routers that should collect, as many in each failure domain.
func chosenCollectors(s *table.State, m *table.Move) []jaywind.Member {
	if m.Relay.Chosen != nil && m.Relay.Epoch == s.Fleet.Epoch {
		return m.Relay.Chosen
	}
	domains := map[jaywind.Domain]bool{}
	live := s.Fleet.Live()
	staying := slices.DeleteFunc(slices.Clone(live), func(o jaywind.Member) bool { return o.Leaving })
	if len(staying) == 0 {
		staying = live
	}
	m.Relay.Place = 0
	for _, o := range staying {
		domains[o.Domain] = true
		if o.Domain == s.Fleet.Self.Domain && o.VM < s.Self {
			m.Relay.Place++
		}
	}
	groupedRouters := groupSize * max(len(domains), 1)
	perDomain := max((len(staying)+groupedRouters-1)/groupedRouters, 1) // each takes one of each domain
	m.Relay.Chosen = rendezvous.Pick("evidence"+moveKey(m.ID), staying, perDomain*len(domains), "")
	m.Relay.Epoch = s.Fleet.Epoch
	return m.Relay.Chosen
}

// assign follows the choice of collectors; a wrong one costs bytes only, as each outcome is in one stream to one router.
func updateCollector(s *table.State, m *table.Move) {
	expired := func(_ jaywind.VM, at time.Time) bool { return s.Now.Sub(at) >= memberTTL }
	maps.DeleteFunc(m.Relay.Members, expired)
	maps.DeleteFunc(m.Relay.Peers, expired)
	maps.DeleteFunc(m.Relay.Shunned, func(_ jaywind.VM, until time.Time) bool { return !s.Now.Before(until) })
	if !m.Known {
		m.Relay.LedAt = s.Now // its collector may not know either
	}
	if !isCollector(s, m) && s.Now.Sub(m.Relay.LedAt) >= decisionTimeout {
		excludeCollector(s, m, m.Relay.Collector)
	}
	if to := collectorFor(s, m); to != m.Relay.Collector {
		switchCollector(s, m, to)
	}
}

// collectorFor returns the router that this one should report to, or itself.
func collectorFor(s *table.State, m *table.Move) jaywind.VM {
	if mesh(s) || len(m.Relay.Members) > 0 {
		return s.Self
	}
	var near, far []jaywind.VM
	for _, o := range chosenCollectors(s, m) {
		if o.VM == s.Self {
			return s.Self
		}
		if _, shunned := m.Relay.Shunned[o.VM]; shunned {
			continue
		}
		if o.Domain == s.Fleet.Self.Domain {
			near = append(near, o.VM)
		} else {
			far = append(far, o.VM)
		}
	}
	if len(near) > 0 {
		return near[m.Relay.Place%len(near)]
	}
	if len(far) > 0 {
		return far[m.Relay.Place%len(far)]
	}
	return s.Self
}

// turnTo begins a new stream of reports with what the old one has not told yet.
func switchCollector(s *table.State, m *table.Move, to jaywind.VM) {
	unreported := unreportedTotals(m)
	m.Relay.Collector = to
	m.Relay.Since = monotonicTime(s.Now, m.Relay.Since)
	m.Relay.LedAt = s.Now
	m.Relay.Lead = 0
	m.Told = 0
	m.ToldAt = time.Time{}
	normal := m.Evidence.Normal
	m.Evidence = newEvidence()
	m.Evidence.Normal = normal
	m.Evidence.Own = unreported
	m.Proof = newProof()
	m.Suspect = false
	if !isCollector(s, m) {
		return
	}
	for c, t := range unreported {
		addTally(m.Evidence.Pending, c, t, 0)
	}
}

// later keeps the lives of streams in order, also when the clock is set back.
func monotonicTime(now, last time.Time) time.Time {
	if now.After(last) {
		return now
	}
	return last.Add(1)
}

// shun leaves a collector out for a while.
func excludeCollector(s *table.State, m *table.Move, collector jaywind.VM) {
	if m.State != table.MoveGoing || collector != m.Relay.Collector || isCollector(s, m) {
		return
	}
	m.Relay.Shunned[collector] = s.Now.Add(excludeTime)
}

// listeners returns whom a report goes to: nobody by name in a small fleet, the collector, or the other collectors.
func reportTargets(s *table.State, m *table.Move) []jaywind.VM {
	if mesh(s) {
		return nil
	}
	if !isCollector(s, m) {
		return []jaywind.VM{m.Relay.Collector}
	}
	to := maps.Clone(m.Relay.Peers)
	for _, o := range chosenCollectors(s, m) {
		to[o.VM] = s.Now
	}
	if m.State != table.MoveGoing {
		maps.Copy(to, m.Relay.Members) // an end does not wait for their next reports
	}
	delete(to, s.Self)
	return slices.Sorted(maps.Keys(to))
}

// relay takes the totals of a report, if they are for this router.
func addReportTotals(s *table.State, m *table.Move, r table.Report) {
	switch r.Kind {
	case table.ReportPart:
		if r.To != s.Self {
			return
		}
		m.Relay.Members[r.From] = s.Now
		if !isCollector(s, m) {
			switchCollector(s, m, s.Self) // whoever is reported to collects, so that no part ever holds another one
		}
		addReport(m, r)
	case table.ReportSum:
		m.Relay.Peers[r.From] = s.Now
		if isCollector(s, m) {
			addReport(m, r)
		}
	}
}

// takeLead follows the decisions of this router's collector.
func applyDecision(s *table.State, m *table.Move, r table.Report) {
	if r.From != m.Relay.Collector || r.Number <= m.Relay.Lead {
		return
	}
	m.Relay.Lead = r.Number
	m.Relay.LedAt = s.Now
	m.Share = r.Share
}

// lead publishes what members that report here are to follow.
func publishDecision(s *table.State, m *table.Move) {
	if m.State != table.MoveGoing || !m.Known || mesh(s) {
		return
	}
	s.Emit(table.Lead{Report: table.Report{
		Kind:   table.ReportLead,
		Move:   m.ID,
		From:   s.Self,
		Number: uint64(max(s.Now.Sub(m.Began).Milliseconds(), 1)),
		Step:   m.Step,
		State:  m.State,
		Share:  m.Share,
	}})
}
