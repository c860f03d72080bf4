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
	priorOutcomes    = 20.0  // on the old version, below which its rate is drawn to the normal one
	outcomeDecay     = 0.9   // of outcomes, a window, once there are many
	domainDecay      = 0.975 // of failures in a domain, a window
	falseAlarmFactor = 2.0   // factor on the outcomes of a move within the threshold's logarithm
	minOutcomes      = 1000.0
	maxSourceShare   = 0.6 // of the threshold, that one replica or failure domain can bring about
	suspectThreshold = 0.6 // of the threshold, at which the share is cut
	minShareDivisor  = 2   // by which the share is divided then at least
	maxShareDivisor  = 8   // by which it is divided where that leaves enough outcomes for a verdict
	verdictOutcomes  = 10  // outcomes that are enough
	verdictTimeShare = 0.1 // of the move's time, within which they are to come
	clearThreshold   = 0.4 // of the threshold, at which growth stops, and below which the share is whole again
	maxBaselineRate  = 0.9 // rate of bad outcomes on the old version that is still compared with
)

// standard says what is normal for a measure and what is bad.
type testParams struct {
	minRate       float64 // least rate of bad outcomes that is taken as the old version's
	oddsRatio     float64 // factor on the odds of that rate on a bad version
	oncePerSource bool    // bad outcomes of one source in one window count once
}

var paramsByMeasure = map[table.Measure]testParams{
	table.MeasureFailure: {minRate: 0.005, oddsRatio: 10, oncePerSource: true},
	table.MeasureFirst:   {minRate: 0.05, oddsRatio: 3.5},
	table.MeasureGap:     {minRate: 0.05, oddsRatio: 3.5},
}

// closeWindow judges the outcomes since the last window and returns how far the worst score is to the threshold.
func closeWindow(s *table.State, m *table.Move) (worst float64, pair table.Pair) {
	limit := threshold(m)
	z := countEndpoints(s, m)
	for _, p := range activePairs(m) {
		sc := m.Evidence.Scores[p]
		if sc == nil {
			sc = &table.Score{}
			m.Evidence.Scores[p] = sc
		}
		c := cusum{state: s, pair: p, score: sc, limit: limit, sizes: z}
		c.addWindow(m.Evidence.Pending[table.Cell{Pair: p}], m.Evidence.Pending[table.Cell{Pair: p, New: true}])
		if ratio := sc.Sum / limit; ratio > worst {
			worst = ratio
			pair = p
		}
	}
	clear(m.Evidence.Pending)
	return worst, pair
}

func activePairs(m *table.Move) []table.Pair {
	found := map[table.Pair]bool{}
	for c := range m.Evidence.Pending {
		found[c.Pair] = true
	}
	for p := range m.Evidence.Scores {
		found[p] = true
	}
	return slices.SortedFunc(maps.Keys(found), comparePairs)
}

// threshold follows from the number of outcomes that the whole move will see on all pairs.
func threshold(m *table.Move) float64 {
	seconds := m.Rule.By.Sub(m.Began).Seconds()
	outcomes := max(m.Evidence.Rate*seconds, minOutcomes)
	return math.Log(falseAlarmFactor * outcomes)
}

// judge adds one window to the CUSUM of one pair.
type cusum struct {
	state  *table.State
	pair   table.Pair
	score  *table.Score
	limit  float64
	sizes  table.Sizes
	weight float64 // of an outcome; lateness counts no more than there is to compare it with
}

func (c *cusum) addWindow(oldTally, newTally table.Tally) {
	c.updateCounts(oldTally, newTally)
	params := paramsByMeasure[c.pair.Measure]
	c.weight = 1
	if !params.oncePerSource {
		c.weight = min(1, (c.score.OldAll+1)/(c.score.NewAll+1))
	}
	baseline := c.baselineRate(params)
	bad := scaleOdds(baseline, params.oddsRatio)
	c.score.Sum += c.weight * float64(newTally.Good) * math.Log((1-bad)/(1-baseline))
	var attributed uint64
	for _, name := range slices.Sorted(maps.Keys(newTally.By)) {
		attributed += newTally.By[name]
		c.addBad(name, newTally.By[name], params)
	}
	if newTally.Bad > attributed {
		c.addBad("", newTally.Bad-attributed, params)
	}
	if c.score.Sum <= 0 {
		c.score.Sum = 0
		clear(c.score.By)
	}
}

// blame adds the bad outcomes of one replica, up to what one replica or one failure domain can bring about.
func (c *cusum) addBad(name table.Source, n uint64, params testParams) {
	if params.oncePerSource {
		n = 1
	}
	baseline := max(c.baselineRate(params), c.domainBaselineRate(name))
	gain := c.weight * float64(n) * math.Log(scaleOdds(baseline, params.oddsRatio)/baseline)
	domain := c.domainSource(name)
	if c.sizes.New > 1 {
		gain = min(gain, c.limit*maxSourceShare-c.score.By[name])
	}
	if c.sizes.Spread > 1 {
		gain = min(gain, c.limit*maxSourceShare-c.score.By[domain])
	}
	if gain <= 0 {
		return
	}
	if c.score.By == nil {
		c.score.By = map[table.Source]float64{}
	}
	c.score.By[name] += gain
	c.score.By[domain] += gain
	c.score.Sum += gain
}

// domainOf names the failure domain of a replica apart from all replicas.
func (c *cusum) domainSource(name table.Source) table.Source {
	return "domain " + table.Source(c.state.Rules.Endpoints[jaywind.EndpointID(name)].Domain)
}

// fold brings the record of both versions up to date.
func (c *cusum) updateCounts(oldTally, newTally table.Tally) {
	sc := c.score
	if sc.OldAll > priorOutcomes {
		sc.OldAll *= outcomeDecay
		sc.OldBad *= outcomeDecay
	}
	if sc.NewAll > priorOutcomes {
		sc.NewAll *= outcomeDecay
	}
	sc.NewAll += float64(newTally.Good + newTally.Bad)
	sc.OldAll += float64(oldTally.Good + oldTally.Bad)
	sc.OldBad += float64(oldTally.Bad)
	for name := range sc.Domains {
		sc.Domains[name] *= domainDecay
	}
	for name, n := range oldTally.By {
		if sc.Domains == nil {
			sc.Domains = map[table.Source]float64{}
		}
		sc.Domains[name] += float64(n)
	}
}

// normal returns the rate of bad outcomes on the old version now.
func (c *cusum) baselineRate(params testParams) float64 {
	rate := (c.score.OldBad + params.minRate*priorOutcomes) / (c.score.OldAll + priorOutcomes)
	return min(max(rate, params.minRate), maxBaselineRate)
}

// domainRate returns the same within the failure domain of a replica.
func (c *cusum) domainBaselineRate(name table.Source) float64 {
	e, known := c.state.Rules.Endpoints[jaywind.EndpointID(name)]
	if !known {
		return 0
	}
	bad := c.score.Domains[table.Source(e.Domain)]
	good := max(c.score.OldAll-c.score.OldBad, 0) / float64(max(c.sizes.Domains, 1))
	return min(bad/(bad+good+priorOutcomes/4), maxBaselineRate)
}

func scaleOdds(rate, odds float64) float64 {
	o := rate / (1 - rate) * odds
	return o / (1 + o)
}

func comparePairs(a, b table.Pair) int {
	return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Measure, b.Measure))
}
