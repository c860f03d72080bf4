package burn

import (
	"sync"
	"time"
)

// ObjectiveName is the name of an objective.
type ObjectiveName string

// The objectives that routers record.
const (
	Completion     ObjectiveName = "whole"  // answers that were completed
	Resumption     ObjectiveName = "resume" // failures after which output resumed in time
	FirstToken     ObjectiveName = "first"  // first tokens in time
	TokenGap       ObjectiveName = "gap"    // token gaps in time
	IdempotentCall ObjectiveName = "lookup" // idempotent calls to services answered in time
	Move           ObjectiveName = "move"   // moves that ended by their deadline
)

// The times up to which an outcome is good.
const (
	ResumptionLimit     = 4 * time.Second
	FirstTokenLimit     = 860 * time.Millisecond
	TokenGapLimit       = 34 * time.Millisecond
	IdempotentCallLimit = time.Second
)

// The windows over which burn rates are calculated.
const (
	ShortWindow = 5 * time.Minute
	LongWindow  = time.Hour
)

const (
	bucketWidth = 10 * time.Second
	bucketCount = int(LongWindow/bucketWidth) + 1
)

// Count holds the number of good outcomes and of all outcomes.
type Count struct {
	Good  uint64 `json:"good"`
	Total uint64 `json:"total"`
}

func (c *Count) add(o Count) {
	c.Good += o.Good
	c.Total += o.Total
}

// Counts are the outcomes of one router in both windows.
type Counts struct {
	Short map[ObjectiveName]Count `json:"short"`
	Long  map[ObjectiveName]Count `json:"long"`
}

// Recorder counts outcomes over the long window. Its zero value is ready to use.
type Recorder struct {
	mu     sync.Mutex
	series map[ObjectiveName]*[bucketCount]bucket
}

type bucket struct {
	number int64 // bucket widths since the Unix epoch
	count  Count
}

// Add records one outcome.
func (r *Recorder) Add(n ObjectiveName, good bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.series == nil {
		r.series = map[ObjectiveName]*[bucketCount]bucket{}
	}
	s := r.series[n]
	if s == nil {
		s = &[bucketCount]bucket{}
		r.series[n] = s
	}
	number := bucketNumber(now)
	b := &s[number%int64(bucketCount)]
	if b.number != number {
		*b = bucket{number: number}
	}
	b.count.Total++
	if good {
		b.count.Good++
	}
}

func bucketNumber(t time.Time) int64 {
	return t.UnixNano() / int64(bucketWidth)
}

// Counts returns the outcomes of both windows up to now.
func (r *Recorder) Counts(now time.Time) Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := Counts{Short: map[ObjectiveName]Count{}, Long: map[ObjectiveName]Count{}}
	for n, s := range r.series {
		out.Short[n] = sum(s, now, ShortWindow)
		out.Long[n] = sum(s, now, LongWindow)
	}
	return out
}

func sum(s *[bucketCount]bucket, now time.Time, window time.Duration) Count {
	last := bucketNumber(now)
	first := last - int64(window/bucketWidth)
	var total Count
	for _, b := range s {
		if b.number > first && b.number <= last {
			total.add(b.count)
		}
	}
	return total
}
