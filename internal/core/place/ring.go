package place

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"jaywind"
	"jaywind/internal/core/rule"
	"jaywind/internal/core/table"
)

const (
	windowSize            = 16 // endpoints in a router's window, unless coverage or failure domains need more
	minRoutersPerEndpoint = 3  // routers whose windows include an endpoint, if there are that many routers
	minWindowDomains      = 2  // failure domains in a window, if the ring has that many
)

// RingOf returns the ring of a model's version, or nil if no endpoint serves it.
func RingOf(s *table.State, m jaywind.Model, v jaywind.Version) *table.Ring {
	refreshRings(s)
	return s.Rings.ByKey[table.RingKey{Model: m, Version: v}]
}

// refreshRings rebuilds the rings when the rules or the membership have changed.
func refreshRings(s *table.State) {
	g := &s.Rings
	if g.ByKey == nil || g.Rules != s.RulesVersion || g.Membership != s.Membership {
		*g = table.Rings{Rules: s.RulesVersion, Membership: s.Membership, ByKey: newRings(s), NextPoll: g.NextPoll}
	}
}

func newRings(s *table.State) map[table.RingKey]*table.Ring {
	byKey := map[table.RingKey][]rule.Endpoint{}
	for _, e := range s.Rules.Endpoints {
		if e.Kind != rule.KindEngine {
			continue
		}
		k := table.RingKey{Model: e.Model, Version: e.Version}
		byKey[k] = append(byKey[k], e)
	}
	rings := map[table.RingKey]*table.Ring{}
	for k, endpoints := range byKey {
		rings[k] = newRing(s.Membership, endpoints)
	}
	return rings
}

func newRing(membership table.Membership, endpoints []rule.Endpoint) *table.Ring {
	interleave(endpoints)
	n := len(endpoints)
	members := max(1, membership.Members)
	coveringSize := (minRoutersPerEndpoint*n + members - 1) / members
	g := &table.Ring{Size: min(n, max(windowSize, coveringSize)), Start: membership.Rank * n / members % n}
	for _, e := range endpoints {
		g.IDs = append(g.IDs, e.ID)
	}
	for g.Size < n && countWindowDomains(g, endpoints) < minWindowDomains {
		g.Size++
	}
	return g
}

func countWindowDomains(g *table.Ring, endpoints []rule.Endpoint) int {
	seen := map[jaywind.Domain]bool{}
	for i := range g.Size {
		seen[endpoints[(g.Start+i)%len(endpoints)].Domain] = true
	}
	return len(seen)
}

// interleave orders endpoints so that those of each failure domain are spaced evenly around the ring.
func interleave(endpoints []rule.Endpoint) {
	slices.SortFunc(endpoints, func(a, b rule.Endpoint) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(endpointHash(a.ID), endpointHash(b.ID)), cmp.Compare(a.ID, b.ID))
	})
	size := map[jaywind.Domain]int{}
	for _, e := range endpoints {
		size[e.Domain]++
	}
	position := make(map[jaywind.EndpointID]float64, len(endpoints))
	next := map[jaywind.Domain]int{}
	for _, e := range endpoints {
		position[e.ID] = (float64(next[e.Domain]) + 0.5) / float64(size[e.Domain])
		next[e.Domain]++
	}
	slices.SortStableFunc(endpoints, func(a, b rule.Endpoint) int {
		return cmp.Compare(position[a.ID], position[b.ID])
	})
}

func endpointHash(id jaywind.EndpointID) uint64 {
	return xxhash.Sum64String(string(id))
}
