package member

import (
	"time"

	"jaywind"
	"jaywind/internal/core/table"
)

// merge takes up the rows of a message; inbound ones prove that this router can be reached.
func merge(s *table.State, g jaywind.Gossip, inbound bool) {
	cut := isDead(&s.Fleet, g.From.VM)
	if g.From.VM != "" {
		from := g.From
		from.Liveness = jaywind.LivenessAlive
		takeRow(s, from, g.FullTable, 0)
	}
	for i, row := range g.Members {
		if row.VM == s.Fleet.Self.VM {
			takeSelf(s, g.From, row, inbound)
			continue
		}
		if row.Liveness == jaywind.LivenessSuspect && (cut || wasDoubted(s)) {
			continue // a cut that has just healed may be the cause of it
		}
		takeRow(s, row, g.FullTable, ageAt(g, i))
	}
	for _, n := range g.Notes {
		takeNote(s, n)
	}
	if g.StoreAge >= 0 {
		noteStore(s, g.StoreAge)
	}
	fetchRules(s, g.From)
}

// ageAt returns how long a row of a whole table has been dead, 0 where that is not told.
func ageAt(g jaywind.Gossip, i int) time.Duration {
	if i >= len(g.Ages) {
		return 0
	}
	return max(g.Ages[i], 0)
}

func noteStore(s *table.State, age time.Duration) {
	if at := s.Now.Add(-age); at.After(s.Fleet.StoreReachedAt) {
		s.Fleet.StoreReachedAt = at
	}
}

// takeRow keeps the newer of a row and what is known; a death is decided here only.
func takeRow(s *table.State, row jaywind.Member, whole bool, age time.Duration) {
	f := &s.Fleet
	if row.VM == f.Self.VM || row.VM == "" {
		return
	}
	m := f.Members[row.VM]
	if m == nil {
		if row.Liveness != jaywind.LivenessDead || whole {
			addMember(s, row, whole, age)
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
	m.SendsLeft = spreadOf(f)
	f.Epoch++
}

// addMember adds a row; one out of a whole table is no news to others.
//
// The dead keep their age, or routers that join one after the other would hand them on for good.
func addMember(s *table.State, row jaywind.Member, whole bool, age time.Duration) {
	f := &s.Fleet
	m := &table.Member{Member: row, Since: s.Now.Add(-age)}
	if !whole {
		m.SendsLeft = spreadOf(f)
	}
	f.Add(m)
}

func newer(row, known jaywind.Member) bool {
	if row.Incarnation != known.Incarnation {
		return row.Incarnation > known.Incarnation
	}
	return row.Liveness > known.Liveness
}

// takeSelf refutes a suspicion if this router can be reached, and otherwise asks to be called.
//
// A router that was doubted may have been cut off, so for a while it trusts its own probes only.
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
	if !wasDoubted(s) {
		dropDoubts(s) // once, or a router that is doubted over and over would find nobody dead
	}
	f.RefutedAt = s.Now
	if inbound {
		f.Self.Incarnation = row.Incarnation + 1
		return
	}
	g := message(s, from.VM)
	g.Relay = f.Self.Fleet
	tell(s, table.GossipCall{Target: from.VM, GossipPurpose: table.PurposeBroadcast}, from.Fleet, g)
}

// isDead tells whether a member is believed dead.
func isDead(f *table.Fleet, id jaywind.VM) bool {
	m := f.Members[id]
	return m != nil && m.Liveness == jaywind.LivenessDead
}

// wasDoubted tells whether this router was told a short while ago, or in the same message, that it is suspect or dead.
func wasDoubted(s *table.State) bool { return s.Now.Sub(s.Fleet.RefutedAt) < BackLimit }

// dropDoubts starts the suspicions of a router that was itself doubted anew and spreads them no further: a cut explains both.
func dropDoubts(s *table.State) {
	for _, m := range s.Fleet.Members {
		if m.Liveness == jaywind.LivenessSuspect {
			m.SendsLeft = 0
			m.Since = s.Now
		}
	}
}

// watchMembers turns suspicions into deaths and forgets the long dead.
//
// The dead who did not leave by the book may live on the other side of a cut.
// Only a majority forgets them: otherwise each side of a long cut would come
// to count itself whole, and rules could be accepted without the other.
func watchMembers(s *table.State) {
	f := &s.Fleet
	live, all := QuorumCounts(f)
	majority := 2*live > all
	for id, m := range f.Members {
		age := s.Now.Sub(m.Since)
		switch m.Liveness {
		case jaywind.LivenessSuspect:
			if age >= SuspicionLimit {
				setLiveness(s, m, jaywind.LivenessDead)
			}
		case jaywind.LivenessDead:
			if age >= ForgetAfter && (m.Leaving || majority) {
				f.Remove(id)
			}
		}
	}
}

func setLiveness(s *table.State, m *table.Member, l jaywind.Liveness) {
	m.Liveness = l
	m.Since = s.Now
	m.SendsLeft = 0
	if l != jaywind.LivenessDead {
		m.SendsLeft = spreadOf(&s.Fleet)
	}
	s.Fleet.Epoch++
}
