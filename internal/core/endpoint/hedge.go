package endpoint

import (
	"slices"
	"time"

	"jaywind/internal/core/route"
)

// ChooseHedge returns the endpoint for a second attempt of a call while the first one runs at another endpoint, or nil. It is in
// another failure domain, has a free slot and no recent failure, and is neither in Avoid nor slow.
func (t *Table) ChooseHedge(s *route.Service, first *Endpoint, n Requirements, slow func(*Endpoint) bool, now time.Time) *Endpoint {
	return t.best(s, n, now, func(e *Endpoint, distance float64) (rank int, weight float64) {
		if e.Domain == first.Domain || slices.Contains(n.Avoid, e.ID) || now.Before(e.closedUntil) || !e.missingSince.IsZero() ||
			e.returning && e.Calls > 0 || !e.fits(s, n) || e.Slots > 0 && e.Calls >= e.Slots ||
			now.Before(t.domainFailures[e.Domain].avoidUntil) || slow(e) {
			return 1, 0
		}
		return 0, e.load(s, n) + distanceWeight*distance
	}, 0)
}
