package member

import (
	"time"

	"jaywind"
	"jaywind/internal/core/table"
)

// merge takes up the rows of a message; inbound ones prove that this router can be reached.
func merge(s *table.State, g jaywind.Gossip, inbound bool) {
	if g.From.VM != "" {
		from := g.From
		from.Liveness = jaywind.LivenessAlive
		takeRow(s, from, g.Whole)
	}
	for _, row := range g.Members {
		if row.VM == s.Fleet.Self.VM {
			takeSelf(s, g.From, row, inbound)
			continue
		}
		takeRow(s, row, g.Whole)
	}
	for _, n := range g.Notes {
		takeNote(s, n)
	}
	if g.StoreAge >= 0 {
		noteStore(s, g.StoreAge)
	}
	fetchRules(s, g.From)
}

func noteStore(s *table.State, age time.Duration) {
	if at := s.Now.Add(-age); at.After(s.Fleet.StoreAt) {
		s.Fleet.StoreAt = at
	}
}

// takeRow keeps the newer of a row and what is known; a death is decided here only.
func takeRow(s *table.State, row jaywind.Member, whole bool) {
	f := &s.Fleet
	if row.VM == f.Self.VM || row.VM == "" {
		return
	}
	m := f.Members[row.VM]
	if m == nil {
		if row.Liveness != jaywind.LivenessDead || whole {
			addMember(s, row, whole)
		}
		return
	}
	if row.Liveness == jaywind.LivenessDead || !newer(row, m.Member) {
		return
	}
	if row.Liveness != m.Liveness {
		m.Since = s.Now
	}
	m.Member = row
	m.Spread = spreadOf(f)
	f.Epoch++
}

// addMember adds a row; one out of a whole table is no news to others.
func addMember(s *table.State, row jaywind.Member, whole bool) {
	f := &s.Fleet
	m := &table.Member{Member: row, Since: s.Now}
	if !whole {
		m.Spread = spreadOf(f)
	}
	f.Put(m)
}

func newer(row, known jaywind.Member) bool {
	if row.Incarnation != known.Incarnation {
		return row.Incarnation > known.Incarnation
	}
	return row.Liveness > known.Liveness
}

// takeSelf refutes a suspicion if this router can be reached, and otherwise asks to be called.
func takeSelf(s *table.State, from, row jaywind.Member, inbound bool) {
	f := &s.Fleet
	if row.Incarnation < f.Self.Incarnation {
		return
	}
	if row.Liveness == jaywind.LivenessAlive {
		if row.Incarnation > f.Self.Incarnation {
			f.Self.Incarnation = row.Incarnation + 1
		}
		return
	}
	if inbound {
		f.Self.Incarnation = row.Incarnation + 1
		return
	}
	g := message(s, from.VM)
	g.Relay = f.Self.Fleet
	tell(s, table.GossipCall{Target: from.VM, Purpose: table.PurposePush}, from.Fleet, g)
}

// watchMembers turns suspicions into deaths and forgets the long dead.
func watchMembers(s *table.State) {
	f := &s.Fleet
	for id, m := range f.Members {
		age := s.Now.Sub(m.Since)
		switch m.Liveness {
		case jaywind.LivenessSuspect:
			if age >= SuspicionLimit {
				setLiveness(s, m, jaywind.LivenessDead)
			}
		case jaywind.LivenessDead:
			if age >= ForgetAfter {
				f.Drop(id)
			}
		}
	}
}

func setLiveness(s *table.State, m *table.Member, l jaywind.Liveness) {
	m.Liveness = l
	m.Since = s.Now
	m.Spread = spreadOf(&s.Fleet)
	s.Fleet.Epoch++
}
