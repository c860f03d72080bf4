package place

import (
	"slices"

	"jaywind"
	"jaywind/internal/core/move"
	"jaywind/internal/core/rule"
	"jaywind/internal/core/table"
)

// moving tells whether a version is the new one of a move that is going on.
func moving(s *table.State, r *table.Request, v jaywind.Version) bool {
	m := s.Moves[r.Model]
	return m != nil && m.State == table.MoveRunning && v == m.ID.To
}

// narrow leaves the replicas that a move uses at its present share.
func narrow(s *table.State, r *table.Request, usable []*table.Endpoint) []*table.Endpoint {
	rules := make([]rule.Endpoint, 0, len(usable))
	for _, e := range usable {
		rules = append(rules, s.Rules.Endpoints[e.ID])
	}
	kept := move.LimitReplicas(s, r, rules)
	return slices.DeleteFunc(usable, func(e *table.Endpoint) bool {
		return !slices.ContainsFunc(kept, func(k rule.Endpoint) bool { return k.ID == e.ID })
	})
}
