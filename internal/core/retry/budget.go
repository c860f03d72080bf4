package retry

import "time"

const (
	cells  = 20  // of a window
	lent   = 0.7 // of a part may go to others; the rest is for what this router may lose in the next seconds
	margin = 0.8 // of the budget is used, as other routers count their windows at other times
)

// Budget counts the requests and repeats of one service at one router; set its fields before use.
type Budget struct {
	Ratio   float64       // repeats that one request allows
	Reserve float64       // repeats that the whole fleet may make besides
	Window  time.Duration // over which both count
	Started time.Time     // start of the router; what it has spent before is not known

	requests count
	repeats  count
}

// RecordRequest counts a request.
func (b *Budget) RecordRequest(now time.Time) {
	b.requests.add(now, b.Window)
}

// Take counts a repeat and returns true, or returns false when the part of one of so many routers is spent.
func (b *Budget) Take(now time.Time, routers int) bool {
	return b.take(now, routers, 1)
}

// Lend counts a repeat of another router as Take does, but leaves the last of the part for own repeats.
func (b *Budget) Lend(now time.Time, routers int) bool {
	return b.take(now, routers, lent)
}

// take counts a repeat if all repeats stay within a share of this router's part.
func (b *Budget) take(now time.Time, routers int, share float64) bool {
	spare := b.Reserve / float64(max(1, routers))
	if now.Sub(b.Started) < b.Window {
		spare *= (1 - margin) / margin // the rest of this window's may have been spent by the process before
	}
	part := margin * (b.Ratio*float64(b.requests.sum(now, b.Window)) + spare)
	if float64(b.repeats.sum(now, b.Window)+1) > share*part {
		return false
	}
	b.repeats.add(now, b.Window)
	return true
}

// count is a sliding sum over one window, in cells.
type count struct {
	cell [cells]int
	last int64 // number of the newest cell since the Unix epoch
}

func (c *count) add(now time.Time, window time.Duration) {
	c.turn(now, window)
	c.cell[c.last%cells]++
}

func (c *count) sum(now time.Time, window time.Duration) int {
	c.turn(now, window)
	total := 0
	for _, n := range c.cell {
		total += n
	}
	return total
}

// turn empties the cells that the window has left; a clock that went back leaves them as they are.
func (c *count) turn(now time.Time, window time.Duration) {
	at := now.UnixNano() / max(1, int64(window)/cells)
	for range min(cells, max(0, at-c.last)) {
		c.last++
		c.cell[c.last%cells] = 0
	}
	c.last = max(c.last, at)
}
