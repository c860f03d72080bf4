package move

import (
	"cmp"
	"slices"
	"time"

	"jaywind"
	"jaywind/internal/core/table"
)

// unloadAfter is how long the old version stays loaded after the end of a move, so that all routers know of it.
const unloadDelay = 30 * time.Second

const loadTimeShare = 0.25 // of a move's time, within which the new version should be loaded

// steer emits the wanted states of all endpoints of moving models.
func emitWantedStates(s *table.State) {
	if len(s.Moves) == 0 || s.Now.Sub(s.Steered) < windowLength {
		return
	}
	s.Steered = s.Now
	var wants []table.Want
	for id, e := range s.Rules.Endpoints {
		m := s.Moves[e.Model]
		if m == nil || e.Version != m.ID.From && e.Version != m.ID.To {
			continue
		}
		loaded, settled := shouldBeLoaded(s, m, e.Version)
		if !settled {
			continue
		}
		wants = append(wants, table.Want{
			Move: m.ID, Endpoint: id, At: e.URL, Fenced: e.Fenced, Version: e.Version, Loaded: loaded, Due: loadDeadline(m, e.Version),
		})
	}
	slices.SortFunc(wants, func(a, b table.Want) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	s.Emit(table.Steer{Wants: wants})
}

// due returns the time by which the new version should be loaded.
func loadDeadline(m *table.Move, v jaywind.Version) time.Time {
	if v != m.ID.To || m.State != table.MoveGoing {
		return time.Time{}
	}
	return m.Began.Add(time.Duration(float64(m.Rule.By.Sub(m.Began)) * loadTimeShare))
}

// wanted tells whether a version is to be loaded, and whether that is settled yet.
func shouldBeLoaded(s *table.State, m *table.Move, v jaywind.Version) (loaded, final bool) {
	if v == s.Rules.Models[m.ID.Model].Version && m.State != table.MoveDone {
		return true, true
	}
	if m.State == table.MoveGoing || v == m.ID.To && m.State == table.MoveDone || v == m.ID.From && m.State == table.MoveBack {
		return true, true
	}
	return false, m.Recorded && s.Now.Sub(m.Ended) >= unloadDelay
}
