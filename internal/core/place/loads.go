package place

import (
	"time"

	"jaywind/internal/core/table"
)

const (
	reportFresh = time.Second      // age up to which a load report counts in full
	reportStale = 10 * time.Second // age from which it does not count

	prefillLimit = table.FirstTarget / 2 // of own prompts at an endpoint, computed before the next one
)

// loads estimates the work at endpoints from own work and from reports.
type loads struct {
	now     time.Time
	foreign float64 // average work of other routers, taken where a report says nothing
	mean    float64 // of all work at an endpoint
	own     float64 // the same, of own work
}

func loadsOf(s *table.State, endpoints []*table.Endpoint) loads {
	l := loads{now: s.Now}
	weights, foreign := 0.0, 0.0
	for _, e := range endpoints {
		w := l.trust(e)
		weights += w
		foreign += w * float64(e.OtherInflight)
	}
	if weights > 0 {
		l.foreign = foreign / weights
	}
	for _, e := range endpoints {
		l.mean += l.of(e) / float64(len(endpoints))
		l.own += float64(e.Inflight) / float64(len(endpoints))
	}
	return l
}

// of returns the own work in flight and the estimated work of other routers.
func (l loads) of(e *table.Endpoint) float64 {
	w := l.trust(e)
	return float64(e.Inflight) + w*float64(e.OtherInflight) + (1-w)*l.foreign
}

// fits tells whether an endpoint has little more than the average load, and not many prompts
// to compute first. Own work is bounded by itself too: until the next report each router would
// send what all of them together may.
func (l loads) fits(e *table.Endpoint) bool {
	if e.PendingPrefill(l.now) > prefillLimit.Seconds()*table.PrefillRate {
		return false
	}
	return l.of(e) <= affinityBound*l.mean+1 && float64(e.Inflight) <= affinityBound*l.own+1
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
