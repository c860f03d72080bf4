package generate

import (
	"slices"

	"jaywind/internal/core/table"
)

// Pinned ends generations that no endpoint in the rules can go on with.
type Pinned struct{}

// Step looks at each request that waits for an endpoint.
func (Pinned) Step(s *table.State) {
	for _, id := range slices.Concat(s.Ready, s.Waiting) {
		r := s.Requests[id]
		if r == nil || r.Phase != table.PhaseReady || !r.Pinned() || served(s, r) {
			continue
		}
		reason := "no endpoint of version " + string(r.Version) + " is left; ask again for a new answer"
		end(s, r, table.Finish{Outcome: table.OutcomeFailed, Reason: reason, RetryAfter: returnAfter})
	}
}

func served(s *table.State, r *table.Request) bool {
	if s.Rules == nil {
		return true
	}
	for _, e := range s.Rules.Endpoints {
		if e.Model == r.Model && e.Version == r.Version {
			return true
		}
	}
	return false
}
