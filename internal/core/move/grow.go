package move

import (
	"time"

	"jaywind"
	"jaywind/internal/core/table"
)

// step is one stage of the growth: the share of the traffic, and the most that thin traffic raises it to.
type growthStep struct {
	share    float64
	maxShare float64
}

var steps = []growthStep{
	{share: 0.005, maxShare: 0.1},
	{share: 0.05, maxShare: 0.25},
	{share: 0.2, maxShare: 0.5},
	{share: 0.5, maxShare: 0.75},
	{share: 0.9, maxShare: 0.9}, // the rest stays to compare with
}

const (
	minStepOutcomes      = 100  // outcomes on the new version for each step
	minRouteOutcomes     = 40   // outcomes on each route before the last step
	minRouteTraffic      = 0.02 // of the old version's traffic, below which a route needs no proof of its own
	minLoadedOutcomes    = 100  // outcomes at a load per replica like the old version's before the end
	comparableLoad       = 0.7  // of the old version's load per replica, that counts as like it
	growthTimeShare      = 0.8  // of the time left, that the steps left are spread over
	recordMarginShare    = 0.05 // of a move's time, kept for recording its end
	maxRecordMargin      = 10 * time.Second
	lastRecordTries      = 3   // pauses before a move's time, within which all routers ask for its record
	rateWindows          = 30  // that the smoothed rates go back
	minRateWindows       = 20  // before which thin traffic is not told from a start
	thinTrafficTimeShare = 0.9 // of a step's time, within which thin traffic should give its proof
)

func newProof() table.Proof {
	return table.Proof{Routes: map[jaywind.Route]table.Passed{}}
}

// deadline is when a move that has not ended is taken back.
func deadline(m *table.Move) time.Time {
	return m.Rule.By.Add(-recordMargin(m) / 2)
}

func recordMargin(m *table.Move) time.Duration {
	whole := m.Rule.By.Sub(m.Began)
	return min(time.Duration(float64(whole)*recordMarginShare), maxRecordMargin)
}

// stepTime is how long the present step lasts, so that the steps left fit in the time left.
func stepDuration(m *table.Move) time.Duration {
	left := m.Rule.By.Add(-recordMargin(m)).Sub(m.StepAt)
	return time.Duration(float64(left) * growthTimeShare / float64(len(steps)-m.Step))
}

// noteProof counts the window's outcomes on the new version for the present step.
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
	seconds := max(s.Now.Sub(m.Evidence.Window).Seconds(), windowLength.Seconds())
	if m.Evidence.Window.IsZero() {
		seconds = windowLength.Seconds()
	}
	m.Evidence.Windows++
	gain := 1 / float64(min(m.Evidence.Windows, rateWindows))
	m.Evidence.Rate += (all/seconds - m.Evidence.Rate) * gain
	m.Evidence.Ended += (ended/seconds - m.Evidence.Ended) * gain
}

// likeOld tells whether the replicas in use carry about the load of the old version's.
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

// grow enters the next step once the present one has its proof and its time.
func grow(s *table.State, m *table.Move) {
	if !m.Known {
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
	callStoreAmong(s, m, collectorCount(s, m), recordWriters(s, m), table.Record{Move: m.ID, State: table.MoveDone, Reason: "proved in all steps", At: s.Now})
}

// recorders returns how many routers ask for the record of an end within one pause; close to
// the time of the move all do, since the draw might leave it to nobody.
func recordWriters(s *table.State, m *table.Move) int {
	if deadline(m).Sub(s.Now) < lastRecordTries*recordRetryInterval {
		return collectorCount(s, m)
	}
	return 1
}

// enoughLoaded tells whether the new version has the replicas to carry a share, against those of the old one now.
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

// proved tells whether the step's outcomes are enough.
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

// routesProved tells whether each route that carries traffic has outcomes of its own.
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

// shareOf returns the share of the present step; thin traffic and few replicas raise it up to the step's most.
func stepShare(s *table.State, m *table.Move) float64 {
	st := steps[m.Step]
	share := st.share
	if seconds := stepDuration(m).Seconds() * thinTrafficTimeShare; m.Evidence.Windows >= minRateWindows && m.Evidence.Ended > 0 && seconds > 0 {
		share = max(share, float64(requiredOutcomes(m))/(m.Evidence.Ended*seconds))
	}
	if oldCount, newCount := replicaCounts(s, m); m.Step > 0 && oldCount > 0 && newCount > minReplicasInUse {
		minRatio := comparableLoad * minReplicasInUse / float64(oldCount)
		share = max(share, minRatio/(1+minRatio))
	}
	return min(share, st.maxShare)
}
