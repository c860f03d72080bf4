package retry

import (
	"slices"
	"time"
)

// Sharers remembers how many routers have shared the budgets lately. A router that has just left may have spent its part in the present window, so
// the parts of the others grow only after it. Its zero value stands for this router alone.
type Sharers struct {
	counts []sharerCount // the latest last
}

// sharerCount is a number of routers and the time from which it held.
type sharerCount struct {
	routers int
	since   time.Time
}

// Set records the number of routers from now on.
func (s *Sharers) Set(routers int, now time.Time) {
	s.counts = append(s.counts, sharerCount{routers, now})
}

// Most returns the largest number of routers within the window before now.
func (s *Sharers) Most(now time.Time, window time.Duration) int {
	last := 0 // of the counts that had ended before the window
	for last+1 < len(s.counts) && now.Sub(s.counts[last+1].since) > window {
		last++
	}
	s.counts = slices.Delete(s.counts, 0, last)
	most := 1
	for _, c := range s.counts {
		most = max(most, c.routers)
	}
	return most
}
