package member

import (
	"jaywind"
	"jaywind/internal/core/table"
)

// isCut tells whether rules may have been accepted that this router cannot hear of.
//
// Acceptance needs more than half of the known members. A side with half of
// them or more can therefore not miss an accepted set, and goes on through a
// store outage of any length; a smaller side goes on only while some member
// that it hears of reaches the store.
func isCut(s *table.State) bool {
	f := &s.Fleet
	if len(f.Members) == 0 || s.Now.Sub(f.StoreReachedAt) < StoreStaleAfter {
		return false
	}
	live, all := QuorumCounts(f)
	return 2*live < all
}

// QuorumCounts returns how many of the known members are live, this router with them, and how many there are.
func QuorumCounts(f *table.Fleet) (live, all int) {
	live, all = 1, 1
	for _, m := range f.Members {
		if m.Liveness != jaywind.LivenessDead {
			live++
			all++
		} else if !m.Leaving {
			all++
		}
	}
	return live, all
}

// fetchRules asks a member that has newer rules for them, one fetch at a time.
func fetchRules(s *table.State, from jaywind.Member) {
	f := &s.Fleet
	if from.Rules <= s.RulesVersion || from.Fleet == "" {
		return
	}
	if !f.FetchStartedAt.IsZero() && s.Now.Sub(f.FetchStartedAt) < FetchLimit {
		return
	}
	f.FetchStartedAt = s.Now
	s.Emit(table.FetchRules{Address: from.Fleet, Version: from.Rules})
}
