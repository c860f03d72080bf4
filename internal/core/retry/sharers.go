package retry

import (
	"slices"
	"time"
)

// Sharers remembers how many routers have shared the budgets lately. A router that has just left may have spent its part in the present window, so
// the parts of the others grow only after it. Its zero value stands for this router alone.
type Sharers struct {
	counts []sharerCount // the latest last, each smaller than the one before
}

// sharerCount is a number of routers and the time from which it held.
type sharerCount struct {
	routers int
	since   time.Time
}

// Set records the number of routers from now on.
func (s *Sharers) Set(routers int, now time.Time) {
	next := sharerCount{routers, now}
	// Earlier counts that are no larger can't be the most any more, as each window that holds them holds the new one.
	for last := len(s.counts) - 1; last >= 0 && s.counts[last].routers <= routers; last-- {
		next.since = s.counts[last].since
		s.counts = s.counts[:last]
	}
	s.counts = append(s.counts, next)
}

// Most returns the largest number of routers within the window before now.
func (s *Sharers) Most(now time.Time, window time.Duration) int {
	last := 0 // of the counts that had ended before the window
	for last+1 < len(s.counts) && now.Sub(s.counts[last+1].since) > window {
		last++
	}
	s.counts = slices.Delete(s.counts, 0, last)
	if len(s.counts) == 0 {
		return 1
	}
	return s.counts[0].routers
}
