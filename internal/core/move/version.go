package move

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"jaywind"
	"jaywind/internal/core/rule"
	"jaywind/internal/core/table"
)

const (
	minReplicasInUse = 2 // distinguishes a fault of one replica from a bad version
)

// VersionFor returns the version on which to start a request that has no answer yet. It counts starts on the new
// version.
func VersionFor(s *table.State, r *table.Request) jaywind.Version {
	current := s.Rules.Models[r.Model].Version
	m := s.Moves[r.Model]
	if m == nil || current != m.ID.From {
		return current
	}
	switch m.State {
	case table.MoveDone:
		return m.ID.To
	case table.MoveRolledBack:
		return m.ID.From
	}
	if hashFraction(r.ID) >= m.Share {
		return m.ID.From
	}
	if !hasReadyReplica(s, m, r) {
		return m.ID.From
	}
	if t := m.Observations[r.ID]; t != nil && t.New {
		return m.ID.To
	}
	if !budgetAllowsStart(s, m) {
		m.Withheld++
		return m.ID.From
	}
	m.Starts++
	m.Observations[r.ID] = &table.Observation{New: true, Route: r.Route}
	return m.ID.To
}

// hasReadyReplica reports whether any replica of the new version can take the request now.
func hasReadyReplica(s *table.State, m *table.Move, r *table.Request) bool {
	for id, e := range s.Rules.Endpoints {
		if e.Model == m.ID.Model && e.Version == m.ID.To && !r.Avoid[id] && isReady(s, m, id) {
			return true
		}
	}
	return false
}

// isReady reports whether an endpoint has the new version loaded and accepts new requests.
func isReady(s *table.State, m *table.Move, id jaywind.EndpointID) bool {
	if _, drained := s.Rules.Drains[id]; drained {
		return false
	}
	e := s.Endpoints[id]
	return e != nil && e.Accepts(m.ID.To, s.Now) && slices.Contains(e.Load.Loaded, m.ID.To)
}

func moveKey(id table.MoveID) string {
	return "/" + string(id.Model) + "/" + string(id.To)
}

// hashFraction maps request ids uniformly to [0, 1).
func hashFraction(id jaywind.RequestID) float64 {
	return float64(xxhash.Sum64String(string(id))>>11) / (1 << 53)
}

// LimitReplicas keeps the ready replicas of the new version that are in use at the current share. It returns usable
// unchanged for other versions and for requests that already have tokens.
func LimitReplicas(s *table.State, r *table.Request, usable []rule.Endpoint) []rule.Endpoint {
	m := s.Moves[r.Model]
	if m == nil || m.State != table.MoveRunning || r.Pinned() || len(usable) == 0 || usable[0].Version != m.ID.To {
		return usable
	}
	ranked := slices.DeleteFunc(slices.Clone(usable), func(e rule.Endpoint) bool { return !isReady(s, m, e.ID) })
	n := replicasInUse(s, m)
	if n >= len(ranked) {
		return ranked
	}
	slices.SortFunc(ranked, func(a, b rule.Endpoint) int {
		return cmp.Compare(replicaRank(m, a.ID), replicaRank(m, b.ID))
	})
	return pickAcrossDomains(ranked, n)
}

// pickAcrossDomains returns n endpoints in ranked order, taking one of each failure domain in turn.
func pickAcrossDomains(ranked []rule.Endpoint, n int) []rule.Endpoint {
	taken := make([]rule.Endpoint, 0, n)
	for len(taken) < n {
		used := map[jaywind.Domain]bool{}
		rest := ranked[:0]
		for _, e := range ranked {
			if used[e.Domain] || len(taken) == n {
				rest = append(rest, e)
				continue
			}
			used[e.Domain] = true
			taken = append(taken, e)
		}
		ranked = rest
	}
	return taken
}

func replicaRank(m *table.Move, id jaywind.EndpointID) uint64 {
	return xxhash.Sum64String(string(id) + moveKey(m.ID))
}

// replicasInUse returns the number of replicas of the new version at which each carries about the load of an old one.
func replicasInUse(s *table.State, m *table.Move) int {
	oldCount, newCount := replicaCounts(s, m)
	if m.Share >= 1 {
		return newCount
	}
	n := int(math.Floor(float64(oldCount) * m.Share / (1 - m.Share)))
	return min(max(n, minReplicasInUse), newCount)
}

// replicaCounts returns the numbers of endpoints of both versions that are not drained.
func replicaCounts(s *table.State, m *table.Move) (oldCount, newCount int) {
	z := countEndpoints(s, m)
	return z.Old, z.New
}

// countEndpoints counts the endpoints in the rules and caches the result until the rules change.
func countEndpoints(s *table.State, m *table.Move) table.Sizes {
	if m.Sizes.Rules == s.Rules {
		return m.Sizes
	}
	z := table.Sizes{Rules: s.Rules}
	domains := map[jaywind.Domain]bool{}
	spread := map[jaywind.Domain]bool{}
	for id, e := range s.Rules.Endpoints {
		domains[e.Domain] = true
		if _, drained := s.Rules.Drains[id]; drained || e.Model != m.ID.Model {
			continue
		}
		switch e.Version {
		case m.ID.From:
			z.Old++
		case m.ID.To:
			z.New++
			spread[e.Domain] = true
		}
	}
	z.NewDomains = len(spread)
	z.Domains = len(domains)
	m.Sizes = z
	return z
}
