package place

import (
	"time"

	"jaywind/internal/core/table"
)

const (
	reportFullWeightAge = time.Second      // age up to which a load report has full weight
	reportMaxAge        = 10 * time.Second // age from which it has none

	maxAffinityPrefill = table.FirstTarget / 2 // time to prefill this router's prompts pending at an endpoint, up to which affinity uses it
)

// loadEstimates estimates the load of endpoints from this router's requests and from load reports.
type loadEstimates struct {
	now         time.Time
	foreignMean float64 // requests of other routers per endpoint, assumed where a report has no weight
	totalMean   float64 // estimated requests of all routers per endpoint
	ownMean     float64 // requests of this router per endpoint
}

func estimateLoads(s *table.State, endpoints []*table.Endpoint) loadEstimates {
	l := loadEstimates{now: s.Now}
	weights, foreign := 0.0, 0.0
	for _, e := range endpoints {
		w := l.reportWeight(e)
		weights += w
		foreign += w * float64(e.OtherInflight)
	}
	if weights > 0 {
		l.foreignMean = foreign / weights
	}
	for _, e := range endpoints {
		l.totalMean += l.estimate(e) / float64(len(endpoints))
		l.ownMean += float64(e.Inflight) / float64(len(endpoints))
	}
	return l
}

// estimate returns this router's requests in flight at an endpoint plus the estimated requests of other routers.
func (l loadEstimates) estimate(e *table.Endpoint) float64 {
	w := l.reportWeight(e)
	return float64(e.Inflight) + w*float64(e.OtherInflight) + (1-w)*l.foreignMean
}

// belowAffinityLimit tells whether an endpoint's load is not much above the average and it has few prompt
// tokens left to prefill. This router's requests are also limited on their own. Otherwise, until the
// next report, each router would send as many as all of them together may.
func (l loadEstimates) belowAffinityLimit(e *table.Endpoint) bool {
	if e.PendingPrefill(l.now) > maxAffinityPrefill.Seconds()*table.PrefillRate {
		return false
	}
	return l.estimate(e) <= affinityLoadFactor*l.totalMean+1 && float64(e.Inflight) <= affinityLoadFactor*l.ownMean+1
}

// reportWeight returns the weight of an endpoint's load report, from 1 down to 0 with its age.
func (l loadEstimates) reportWeight(e *table.Endpoint) float64 {
	if e.LoadAt.IsZero() {
		return 0
	}
	age := l.now.Sub(e.LoadAt)
	left := float64(reportMaxAge-age) / float64(reportMaxAge-reportFullWeightAge)
	return min(1, max(0, left))
}
