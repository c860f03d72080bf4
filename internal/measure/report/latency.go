package report

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxMicroseconds   = int64(time.Minute / time.Microsecond)
	significantDigits = 3
)

// Latency collects durations in a histogram. It is safe for concurrent use, and its zero value is ready to use.
type Latency struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram // microseconds
}

// Add records one duration.
func (l *Latency) Add(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.histogram == nil {
		l.histogram = hdrhistogram.New(1, maxMicroseconds, significantDigits)
	}
	_ = l.histogram.RecordValue(min(max(d.Microseconds(), 1), maxMicroseconds))
}

// Count returns the number of recorded durations.
func (l *Latency) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.histogram == nil {
		return 0
	}
	return int(l.histogram.TotalCount())
}

// Quantile returns a quantile, with q from 0 to 1, in milliseconds, or 0 if nothing was recorded.
func (l *Latency) Quantile(q float64) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.histogram == nil {
		return 0
	}
	return float64(l.histogram.ValueAtQuantile(q*100)) / 1000
}

// Rows returns the p50, p95, p99 and number of samples as rows of a study's case. If limit is not 0, it is the target for
// the p99.
func (l *Latency) Rows(study, caseName string, limit time.Duration) []Row {
	var rows []Row
	for _, q := range []struct {
		name string
		at   float64
	}{{"p50", 0.5}, {"p95", 0.95}, {"p99", 0.99}} {
		r := Row{Study: study, Case: caseName, Measure: q.name, Value: l.Quantile(q.at), Unit: "ms"}
		if limit > 0 && q.name == "p99" {
			r = r.AtMost(float64(limit.Milliseconds()))
		}
		rows = append(rows, r)
	}
	return append(rows, Row{Study: study, Case: caseName, Measure: "samples", Value: float64(l.Count()), Unit: "1"})
}
