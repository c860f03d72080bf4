package table

import (
	"math"
	"time"

	"jaywind"
)

// Measure is a kind of outcome by which two versions are compared.
type Measure int

// Measures of a move.
const (
	MeasureFailure    Measure = iota // the attempt failed or stopped sending
	MeasureFirstToken                // the first token was late compared to the old version's 0.95 quantile
	MeasureTokenGap                  // the tokens were slow compared to the old version's 0.95 quantile
)

// String returns the term for bad outcomes of the measure.
func (m Measure) String() string {
	switch m {
	case MeasureFailure:
		return "failures"
	case MeasureFirstToken:
		return "late first tokens"
	case MeasureTokenGap:
		return "slow tokens"
	}
	return "unknown"
}

// RouteMeasure is a measure on one route.
type RouteMeasure struct {
	Route   jaywind.Route
	Measure Measure
}

// OutcomeKey identifies the counts of one route and measure on the old or the new version.
type OutcomeKey struct {
	RouteMeasure
	New bool
}

// Source is what a bad outcome is attributed to: an endpoint on the new version, a failure domain on the old one.
type Source string

// OutcomeCounts counts good and bad outcomes; BadBySource splits the bad ones by source.
type OutcomeCounts struct {
	Good        uint64
	Bad         uint64
	BadBySource map[Source]uint64
}

// Evidence holds the outcomes on both versions that a router knows of, with the statistics over them.
type Evidence struct {
	Own            map[OutcomeKey]OutcomeCounts // running totals that this router reports, including those that it has collected
	LastReported   map[OutcomeKey]OutcomeCounts // Own as of the last report
	PeerReports    map[jaywind.VM]Report        // last report of each other router
	Pending        map[OutcomeKey]OutcomeCounts // outcomes of all routers since the last window closed
	Scores         map[RouteMeasure]*CUSUM      // CUSUM by route and measure
	Baselines      map[RouteMeasure]*Quantile   // 0.95 quantiles of the old version, as observed by this router
	OutcomeRate    float64                      // outcomes per second over all routes and measures, smoothed
	CompletionRate float64                      // answers per second on both versions, smoothed
	Windows        int                          // windows closed so far
	WindowClosedAt time.Time                    // when the last window was closed
}

// CUSUM is the cumulative sum test of one route and measure over the windows.
type CUSUM struct {
	Sum            float64
	SumBySource    map[Source]float64 // contribution of each replica and failure domain since Sum was last zero
	OldTotal       float64            // outcomes on the old version, decayed
	OldBad         float64            // bad outcomes on the old version, decayed
	NewTotal       float64            // outcomes on the new version, decayed
	OldBadByDomain map[Source]float64 // bad outcomes on the old version by failure domain, decayed
}

// Quantile is a streaming estimate of the 0.95 quantile of positive durations.
type Quantile struct {
	Value time.Duration
	Count int
}

const (
	quantileTail   = 0.05 // share of observations above the quantile
	quantileGain   = 0.03 // relative step size once enough was observed
	quantileWarmUp = 10   // number of observations whose maximum is the first estimate
)

// Observe adds one duration. The steps up and down balance where a share of quantileTail is above the estimate.
func (q *Quantile) Observe(d time.Duration) {
	q.Count++
	if q.Count <= quantileWarmUp {
		q.Value = max(q.Value, d)
		return
	}
	gain := max(quantileGain, 1/float64(q.Count))
	step := -gain * quantileTail
	if d > q.Value {
		step = gain * (1 - quantileTail)
	}
	q.Value = time.Duration(float64(q.Value) * math.Exp(step))
}

// Ready tells whether there are enough observations to compare against the estimate.
func (q *Quantile) Ready() bool {
	return q != nil && q.Count >= 2*quantileWarmUp
}
