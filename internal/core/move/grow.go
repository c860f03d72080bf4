package move

import (
	"time"

	"jaywind"
	"jaywind/internal/core/table"
)

// growthStep is one stage of the growth: its share of the traffic, and the limit to which thin traffic can raise it.
type growthStep struct {
	share    float64
	maxShare float64
}

var steps = []growthStep{
	{share: 0.005, maxShare: 0.1},
	{share: 0.05, maxShare: 0.25},
	{share: 0.2, maxShare: 0.5},
	{share: 0.5, maxShare: 0.75},
	{share: 0.9, maxShare: 0.9}, // the rest stays on the old version for comparison
}

const (
	minStepOutcomes      = 100  // on the new version in each step
	minRouteOutcomes     = 40   // on the new version for each route before the last step
	minRouteTraffic      = 0.02 // of all outcomes, below which a route needs no outcomes of its own
	minLoadedOutcomes    = 100  // at a load per replica comparable to the old version's, before the end
	comparableLoad       = 0.7  // of the old version's load per replica, from which a load counts as comparable
	growthTimeShare      = 0.8  // of the remaining time, over which the remaining steps are spread
	recordMarginShare    = 0.05 // of a move's time, reserved for recording its end
	maxRecordMargin      = 10 * time.Second
	lastRecordTries      = 3   // retry intervals before the deadline in which all collectors try to record the end
	rateWindows          = 30  // over which rates are smoothed
	minRateWindows       = 20  // before which thin traffic can't be told from traffic that is just starting
	thinTrafficTimeShare = 0.9 // of a step's time, within which thin traffic should bring the required outcomes
)

func newProof() table.Proof {
	return table.Proof{Routes: map[jaywind.Route]table.RouteOutcomes{}}
}

// deadline returns the time at which an unfinished move is rolled back: half the record margin before the rule's deadline.
func deadline(m *table.Move) time.Time {
	return m.Rule.Deadline.Add(-recordMargin(m) / 2)
}

// recordMargin returns the time before the rule's deadline that is reserved for recording the end.
func recordMargin(m *table.Move) time.Duration {
	whole := m.Rule.Deadline.Sub(m.Began)
	return min(time.Duration(float64(whole)*recordMarginShare), maxRecordMargin)
}

// stepDuration returns how long the current step lasts for the remaining steps to fit into the remaining time.
func stepDuration(m *table.Move) time.Duration {
	left := m.Rule.Deadline.Add(-recordMargin(m)).Sub(m.StepAt)
	return time.Duration(float64(left) * growthTimeShare / float64(len(steps)-m.Step))
}

// updateProof counts the window's outcomes toward the current step and updates the smoothed rates.
func updateProof(s *table.State, m *table.Move) {
	var all, ended float64
	loaded := hasComparableLoad(s, m)
	for c, t := range m.Evidence.Pending {
		n := t.Good + t.Bad
		all += float64(n)
		if c.Measure != table.MeasureFailure {
			continue
		}
		ended += float64(n)
		passed := m.Proof.Routes[c.Route]
		if !c.New {
			passed.Old += n
			m.Proof.Routes[c.Route] = passed
			continue
		}
		passed.New += n
		m.Proof.Routes[c.Route] = passed
		m.Proof.Step += n
		if loaded {
			m.Proof.Loaded += n
		}
	}
	seconds := max(s.Now.Sub(m.Evidence.WindowClosedAt).Seconds(), windowLength.Seconds())
	if m.Evidence.WindowClosedAt.IsZero() {
		seconds = windowLength.Seconds()
	}
	m.Evidence.Windows++
	gain := 1 / float64(min(m.Evidence.Windows, rateWindows))
	m.Evidence.OutcomeRate += (all/seconds - m.Evidence.OutcomeRate) * gain
	m.Evidence.CompletionRate += (ended/seconds - m.Evidence.CompletionRate) * gain
}

// hasComparableLoad reports whether the new version's replicas in use carry about the load of the old version's.
func hasComparableLoad(s *table.State, m *table.Move) bool {
	if m.Share >= 1 {
		return true
	}
	oldCount, newCount := replicaCounts(s, m)
	if oldCount == 0 || newCount == 0 {
		return false
	}
	ratio := m.Share / (1 - m.Share) * float64(oldCount) / float64(replicasInUse(s, m))
	return ratio >= comparableLoad
}

// grow enters the next step once the current one has its outcomes and its time, and asks to record the end after the last.
func grow(s *table.State, m *table.Move) {
	if !m.Confirmed {
		return
	}
	m.Share = stepShare(s, m)
	if s.Now.Sub(m.StepAt) < stepDuration(m) || !stepProved(m) {
		return
	}
	if m.Step < len(steps)-1 {
		if !hasCapacityFor(s, m, steps[m.Step+1].share) {
			return
		}
		enterStep(s, m, m.Step+1)
		return
	}
	if m.Proof.Loaded < minLoadedOutcomes {
		return
	}
	m.Proposed = true
	callStoreAmong(s, m, collectorCount(s, m), recordWriters(s, m), table.WriteMoveRecord{Move: m.ID, State: table.MoveDone, Reason: "proved in all steps", At: s.Now})
}

// recordWriters returns how many routers, on average, try to record the end in one retry interval. Close to the deadline
// all do, since a random choice might select none.
func recordWriters(s *table.State, m *table.Move) int {
	if deadline(m).Sub(s.Now) < lastRecordTries*recordRetryInterval {
		return collectorCount(s, m)
	}
	return 1
}

// hasCapacityFor reports whether the new version has enough ready replicas for a share of the traffic, compared to the
// replicas of the old version that accept requests now.
func hasCapacityFor(s *table.State, m *table.Move, share float64) bool {
	accepting, loaded := 0, 0
	for id, e := range s.Rules.Endpoints {
		if e.Model != m.ID.Model {
			continue
		}
		if e.Version == m.ID.To && isReady(s, m, id) {
			loaded++
		}
		if p := s.Endpoints[id]; e.Version == m.ID.From && p != nil && p.Accepts(m.ID.From, s.Now) {
			accepting++
		}
	}
	return loaded > 0 && float64(loaded) >= float64(accepting)*share*comparableLoad
}

func enterStep(s *table.State, m *table.Move, n int) {
	m.Step = n
	m.StepAt = s.Now
	m.Proof.Step = 0
	m.Proof.Loaded = 0
	m.Share = stepShare(s, m)
}

// stepProved reports whether the current step has enough outcomes.
func stepProved(m *table.Move) bool {
	if m.Proof.Step < uint64(requiredOutcomes(m)) {
		return false
	}
	return m.Step < len(steps)-2 || routesProved(m)
}

func requiredOutcomes(m *table.Move) int {
	if m.Step == 0 {
		return min(minStepOutcomes, m.Rule.Budget/2)
	}
	return minStepOutcomes
}

// routesProved reports whether each route with a relevant part of the traffic has enough outcomes on the new version.
func routesProved(m *table.Move) bool {
	var all uint64
	for _, p := range m.Proof.Routes {
		all += p.Old + p.New
	}
	for _, p := range m.Proof.Routes {
		if p.New < minRouteOutcomes && float64(p.Old+p.New) >= minRouteTraffic*float64(all) {
			return false
		}
	}
	return true
}

// stepShare returns the share of the current step. Thin traffic and a small number of replicas raise it up to the step's
// maximum.
func stepShare(s *table.State, m *table.Move) float64 {
	st := steps[m.Step]
	share := st.share
	if seconds := stepDuration(m).Seconds() * thinTrafficTimeShare; m.Evidence.Windows >= minRateWindows && m.Evidence.CompletionRate > 0 && seconds > 0 {
		share = max(share, float64(requiredOutcomes(m))/(m.Evidence.CompletionRate*seconds))
	}
	if oldCount, newCount := replicaCounts(s, m); m.Step > 0 && oldCount > 0 && newCount > minReplicasInUse {
		minRatio := comparableLoad * minReplicasInUse / float64(oldCount)
		share = max(share, minRatio/(1+minRatio))
	}
	return min(share, st.maxShare)
}
