package retry

import "time"

const (
	bucketCount   = 20  // buckets in a window
	lendableShare = 0.7 // fraction of a router's part that others may use; the rest is for failures of its own calls in the next seconds
	budgetMargin  = 0.8 // fraction of the budget that is used, because the windows of the routers are not aligned
)

// Budget counts one router's requests and retries to one service. Set its fields before use.
type Budget struct {
	Ratio   float64       // retries per request
	Reserve float64       // retries in a window that all routers together may make in addition
	Window  time.Duration // length of the sliding window
	Started time.Time     // start time of the router process; earlier retries are not known

	requests slidingCount
	retries  slidingCount
}

// RecordRequest counts a request.
func (b *Budget) RecordRequest(now time.Time) {
	b.requests.add(now, b.Window)
}

// Take counts a retry and returns true, or returns false if this router's part of the budget is
// spent. The argument routers is the number of routers that share the budget.
func (b *Budget) Take(now time.Time, routers int) bool {
	return b.take(now, routers, 1)
}

// Lend is Take for a retry of another router; it leaves a rest of the budget for this router's own retries.
func (b *Budget) Lend(now time.Time, routers int) bool {
	return b.take(now, routers, lendableShare)
}

// Left returns the fraction of this router's part of the budget that is left, or 0 if the part is less than one retry.
func (b *Budget) Left(now time.Time, routers int) float64 {
	part := b.part(now, routers)
	if part < 1 {
		return 0
	}
	return max(0, 1-float64(b.retries.sum(now, b.Window))/part)
}

// take counts a retry if the retries stay within the given fraction of this router's part of the budget.
func (b *Budget) take(now time.Time, routers int, fraction float64) bool {
	if float64(b.retries.sum(now, b.Window)+1) > fraction*b.part(now, routers) {
		return false
	}
	b.retries.add(now, b.Window)
	return true
}

// part returns the retries that this router may make in the present window.
func (b *Budget) part(now time.Time, routers int) float64 {
	reserve := b.Reserve / float64(max(1, routers))
	if now.Sub(b.Started) < b.Window {
		reserve *= (1 - budgetMargin) / budgetMargin // the previous process may have spent the rest in this window
	}
	return budgetMargin * (b.Ratio*float64(b.requests.sum(now, b.Window)) + reserve)
}

// slidingCount counts events in a sliding window that is divided into buckets.
type slidingCount struct {
	buckets [bucketCount]int
	last    int64 // number of the newest bucket, counted from the Unix epoch
}

func (c *slidingCount) add(now time.Time, window time.Duration) {
	c.advance(now, window)
	c.buckets[c.last%bucketCount]++
}

func (c *slidingCount) sum(now time.Time, window time.Duration) int {
	c.advance(now, window)
	total := 0
	for _, n := range c.buckets {
		total += n
	}
	return total
}

// advance clears the buckets that have left the window. It changes nothing if the clock was set back.
func (c *slidingCount) advance(now time.Time, window time.Duration) {
	at := now.UnixNano() / max(1, int64(window)/bucketCount)
	for range min(bucketCount, max(0, at-c.last)) {
		c.last++
		c.buckets[c.last%bucketCount] = 0
	}
	c.last = max(c.last, at)
}
