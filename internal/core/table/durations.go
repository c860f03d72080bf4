package table

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Durations counts positive durations in buckets, whose bounds are a constant factor apart, so that the counts of several
// routers can be added. The zero value is empty.
type Durations struct {
	Counts map[int]uint64 // by bucket
}

const (
	bucketsPerDoubling = 8    // of a duration
	maxDurations       = 1000 // counted; at more, all counts are halved, so that old durations fade
	minDurations       = 10   // counted, for an estimate of the quantile
	lateQuantile       = 0.95 // estimated by High
)

// Observe adds one duration.
func (d *Durations) Observe(v time.Duration) {
	if d.Counts == nil {
		d.Counts = map[int]uint64{}
	}
	d.Counts[int(math.Ceil(bucketsPerDoubling*math.Log2(float64(max(v, 1)))))]++
	if d.total() <= maxDurations {
		return
	}
	for b, n := range d.Counts {
		d.Counts[b] = n / 2
		if n < 2 {
			delete(d.Counts, b)
		}
	}
}

// Add adds all durations of another count.
func (d *Durations) Add(other Durations) {
	if d.Counts == nil {
		d.Counts = map[int]uint64{}
	}
	for b, n := range other.Counts {
		d.Counts[b] += n
	}
}

// High returns an upper bound of the 0.95 quantile, or false if there are too few durations to estimate it.
func (d Durations) High() (time.Duration, bool) {
	total := d.total()
	if total < minDurations {
		return 0, false
	}
	above := uint64(float64(total) * (1 - lateQuantile))
	for _, b := range slices.Backward(slices.Sorted(maps.Keys(d.Counts))) {
		if d.Counts[b] > above {
			return time.Duration(math.Exp2(float64(b) / bucketsPerDoubling)), true
		}
		above -= d.Counts[b]
	}
	return 0, false
}

func (d Durations) total() uint64 {
	var out uint64
	for _, n := range d.Counts {
		out += n
	}
	return out
}
