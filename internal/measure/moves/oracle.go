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
	detectionGrace    = 2 * time.Second  // from the detection until the traffic on the bad version is counted
	exposureWindow    = 10 * time.Second // how long it is counted
)

// oracle detects a bad version from all outcomes of all routers without delay, as the reference for the routers'
// decisions. It runs a CUSUM test for each route and measure.
type oracle struct {
	threshold    float64 // of the CUSUM; higher for moves with more requests
	tickLength   time.Duration
	detected     bool
	detectedTick int
	sums         map[table.RouteMeasure]float64
	before       traffic // until the detection
	after        traffic // within exposureWindow after detectionGrace
}

// traffic counts requests.
type traffic struct {
	total      int
	newVersion int
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

func (o *oracle) recordStart(tick int, toNew bool) {
	if !o.detected {
		o.before.add(toNew)
		return
	}
	since := time.Duration(tick-o.detectedTick) * o.tickLength
	if since >= detectionGrace && since < detectionGrace+exposureWindow {
		o.after.add(toNew)
	}
}

// recordOutcome adds an outcome of the new version to the test.
func (o *oracle) recordOutcome(tick int, seen outcome, bad bool) {
	normal, worse := normalFailureRate, badFailureRate
	switch seen.measure {
	case table.MeasureFirstToken:
		normal, worse = normalLateShare, badLateShare
		bad = seen.latency > quantile95(firstTokenMedian, firstTokenSigma)
	case table.MeasureTokenGap:
		normal, worse = normalLateShare, badLateShare
		bad = seen.latency > quantile95(tokenGapMedian, tokenGapSigma)
	}
	increment := math.Log((1 - worse) / (1 - normal))
	if bad {
		increment = math.Log(worse / normal)
	}
	if o.sums == nil {
		o.sums = map[table.RouteMeasure]float64{}
	}
	key := table.RouteMeasure{Route: seen.observation.Route, Measure: seen.measure}
	o.sums[key] = max(o.sums[key]+increment, 0)
	if o.sums[key] >= o.threshold && !o.detected {
		o.detected = true
		o.detectedTick = tick
	}
}

func quantile95(median time.Duration, sigma float64) time.Duration {
	return time.Duration(float64(median) * math.Exp(1.645*sigma))
}
