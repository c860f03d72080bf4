package place

import (
	"time"

	"jaywind/internal/core/table"
)

const (
	reportFresh = time.Second      // age up to which a load report counts in full
	reportStale = 10 * time.Second // age from which it does not count
)

// loads estimates the work at endpoints from own work and from reports.
type loads struct {
	now     time.Time
	foreign float64 // average work of other routers, taken where a report says nothing
	mean    float64
}

func loadsOf(s *table.State, endpoints []*table.Endpoint) loads {
	l := loads{now: s.Now}
	weights, foreign := 0.0, 0.0
	for _, e := range endpoints {
		w := l.trust(e)
		weights += w
		foreign += w * float64(e.Foreign)
	}
	if weights > 0 {
		l.foreign = foreign / weights
	}
	for _, e := range endpoints {
		l.mean += l.of(e) / float64(len(endpoints))
	}
	return l
}

// of returns the own work in flight and the estimated work of other routers.
func (l loads) of(e *table.Endpoint) float64 {
	w := l.trust(e)
	return float64(e.Inflight) + w*float64(e.Foreign) + (1-w)*l.foreign
}

// trust returns the weight of an endpoint's report, which falls with its age.
func (l loads) trust(e *table.Endpoint) float64 {
	if e.LoadAt.IsZero() {
		return 0
	}
	age := l.now.Sub(e.LoadAt)
	left := float64(reportStale-age) / float64(reportStale-reportFresh)
	return min(1, max(0, left))
}
