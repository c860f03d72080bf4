package moves

import (
	"math"
	"time"

	"jaywind/internal/core/table"
)

const (
	normalFailureRate = 0.005
	badFailureRate    = 0.05
	normalLateShare   = 0.05
	badLateShare      = 0.15
	detectionGrace    = 2 * time.Second  // after it showed itself bad
	exposureWindow    = 10 * time.Second // after that, over which its traffic is counted
)

// shown tells when a version has shown itself bad to an onlooker who sees all outcomes at once.
type oracle struct {
	threshold    float64 // of the CUSUM, that of a move of this size
	tickLength   time.Duration
	detected     bool
	detectedTick int // tick
	sums         map[table.Pair]float64
	before       traffic // until it showed itself bad
	after        traffic // within exposure after the grace
}

// traffic counts requests.
type traffic struct {
	total      int
	newVersion int // on the new version
}

func (t *traffic) add(toNew bool) {
	t.total++
	if toNew {
		t.newVersion++
	}
}

func (t traffic) share() float64 {
	return float64(t.newVersion) / float64(max(t.total, 1))
}

func (w *oracle) recordStart(tick int, toNew bool) {
	if !w.detected {
		w.before.add(toNew)
		return
	}
	since := time.Duration(tick-w.detectedTick) * w.tickLength
	if since >= detectionGrace && since < detectionGrace+exposureWindow {
		w.after.add(toNew)
	}
}

// note takes one outcome on the new version.
func (w *oracle) recordOutcome(tick int, o outcome, bad bool) {
	normal, worse := normalFailureRate, badFailureRate
	switch o.measure {
	case table.MeasureFirst:
		normal, worse = normalLateShare, badLateShare
		bad = o.latency > quantile95(firstTokenMedian, firstTokenSigma)
	case table.MeasureGap:
		normal, worse = normalLateShare, badLateShare
		bad = o.latency > quantile95(tokenGapMedian, tokenGapSigma)
	}
	increment := math.Log((1 - worse) / (1 - normal))
	if bad {
		increment = math.Log(worse / normal)
	}
	if w.sums == nil {
		w.sums = map[table.Pair]float64{}
	}
	key := table.Pair{Route: o.trial.Route, Measure: o.measure}
	w.sums[key] = max(w.sums[key]+increment, 0)
	if w.sums[key] >= w.threshold && !w.detected {
		w.detected = true
		w.detectedTick = tick
	}
}

func quantile95(median time.Duration, sigma float64) time.Duration {
	return time.Duration(float64(median) * math.Exp(1.645*sigma))
}
