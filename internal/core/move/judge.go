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
	windowLength  = 500 * time.Millisecond
	fewOutcomes   = 20.0  // on the old version, below which its rate is drawn to the normal one
	oldDecay      = 0.9   // of outcomes, a window, once there are many
	domainDecay   = 0.975 // of failures in a domain, a window
	falseAlarms   = 2.0   // factor on the outcomes of a move within the threshold's logarithm
	leastOutcomes = 1000.0
	sourceShare   = 0.6 // of the threshold, that one replica or failure domain can bring about
	suspectShare  = 0.6 // of the threshold, at which the share is cut
	suspectLeast  = 2   // by which the share is divided then at least
	suspectMost   = 8   // by which it is divided where that leaves enough outcomes for a verdict
	suspectProof  = 10  // outcomes that are enough
	suspectTime   = 0.1 // of the move's time, within which they are to come
	clearShare    = 0.4 // of the threshold, at which growth stops, and below which the share is whole again
	mostNormal    = 0.9 // rate of bad outcomes on the old version that is still compared with
)

// standard says what is normal for a measure and what is bad.
type standard struct {
	normal  float64 // least rate of bad outcomes that is taken as the old version's
	odds    float64 // factor on the odds of that rate on a bad version
	cluster bool    // bad outcomes of one source in one window count once
}

var standards = map[table.Measure]standard{
	table.MeasureFailure: {normal: 0.005, odds: 10, cluster: true},
	table.MeasureFirst:   {normal: 0.05, odds: 3.5},
	table.MeasureGap:     {normal: 0.05, odds: 3.5},
}

// closeWindow judges the outcomes since the last window and returns how far the worst score is to the threshold.
func closeWindow(s *table.State, m *table.Move) (worst float64, pair table.Pair) {
	limit := threshold(m)
	z := sizes(s, m)
	for _, p := range pairsOf(m) {
		sc := m.Evidence.Scores[p]
		if sc == nil {
			sc = &table.Score{}
			m.Evidence.Scores[p] = sc
		}
		j := judge{state: s, pair: p, score: sc, limit: limit, sizes: z}
		j.window(m.Evidence.Pending[table.Cell{Pair: p}], m.Evidence.Pending[table.Cell{Pair: p, New: true}])
		if part := sc.Sum / limit; part > worst {
			worst = part
			pair = p
		}
	}
	clear(m.Evidence.Pending)
	return worst, pair
}

func pairsOf(m *table.Move) []table.Pair {
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
	outcomes := max(m.Evidence.Rate*seconds, leastOutcomes)
	return math.Log(falseAlarms * outcomes)
}

// judge adds one window to the CUSUM of one pair.
type judge struct {
	state  *table.State
	pair   table.Pair
	score  *table.Score
	limit  float64
	sizes  table.Sizes
	weight float64 // of an outcome; lateness counts no more than there is to compare it with
}

func (j *judge) window(old, recent table.Tally) {
	j.fold(old, recent)
	st := standards[j.pair.Measure]
	j.weight = 1
	if !st.cluster {
		j.weight = min(1, (j.score.OldAll+1)/(j.score.NewAll+1))
	}
	normal := j.normal(st)
	bad := worse(normal, st.odds)
	j.score.Sum += j.weight * float64(recent.Good) * math.Log((1-bad)/(1-normal))
	var named uint64
	for _, name := range slices.Sorted(maps.Keys(recent.By)) {
		named += recent.By[name]
		j.blame(name, recent.By[name], st)
	}
	if recent.Bad > named {
		j.blame("", recent.Bad-named, st)
	}
	if j.score.Sum <= 0 {
		j.score.Sum = 0
		clear(j.score.By)
	}
}

// blame adds the bad outcomes of one replica, up to what one replica or one failure domain can bring about.
func (j *judge) blame(name table.Source, n uint64, st standard) {
	if st.cluster {
		n = 1
	}
	normal := max(j.normal(st), j.domainRate(name))
	gain := j.weight * float64(n) * math.Log(worse(normal, st.odds)/normal)
	domain := j.domainOf(name)
	if j.sizes.New > 1 {
		gain = min(gain, j.limit*sourceShare-j.score.By[name])
	}
	if j.sizes.Spread > 1 {
		gain = min(gain, j.limit*sourceShare-j.score.By[domain])
	}
	if gain <= 0 {
		return
	}
	if j.score.By == nil {
		j.score.By = map[table.Source]float64{}
	}
	j.score.By[name] += gain
	j.score.By[domain] += gain
	j.score.Sum += gain
}

// domainOf names the failure domain of a replica apart from all replicas.
func (j *judge) domainOf(name table.Source) table.Source {
	return "domain " + table.Source(j.state.Rules.Endpoints[jaywind.EndpointID(name)].Domain)
}

// fold brings the record of both versions up to date.
func (j *judge) fold(old, recent table.Tally) {
	sc := j.score
	if sc.OldAll > fewOutcomes {
		sc.OldAll *= oldDecay
		sc.OldBad *= oldDecay
	}
	if sc.NewAll > fewOutcomes {
		sc.NewAll *= oldDecay
	}
	sc.NewAll += float64(recent.Good + recent.Bad)
	sc.OldAll += float64(old.Good + old.Bad)
	sc.OldBad += float64(old.Bad)
	for name := range sc.Domains {
		sc.Domains[name] *= domainDecay
	}
	for name, n := range old.By {
		if sc.Domains == nil {
			sc.Domains = map[table.Source]float64{}
		}
		sc.Domains[name] += float64(n)
	}
}

// normal returns the rate of bad outcomes on the old version now.
func (j *judge) normal(st standard) float64 {
	rate := (j.score.OldBad + st.normal*fewOutcomes) / (j.score.OldAll + fewOutcomes)
	return min(max(rate, st.normal), mostNormal)
}

// domainRate returns the same within the failure domain of a replica.
func (j *judge) domainRate(name table.Source) float64 {
	e, known := j.state.Rules.Endpoints[jaywind.EndpointID(name)]
	if !known {
		return 0
	}
	bad := j.score.Domains[table.Source(e.Domain)]
	good := max(j.score.OldAll-j.score.OldBad, 0) / float64(max(j.sizes.Domains, 1))
	return min(bad/(bad+good+fewOutcomes/4), mostNormal)
}

func worse(rate, odds float64) float64 {
	o := rate / (1 - rate) * odds
	return o / (1 + o)
}

func comparePairs(a, b table.Pair) int {
	return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Measure, b.Measure))
}
