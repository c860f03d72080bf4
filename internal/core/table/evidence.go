package table

import (
	"math"
	"time"

	"jaywind"
)

// Measure is a kind of outcome by which two versions are compared.
type Measure int

// The measures.
const (
	MeasureFailure Measure = iota // the attempt failed or fell silent
	MeasureFirst                  // the first token came later than the old version's 0.95 quantile
	MeasureGap                    // the tokens came slower than the old version's 0.95 quantile
)

// String returns what a bad outcome of the measure is called.
func (m Measure) String() string {
	switch m {
	case MeasureFailure:
		return "failures"
	case MeasureFirst:
		return "late first tokens"
	case MeasureGap:
		return "slow tokens"
	}
	return "unknown"
}

// Pair is a route with a measure.
type Pair struct {
	Route   jaywind.Route
	Measure Measure
}

// Cell is a pair on one side of a move.
type Cell struct {
	Pair
	New bool
}

// Source is what a bad outcome is put down to: an endpoint of the new version, a failure domain of the old one.
type Source string

// Tally counts outcomes; By divides the bad ones by source.
type Tally struct {
	Good uint64
	Bad  uint64
	By   map[Source]uint64
}

// Evidence is what a router knows of the outcomes of a move.
type Evidence struct {
	Own     map[Cell]Tally        // running totals of this router's stream of reports, with what it has collected
	Told    map[Cell]Tally        // the same at the last report
	Heard   map[jaywind.VM]Report // the last report of each other router
	Pending map[Cell]Tally        // outcomes of all routers since the last window
	Scores  map[Pair]*Score       // by route and measure
	Normal  map[Pair]*Quantile    // 0.95 quantiles of the old version, as this router sees them
	Rate    float64               // outcomes a second on all pairs, smoothed
	Ended   float64               // answers a second on both versions, smoothed
	Windows int                   // closed so far
	Window  time.Time             // when the last window was closed
}

// Score is the CUSUM of one pair over the windows.
type Score struct {
	Sum     float64
	By      map[Source]float64 // what each replica and failure domain has added since Sum was last zero
	OldAll  float64            // outcomes on the old version, decayed
	OldBad  float64
	NewAll  float64            // outcomes on the new version, decayed
	Domains map[Source]float64 // bad outcomes on the old version by failure domain, decayed
}

// Quantile follows the 0.95 quantile of positive durations.
type Quantile struct {
	Value time.Duration
	Count int
}

const (
	quantileTail  = 0.05
	quantileGain  = 0.03 // relative step of a settled estimate
	quantileFirst = 10   // observations of which the largest is the first estimate
)

// Observe adds one duration.
func (q *Quantile) Observe(d time.Duration) {
	q.Count++
	if q.Count <= quantileFirst {
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

// Settled tells whether enough was observed to compare with.
func (q *Quantile) Settled() bool {
	return q != nil && q.Count >= 2*quantileFirst
}
