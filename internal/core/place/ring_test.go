package place

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/internal/core/rule"
	"jaywind/internal/core/table"
)

// newState has endpoints of one model spread over failure domains.
func newState(endpoints, domains int) *table.State {
	s := table.New(1)
	s.Rules = rule.NewSet()
	s.RulesVersion = 1
	s.Rules.Models["heat"] = rule.Model{Name: "heat", Version: "v1"}
	for i := range endpoints {
		id := jaywind.EndpointID(fmt.Sprint("e", i))
		s.Rules.Endpoints[id] = rule.Endpoint{ID: id, Kind: rule.KindEngine, Model: "heat", Version: "v1", Domain: jaywind.Domain(fmt.Sprint(i % domains))}
		s.Endpoints[id] = &table.Endpoint{ID: id}
	}
	return s
}

func windowAt(s *table.State, rank, members int) []jaywind.EndpointID {
	s.Membership = table.Membership{Rank: rank, Members: members}
	g := RingOf(s, "heat", "v1")
	var out []jaywind.EndpointID
	for i := range g.Size {
		out = append(out, g.At(i))
	}
	return out
}

func TestWindows(t *testing.T) {
	tests := map[string]struct{ endpoints, domains, members int }{
		"target size":                 {endpoints: 134, domains: 4, members: 370},
		"all replicas of one model":   {endpoints: 940, domains: 4, members: 370},
		"harmattan":                   {endpoints: 35, domains: 4, members: 9},
		"disipa":                      {endpoints: 25, domains: 3, members: 8},
		"one router":                  {endpoints: 60, domains: 3, members: 1},
		"fewer endpoints than window": {endpoints: 3, domains: 3, members: 8},
		"uneven domains":              {endpoints: 40, domains: 39, members: 20},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newState(c.endpoints, c.domains)
			uses := map[jaywind.EndpointID]int{}
			for m := range c.members {
				domains := map[jaywind.Domain]bool{}
				for _, id := range windowAt(s, m, c.members) {
					uses[id]++
					domains[s.Rules.Endpoints[id].Domain] = true
				}
				is.True(len(domains) >= minDomains)
			}
			least, most := c.members, 0
			for id := range s.Rules.Endpoints {
				least, most = min(least, uses[id]), max(most, uses[id])
			}
			is.True(least >= min(minCoverage, c.members)) // each endpoint is covered
			is.True(most-least <= 2)                      // and about evenly
		})
	}
}

func TestWindowsMoveLittleWhenARouterLeaves(t *testing.T) {
	is := is.New(t)
	s := newState(134, 4)
	moved := 0
	for rank := range 369 {
		before := windowAt(s, rank, 370)
		after := windowAt(s, rank, 369)
		seen := map[jaywind.EndpointID]bool{}
		for _, id := range before {
			seen[id] = true
		}
		for _, id := range after {
			if !seen[id] {
				moved++
			}
		}
	}
	is.True(moved <= 369) // at most one endpoint of each window
}
