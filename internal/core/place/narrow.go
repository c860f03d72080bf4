package place

import (
	"slices"

	"jaywind"
	"jaywind/internal/core/move"
	"jaywind/internal/core/rule"
	"jaywind/internal/core/table"
)

// isMoveTarget tells whether a version is the new one of a running move, the gradual shift of a model's requests to it.
func isMoveTarget(s *table.State, r *table.Request, v jaywind.Version) bool {
	m := s.Moves[r.Model]
	return m != nil && m.State == table.MoveRunning && v == m.ID.To
}

// limitToMove returns the endpoints that a move uses at its current share of requests.
func limitToMove(s *table.State, r *table.Request, usable []*table.Endpoint) []*table.Endpoint {
	rules := make([]rule.Endpoint, 0, len(usable))
	for _, e := range usable {
		rules = append(rules, s.Rules.Endpoints[e.ID])
	}
	kept := move.LimitReplicas(s, r, rules)
	return slices.DeleteFunc(usable, func(e *table.Endpoint) bool {
		return !slices.ContainsFunc(kept, func(k rule.Endpoint) bool { return k.ID == e.ID })
	})
}
