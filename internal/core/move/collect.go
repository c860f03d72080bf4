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
	meshLimit       = 10               // routers, up to which every router is a collector and reports to all others
	groupSize       = 37               // routers for each collector, including itself
	excludeTime     = 30 * time.Second // during which an unresponsive collector is not chosen
	decisionTimeout = 5 * time.Second  // without a new decision, after which a collector is excluded
	memberTTL       = 5 * time.Second  // after its last report, for which a router counts as a member or peer
)

func newRelay(s *table.State) table.Relay {
	return table.Relay{
		Collector: s.Self,
		Since:     s.Now,
		Members:   map[jaywind.VM]time.Time{},
		Peers:     map[jaywind.VM]time.Time{},
		Excluded:  map[jaywind.VM]time.Time{},
	}
}

// mesh reports whether the fleet is small enough for each router to report to all others.
func mesh(s *table.State) bool { return s.Membership.Members <= meshLimit }

// isCollector reports whether this router evaluates the move itself rather than following a collector.
func isCollector(s *table.State, m *table.Move) bool { return m.Relay.Collector == s.Self }

// collectorCount returns how many routers evaluate the move.
func collectorCount(s *table.State, m *table.Move) int {
	if mesh(s) {
		return s.Membership.Members
	}
	return len(chosenCollectors(s, m))
}

// chosenCollectors returns the routers that should collect, the same number in each failure domain.
func chosenCollectors(s *table.State, m *table.Move) []jaywind.Member {
	if m.Relay.Collectors != nil && m.Relay.Epoch == s.Fleet.Epoch {
		return m.Relay.Collectors
	}
	domains := map[jaywind.Domain]bool{}
	live := s.Fleet.Live()
	staying := slices.DeleteFunc(slices.Clone(live), func(o jaywind.Member) bool { return o.Leaving })
	if len(staying) == 0 {
		staying = live
	}
	m.Relay.DomainRank = 0
	for _, o := range staying {
		domains[o.Domain] = true
		if o.Domain == s.Fleet.Self.Domain && o.VM < s.Self {
			m.Relay.DomainRank++
		}
	}
	perRound := groupSize * max(len(domains), 1) // routers that one collector in each domain serves
	perDomain := max((len(staying)+perRound-1)/perRound, 1)
	m.Relay.Collectors = rendezvous.Pick("evidence"+moveKey(m.ID), staying, perDomain*len(domains), "")
	m.Relay.Epoch = s.Fleet.Epoch
	return m.Relay.Collectors
}

// updateCollector expires old entries and switches to the router that this one should report to now. A wrong choice
// costs only traffic, as each outcome is in a single report stream to a single router.
func updateCollector(s *table.State, m *table.Move) {
	expired := func(_ jaywind.VM, at time.Time) bool { return s.Now.Sub(at) >= memberTTL }
	maps.DeleteFunc(m.Relay.Members, expired)
	maps.DeleteFunc(m.Relay.Peers, expired)
	maps.DeleteFunc(m.Relay.Excluded, func(_ jaywind.VM, until time.Time) bool { return !s.Now.Before(until) })
	if !m.Confirmed {
		m.Relay.DecisionAt = s.Now // the collector may lack the record as well, and then publishes no decisions
	}
	if !isCollector(s, m) && s.Now.Sub(m.Relay.DecisionAt) >= decisionTimeout {
		excludeCollector(s, m, m.Relay.Collector)
	}
	if to := collectorFor(s, m); to != m.Relay.Collector {
		switchCollector(s, m, to)
	}
}

// collectorFor returns the router that this one should report to, or its own name if it should collect. Collectors in
// the same failure domain are preferred.
func collectorFor(s *table.State, m *table.Move) jaywind.VM {
	if mesh(s) || len(m.Relay.Members) > 0 {
		return s.Self
	}
	var near, far []jaywind.VM
	for _, o := range chosenCollectors(s, m) {
		if o.VM == s.Self {
			return s.Self
		}
		if _, excluded := m.Relay.Excluded[o.VM]; excluded {
			continue
		}
		if o.Domain == s.Fleet.Self.Domain {
			near = append(near, o.VM)
		} else {
			far = append(far, o.VM)
		}
	}
	if len(near) > 0 {
		return near[m.Relay.DomainRank%len(near)]
	}
	if len(far) > 0 {
		return far[m.Relay.DomainRank%len(far)]
	}
	return s.Self
}

// switchCollector starts a new report stream, which begins with the outcomes that the old one has not reported.
func switchCollector(s *table.State, m *table.Move, to jaywind.VM) {
	unreported := unreportedTotals(m)
	m.Relay.Collector = to
	m.Relay.Since = monotonicTime(s.Now, m.Relay.Since)
	m.Relay.DecisionAt = s.Now
	m.Relay.DecisionNumber = 0
	m.ReportsSent = 0
	m.ReportedAt = time.Time{}
	baselines := m.Evidence.Baselines
	m.Evidence = newEvidence()
	m.Evidence.Baselines = baselines
	m.Evidence.Own = unreported
	m.Proof = newProof()
	m.Suspect = false
	if !isCollector(s, m) {
		return
	}
	for c, t := range unreported {
		addOutcomes(m.Evidence.Pending, c, t, 0)
	}
}

// monotonicTime keeps the start times of streams increasing, even if the clock is set back.
func monotonicTime(now, last time.Time) time.Time {
	if now.After(last) {
		return now
	}
	return last.Add(1)
}

// excludeCollector keeps this router from choosing its current collector again for excludeTime.
func excludeCollector(s *table.State, m *table.Move, collector jaywind.VM) {
	if m.State != table.MoveRunning || collector != m.Relay.Collector || isCollector(s, m) {
		return
	}
	m.Relay.Excluded[collector] = s.Now.Add(excludeTime)
}

// reportTargets returns the recipients of a report: the collector of this router or, if it collects, the other
// collectors. In a small fleet it returns nil, which addresses all routers.
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
	if m.State != table.MoveRunning {
		maps.Copy(to, m.Relay.Members) // the end of a move is sent to members without waiting for their next reports
	}
	delete(to, s.Self)
	return slices.Sorted(maps.Keys(to))
}

// addReportTotals adds the totals of a report if they are meant for this router.
func addReportTotals(s *table.State, m *table.Move, r table.Report) {
	switch r.Kind {
	case table.ReportToCollector:
		if r.To != s.Self {
			return
		}
		m.Relay.Members[r.From] = s.Now
		if !isCollector(s, m) {
			switchCollector(s, m, s.Self) // receiving a report makes a router a collector, so that a ReportToCollector never contains the totals of another router
		}
		addReport(m, r)
	case table.ReportTotals:
		m.Relay.Peers[r.From] = s.Now
		if isCollector(s, m) {
			addReport(m, r)
		}
	}
}

// applyDecision adopts the share decided by this router's collector, ignoring older decisions.
func applyDecision(s *table.State, m *table.Move, r table.Report) {
	if r.From != m.Relay.Collector || r.Number <= m.Relay.DecisionNumber {
		return
	}
	m.Relay.DecisionNumber = r.Number
	m.Relay.DecisionAt = s.Now
	m.Share = r.Share
}

// publishDecision emits the step and share that routers reporting to this one follow.
func publishDecision(s *table.State, m *table.Move) {
	if m.State != table.MoveRunning || !m.Confirmed || mesh(s) {
		return
	}
	s.Emit(table.PublishDecision{Report: table.Report{
		Kind:   table.ReportDecision,
		Move:   m.ID,
		From:   s.Self,
		Number: uint64(max(s.Now.Sub(m.Began).Milliseconds(), 1)),
		Step:   m.Step,
		State:  m.State,
		Share:  m.Share,
	}})
}
