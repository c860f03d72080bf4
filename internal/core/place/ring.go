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
	windowSize  = 16 // endpoints of a ring that a router uses
	minCoverage = 3  // routers that use each endpoint, where there are as many
	minDomains  = 2  // failure domains in a window
)

// RingOf returns the ring of a model's version, or nil where no endpoint serves it.
func RingOf(s *table.State, m jaywind.Model, v jaywind.Version) *table.Ring {
	refreshRings(s)
	return s.Rings.ByKey[table.RingKey{Model: m, Version: v}]
}

// refreshRings makes the rings anew when the rules or the members have changed.
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
	covering := (minCoverage*n + members - 1) / members
	g := &table.Ring{Size: min(n, max(windowSize, covering)), Start: membership.Rank * n / members % n}
	for _, e := range endpoints {
		g.IDs = append(g.IDs, e.ID)
	}
	for g.Size < n && domainsIn(g, endpoints) < minDomains {
		g.Size++
	}
	return g
}

func domainsIn(g *table.Ring, endpoints []rule.Endpoint) int {
	seen := map[jaywind.Domain]bool{}
	for i := range g.Size {
		seen[endpoints[(g.Start+i)%len(endpoints)].Domain] = true
	}
	return len(seen)
}

// interleave orders endpoints so that each failure domain is spread evenly over the ring.
func interleave(endpoints []rule.Endpoint) {
	slices.SortFunc(endpoints, func(a, b rule.Endpoint) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(scoreOf(a.ID), scoreOf(b.ID)), cmp.Compare(a.ID, b.ID))
	})
	size := map[jaywind.Domain]int{}
	for _, e := range endpoints {
		size[e.Domain]++
	}
	place := make(map[jaywind.EndpointID]float64, len(endpoints))
	next := map[jaywind.Domain]int{}
	for _, e := range endpoints {
		place[e.ID] = (float64(next[e.Domain]) + 0.5) / float64(size[e.Domain])
		next[e.Domain]++
	}
	slices.SortStableFunc(endpoints, func(a, b rule.Endpoint) int {
		return cmp.Compare(place[a.ID], place[b.ID])
	})
}

func scoreOf(id jaywind.EndpointID) uint64 {
	return xxhash.Sum64String(string(id))
}
