package move

import (
	"cmp"
	"slices"
	"time"

	"jaywind"
	"jaywind/internal/core/table"
)

// unloadDelay is how long the version given up stays loaded after the end of a move, until all routers know of the end.
const unloadDelay = 30 * time.Second

const loadTimeShare = 0.25 // of a move's time, within which the new version should be loaded

// emitDesiredStates emits the desired state of each endpoint of the models that have moves.
func emitDesiredStates(s *table.State) {
	if len(s.Moves) == 0 || s.Now.Sub(s.DesiredSetAt) < windowLength {
		return
	}
	s.DesiredSetAt = s.Now
	var states []table.DesiredState
	for id, e := range s.Rules.Endpoints {
		m := s.Moves[e.Model]
		if m == nil || e.Version != m.ID.From && e.Version != m.ID.To {
			continue
		}
		loaded, decided := shouldBeLoaded(s, m, e.Version)
		if !decided {
			continue
		}
		states = append(states, table.DesiredState{
			Move: m.ID, Endpoint: id, Address: e.URL, Fenced: e.Fenced, Version: e.Version, Loaded: loaded, LoadBy: loadDeadline(m, e.Version),
		})
	}
	slices.SortFunc(states, func(a, b table.DesiredState) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	s.Emit(table.SetDesiredStates{States: states})
}

// loadDeadline returns the time by which the new version should be loaded, or zero if there is none.
func loadDeadline(m *table.Move, v jaywind.Version) time.Time {
	if v != m.ID.To || m.State != table.MoveRunning {
		return time.Time{}
	}
	return m.Began.Add(time.Duration(float64(m.Rule.Deadline.Sub(m.Began)) * loadTimeShare))
}

// shouldBeLoaded reports whether a version should be loaded, and whether that is decided yet.
func shouldBeLoaded(s *table.State, m *table.Move, v jaywind.Version) (loaded, decided bool) {
	if v == s.Rules.Models[m.ID.Model].Version && m.State != table.MoveDone {
		return true, true
	}
	if m.State == table.MoveRunning || v == m.ID.To && m.State == table.MoveDone || v == m.ID.From && m.State == table.MoveRolledBack {
		return true, true
	}
	return false, m.Recorded && s.Now.Sub(m.Ended) >= unloadDelay
}
