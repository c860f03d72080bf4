package move

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"jaywind"
	"jaywind/internal/core/table"
)

const (
	windowLength     = 500 * time.Millisecond
	priorOutcomes    = 20.0   // weight of a measure's minimum rate, as a prior for the old version's rate
	outcomeDecay     = 0.9    // of the outcome counts per window, once they exceed priorOutcomes
	domainDecay      = 0.975  // of the failure counts of the domains per window
	falseAlarmFactor = 2.0    // factor on a move's outcomes in the logarithm of the threshold
	minOutcomes      = 1000.0 // assumed for a move at least
	maxSourceShare   = 0.6    // of the threshold, which one replica or failure domain can contribute at most
	suspectThreshold = 0.6    // of the threshold, at which the new version is suspect and its share is reduced
	minShareDivisor  = 2      // divides the share of a suspect version at least
	maxShareDivisor  = 8      // divides it if that leaves enough outcomes for a verdict
	verdictOutcomes  = 10     // outcomes wanted for a verdict on a suspect version
	verdictTimeShare = 0.1    // of the move's time, within which to gather them
	clearThreshold   = 0.4    // of the threshold, from which growth pauses, and below which a reduced share is restored
	maxBaselineRate  = 0.9    // caps the old version's rate of bad outcomes, so that a worse one exists
)

// testParams are the parameters of the sequential test for one measure.
type testParams struct {
	minRate       float64 // lower bound on the old version's assumed rate of bad outcomes
	oddsRatio     float64 // odds of a bad outcome on a bad version, relative to the old version
	oncePerSource bool    // bad outcomes of one source in a window count as one
}

var paramsByMeasure = map[table.Measure]testParams{
	table.MeasureFailure:    {minRate: 0.005, oddsRatio: 10, oncePerSource: true},
	table.MeasureFirstToken: {minRate: 0.05, oddsRatio: 3.5},
	table.MeasureTokenGap:   {minRate: 0.05, oddsRatio: 3.5},
}

// closeWindow evaluates the outcomes since the last window. It returns the worst score, as a fraction of the threshold,
// and the pair that has it. A pair is a route with a measure, and has a CUSUM of its own.
func closeWindow(s *table.State, m *table.Move) (worst float64, pair table.RouteMeasure) {
	limit := threshold(m)
	z := countEndpoints(s, m)
	for _, p := range activePairs(m) {
		sc := m.Evidence.Scores[p]
		if sc == nil {
			sc = &table.CUSUM{}
			m.Evidence.Scores[p] = sc
		}
		c := cusum{state: s, pair: p, score: sc, limit: limit, sizes: z}
		c.addWindow(m.Evidence.Pending[table.OutcomeKey{RouteMeasure: p}], m.Evidence.Pending[table.OutcomeKey{RouteMeasure: p, New: true}])
		if ratio := sc.Sum / limit; ratio > worst {
			worst = ratio
			pair = p
		}
	}
	clear(m.Evidence.Pending)
	return worst, pair
}

// activePairs returns the pairs that have a score or new outcomes, in a fixed order.
func activePairs(m *table.Move) []table.RouteMeasure {
	found := map[table.RouteMeasure]bool{}
	for c := range m.Evidence.Pending {
		found[c.RouteMeasure] = true
	}
	for p := range m.Evidence.Scores {
		found[p] = true
	}
	return slices.SortedFunc(maps.Keys(found), comparePairs)
}

// threshold returns the CUSUM threshold, which grows with the logarithm of the outcomes expected of the whole move on all
// pairs to keep false alarms rare.
func threshold(m *table.Move) float64 {
	seconds := m.Rule.Deadline.Sub(m.Began).Seconds()
	outcomes := max(m.Evidence.OutcomeRate*seconds, minOutcomes)
	return math.Log(falseAlarmFactor * outcomes)
}

// cusum updates the CUSUM score of one pair.
type cusum struct {
	state  *table.State
	pair   table.RouteMeasure
	score  *table.CUSUM
	limit  float64
	sizes  table.Sizes
	weight float64 // of an outcome; below 1 for durations when the old version has fewer of them to compare with
}

func (c *cusum) addWindow(oldCounts, newCounts table.OutcomeCounts) {
	c.updateCounts(oldCounts, newCounts)
	params := paramsByMeasure[c.pair.Measure]
	c.weight = 1
	if !params.oncePerSource {
		c.weight = min(1, (c.score.OldTotal+1)/(c.score.NewTotal+1))
	}
	baseline := c.baselineRate(params)
	bad := scaleOdds(baseline, params.oddsRatio)
	c.score.Sum += c.weight * float64(newCounts.Good) * math.Log((1-bad)/(1-baseline))
	var attributed uint64
	for _, name := range slices.Sorted(maps.Keys(newCounts.BadBySource)) {
		attributed += newCounts.BadBySource[name]
		c.addBad(name, newCounts.BadBySource[name], params)
	}
	if newCounts.Bad > attributed {
		c.addBad("", newCounts.Bad-attributed, params)
	}
	if c.score.Sum <= 0 {
		c.score.Sum = 0
		clear(c.score.SumBySource)
	}
}

// addBad adds the bad outcomes of one source, within the limits on what one replica or failure domain can contribute.
func (c *cusum) addBad(name table.Source, n uint64, params testParams) {
	if params.oncePerSource {
		n = 1
	}
	baseline := max(c.baselineRate(params), c.domainBaselineRate(name))
	gain := c.weight * float64(n) * math.Log(scaleOdds(baseline, params.oddsRatio)/baseline)
	domain := c.domainSource(name)
	if c.sizes.New > 1 {
		gain = min(gain, c.limit*maxSourceShare-c.score.SumBySource[name])
	}
	if c.sizes.NewDomains > 1 {
		gain = min(gain, c.limit*maxSourceShare-c.score.SumBySource[domain])
	}
	if gain <= 0 {
		return
	}
	if c.score.SumBySource == nil {
		c.score.SumBySource = map[table.Source]float64{}
	}
	c.score.SumBySource[name] += gain
	c.score.SumBySource[domain] += gain
	c.score.Sum += gain
}

// domainSource returns the source name of a replica's failure domain; its prefix keeps it distinct from replica names.
func (c *cusum) domainSource(name table.Source) table.Source {
	return "domain " + table.Source(c.state.Rules.Endpoints[jaywind.EndpointID(name)].Domain)
}

// updateCounts adds the window's outcomes to the decaying counts of both versions.
func (c *cusum) updateCounts(oldCounts, newCounts table.OutcomeCounts) {
	sc := c.score
	if sc.OldTotal > priorOutcomes {
		sc.OldTotal *= outcomeDecay
		sc.OldBad *= outcomeDecay
	}
	if sc.NewTotal > priorOutcomes {
		sc.NewTotal *= outcomeDecay
	}
	sc.NewTotal += float64(newCounts.Good + newCounts.Bad)
	sc.OldTotal += float64(oldCounts.Good + oldCounts.Bad)
	sc.OldBad += float64(oldCounts.Bad)
	for name := range sc.OldBadByDomain {
		sc.OldBadByDomain[name] *= domainDecay
	}
	for name, n := range oldCounts.BadBySource {
		if sc.OldBadByDomain == nil {
			sc.OldBadByDomain = map[table.Source]float64{}
		}
		sc.OldBadByDomain[name] += float64(n)
	}
}

// baselineRate returns the current rate of bad outcomes on the old version.
func (c *cusum) baselineRate(params testParams) float64 {
	rate := (c.score.OldBad + params.minRate*priorOutcomes) / (c.score.OldTotal + priorOutcomes)
	return min(max(rate, params.minRate), maxBaselineRate)
}

// domainBaselineRate returns that rate within the failure domain of a replica.
func (c *cusum) domainBaselineRate(name table.Source) float64 {
	e, known := c.state.Rules.Endpoints[jaywind.EndpointID(name)]
	if !known {
		return 0
	}
	bad := c.score.OldBadByDomain[table.Source(e.Domain)]
	good := max(c.score.OldTotal-c.score.OldBad, 0) / float64(max(c.sizes.Domains, 1))
	return min(bad/(bad+good+priorOutcomes/4), maxBaselineRate)
}

func scaleOdds(rate, odds float64) float64 {
	o := rate / (1 - rate) * odds
	return o / (1 + o)
}

func comparePairs(a, b table.RouteMeasure) int {
	return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Measure, b.Measure))
}
