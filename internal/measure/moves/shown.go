package moves

import (
	"math"
	"time"

	"jaywind/internal/core/table"
)

const (
	shownNormal = 0.005
	shownBad    = 0.05
	shownSlow   = 0.05
	shownSlower = 0.15
	grace       = 2 * time.Second  // after it showed itself bad
	exposure    = 10 * time.Second // after that, over which its traffic is counted
)

// shown tells when a version has shown itself bad to an onlooker who sees all outcomes at once.
type shown struct {
	limit  float64 // of the CUSUM, that of a move of this size
	tick   time.Duration
	yes    bool
	at     int // tick
	sums   map[table.RouteMeasure]float64
	before traffic // until it showed itself bad
	after  traffic // within exposure after the grace
}

// traffic counts requests.
type traffic struct {
	all    int
	recent int // on the new version
}

func (t *traffic) add(recent bool) {
	t.all++
	if recent {
		t.recent++
	}
}

func (t traffic) share() float64 {
	return float64(t.recent) / float64(max(t.all, 1))
}

func (w *shown) start(tickNow int, recent bool) {
	if !w.yes {
		w.before.add(recent)
		return
	}
	since := time.Duration(tickNow-w.at) * w.tick
	if since >= grace && since < grace+exposure {
		w.after.add(recent)
	}
}

// note takes one outcome on the new version.
func (w *shown) note(tickNow int, o outcome, bad bool) {
	normal, worse := shownNormal, shownBad
	switch o.measure {
	case table.MeasureFirstToken:
		normal, worse = shownSlow, shownSlower
		bad = o.took > quantile95(firstMedian, firstSpread)
	case table.MeasureTokenGap:
		normal, worse = shownSlow, shownSlower
		bad = o.took > quantile95(gapMedian, gapSpread)
	}
	gain := math.Log((1 - worse) / (1 - normal))
	if bad {
		gain = math.Log(worse / normal)
	}
	if w.sums == nil {
		w.sums = map[table.RouteMeasure]float64{}
	}
	pair := table.RouteMeasure{Route: o.trial.Route, Measure: o.measure}
	w.sums[pair] = max(w.sums[pair]+gain, 0)
	if w.sums[pair] >= w.limit && !w.yes {
		w.yes = true
		w.at = tickNow
	}
}

func quantile95(median time.Duration, spread float64) time.Duration {
	return time.Duration(float64(median) * math.Exp(1.645*spread))
}
