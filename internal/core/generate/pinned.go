package generate

import (
	"slices"

	"jaywind/internal/core/table"
)

// PinnedVersionCheck ends pinned generations whose version no endpoint in the rules serves.
type PinnedVersionCheck struct{}

// Step checks each request that waits for an endpoint.
func (PinnedVersionCheck) Step(s *table.State) {
	for _, id := range slices.Concat(s.Ready, s.Waiting) {
		r := s.Requests[id]
		if r == nil || r.Phase != table.PhaseReady || !r.Pinned() || versionServed(s, r) {
			continue
		}
		reason := "no endpoint of version " + string(r.Version) + " is left; ask again for a new answer"
		finish(s, r, table.FinishRequest{Outcome: table.OutcomeFailed, Reason: reason, RetryAfter: retryAfter})
	}
}

func versionServed(s *table.State, r *table.Request) bool {
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
