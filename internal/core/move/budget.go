package move

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"jaywind"
	"jaywind/internal/core/table"
)

// budgetAllowsStart reports whether another request may start on the new version. The budget applies only in the first
// step.
func budgetAllowsStart(s *table.State, m *table.Move) bool {
	return m.Step > 0 || m.Starts < budgetPart(s, m)
}

// budgetPart returns this router's part of the budget: an even split, less what it has given to other routers, plus
// what they have given to it. The parts of all members add up to about the budget, as its remainder is assigned by hash.
func budgetPart(s *table.State, m *table.Move) int {
	members := max(s.Membership.Members, 1)
	rest := uint64(m.Rule.Budget % members)
	own := m.Rule.Budget / members
	if xxhash.Sum64String(string(s.Self)+moveKey(m.ID))%uint64(members) < rest {
		own++
	}
	for _, n := range m.BudgetGiven {
		own -= n
	}
	for _, r := range m.Evidence.PeerReports {
		own += r.BudgetGiven[s.Self]
	}
	return own
}

// transferBudget gives half of this router's unused budget to routers that have run out since their last report.
// Callers stay with a few routers, which with an even split alone would run out before the first step is passed.
// Reports carry what was given as running totals, so that a repeated report counts once, and what a lost report gave is
// spent by nobody.
func transferBudget(s *table.State, m *table.Move) {
	if !mesh(s) || m.Step > 0 || !m.Confirmed {
		return
	}
	ranShort := m.Withheld > m.WithheldReported
	m.WithheldReported = m.Withheld
	receivers := routersShortOfBudget(m)
	spare := budgetPart(s, m) - m.Starts
	if ranShort || spare <= 0 || len(receivers) == 0 {
		return
	}
	for i := range (spare + 1) / 2 {
		m.BudgetGiven[receivers[i%len(receivers)]]++
	}
}

// routersShortOfBudget returns the routers whose budget has held back requests since the last call.
func routersShortOfBudget(m *table.Move) []jaywind.VM {
	var out []jaywind.VM
	for _, vm := range slices.Sorted(maps.Keys(m.Evidence.PeerReports)) {
		now := m.Evidence.PeerReports[vm].Withheld
		if now > m.PeerWithheld[vm] {
			out = append(out, vm)
		}
		m.PeerWithheld[vm] = now
	}
	return out
}
