package member

import (
	"jaywind"
	"jaywind/internal/core/table"
)

// isCutOff tells whether rules may have been accepted that this router has no way to learn of.
//
// Rules are accepted by more than half of the known members. A side of a
// partition with at least half of them therefore cannot miss accepted rules,
// and continues through a store outage of any length. A smaller side continues
// only while some member that it knows of reaches the store.
func isCutOff(s *table.State) bool {
	f := &s.Fleet
	if len(f.Members) == 0 || s.Now.Sub(f.StoreReachedAt) < StoreStaleAfter {
		return false
	}
	live, all := QuorumCounts(f)
	return 2*live < all
}

// QuorumCounts returns how many of the known members are live and how many there are, this router included in both.
// Dead members that announced their leaving are not counted.
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

// fetchRules fetches the rules of a member that has newer ones, one fetch at a time.
func fetchRules(s *table.State, from jaywind.Member) {
	f := &s.Fleet
	if from.Rules <= s.RulesVersion || from.Fleet == "" {
		return
	}
	if !f.FetchStartedAt.IsZero() && s.Now.Sub(f.FetchStartedAt) < RulesFetchTimeout {
		return
	}
	f.FetchStartedAt = s.Now
	s.Emit(table.FetchRules{Address: from.Fleet, Version: from.Rules})
}
