package move

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"jaywind"
	"jaywind/internal/core/table"
)

// mayStart tells whether the budget of this router allows one more start before the first proof.
func budgetAllowsStart(s *table.State, m *table.Move) bool {
	return m.Step > 0 || m.Starts < budgetPart(s, m)
}

// part returns this router's part of the budget: an even one, less what it has given to others,
// and what they have given to it. The parts of all members add up to about the whole.
func budgetPart(s *table.State, m *table.Move) int {
	members := max(s.Membership.Members, 1)
	rest := uint64(m.Rule.Budget % members)
	own := m.Rule.Budget / members
	if xxhash.Sum64String(string(s.Self)+moveKey(m.ID))%uint64(members) < rest {
		own++
	}
	for _, n := range m.Given {
		own -= n
	}
	for _, r := range m.Evidence.Heard {
		own += r.Given[s.Self]
	}
	return own
}

// give passes half of what this router does not use of its part to those that have run short since
// they were last heard. Callers keep to a few routers, so that even parts alone would prove nothing.
// What is given travels as running totals in the reports: a report that is heard twice counts once,
// and what a lost one gave is spent by nobody.
func transferBudget(s *table.State, m *table.Move) {
	if !mesh(s) || m.Step > 0 || !m.Known {
		return
	}
	ranShort := m.Short > m.ShortAt
	m.ShortAt = m.Short
	receivers := routersShortOfBudget(m)
	spare := budgetPart(s, m) - m.Starts
	if ranShort || spare <= 0 || len(receivers) == 0 {
		return
	}
	for i := range (spare + 1) / 2 {
		m.Given[receivers[i%len(receivers)]]++
	}
}

// runShort returns the routers whose budget has kept requests back since this was last asked.
func routersShortOfBudget(m *table.Move) []jaywind.VM {
	var out []jaywind.VM
	for _, vm := range slices.Sorted(maps.Keys(m.Evidence.Heard)) {
		now := m.Evidence.Heard[vm].Short
		if now > m.Needs[vm] {
			out = append(out, vm)
		}
		m.Needs[vm] = now
	}
	return out
}
