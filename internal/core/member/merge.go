package member

import (
	"time"

	"jaywind"
	"jaywind/internal/core/table"
)

// merge applies a message; an inbound one proves that this router can be reached.
func merge(s *table.State, g jaywind.Gossip, inbound bool) {
	senderWasDead := isDead(&s.Fleet, g.From.VM)
	if g.From.VM != "" {
		from := g.From
		from.Liveness = jaywind.LivenessAlive
		mergeRow(s, from, g.FullTable, 0)
	}
	for i, row := range g.Members {
		if row.VM == s.Fleet.Self.VM {
			mergeSelf(s, g.From, row, inbound)
			continue
		}
		if row.Liveness == jaywind.LivenessSuspect && (senderWasDead || recentlySuspected(s)) {
			continue // the suspicion may stem from a partition that has just healed
		}
		mergeRow(s, row, g.FullTable, deadAgeAt(g, i))
	}
	for _, n := range g.Notes {
		receiveNote(s, n)
	}
	if g.StoreAge >= 0 {
		updateStoreTime(s, g.StoreAge)
	}
	fetchRules(s, g.From)
}

// deadAgeAt returns how long the i-th member of a full table has been dead, or 0 if the message does not say.
func deadAgeAt(g jaywind.Gossip, i int) time.Duration {
	if i >= len(g.Ages) {
		return 0
	}
	return max(g.Ages[i], 0)
}

func updateStoreTime(s *table.State, age time.Duration) {
	if at := s.Now.Add(-age); at.After(s.Fleet.StoreReachedAt) {
		s.Fleet.StoreReachedAt = at
	}
}

// mergeRow replaces the known row of a member if the given one supersedes it. Deaths of known members are not taken from
// others: each router declares them itself after the suspicion timeout.
func mergeRow(s *table.State, row jaywind.Member, fromFullTable bool, age time.Duration) {
	f := &s.Fleet
	if row.VM == f.Self.VM || row.VM == "" {
		return
	}
	m := f.Members[row.VM]
	if m == nil {
		if row.Liveness != jaywind.LivenessDead || fromFullTable {
			addMember(s, row, fromFullTable, age)
		}
		return
	}
	if row.Liveness == jaywind.LivenessDead || !supersedes(row, m.Member) {
		return
	}
	if row.Liveness != m.Liveness {
		m.Since = s.Now
	}
	m.Member = row
	m.SendsLeft = retransmitsFor(f)
	f.Epoch++
}

// addMember adds a member; one from a full table is not sent on as an update.
//
// Dead members keep the age they were received with. Otherwise routers that
// join one after another would pass them on forever.
func addMember(s *table.State, row jaywind.Member, fromFullTable bool, age time.Duration) {
	f := &s.Fleet
	m := &table.Member{Member: row, Since: s.Now.Add(-age)}
	if !fromFullTable {
		m.SendsLeft = retransmitsFor(f)
	}
	f.Add(m)
}

func supersedes(row, known jaywind.Member) bool {
	if row.Incarnation != known.Incarnation {
		return row.Incarnation > known.Incarnation
	}
	return row.Liveness > known.Liveness
}

// mergeSelf refutes a suspicion of this router if the message reached it, and otherwise asks the sender to call back.
//
// A router that was suspected may have been partitioned off, so for SuspectedHold it relies on its own probes only.
func mergeSelf(s *table.State, from, row jaywind.Member, inbound bool) {
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
	if !recentlySuspected(s) {
		resetSuspicions(s) // only for the first of a series, or a router that is suspected repeatedly would never declare a member dead
	}
	f.RefutedAt = s.Now
	if inbound {
		f.Self.Incarnation = row.Incarnation + 1
		return
	}
	g := newMessage(s, from.VM)
	g.Relay = f.Self.Fleet
	send(s, table.GossipCall{Target: from.VM, GossipPurpose: table.PurposeBroadcast}, from.Fleet, g)
}

// isDead tells whether a member is believed dead.
func isDead(f *table.Fleet, id jaywind.VM) bool {
	m := f.Members[id]
	return m != nil && m.Liveness == jaywind.LivenessDead
}

// recentlySuspected tells whether this router learned within SuspectedHold, or earlier in the same message, that it is suspected or dead.
func recentlySuspected(s *table.State) bool { return s.Now.Sub(s.Fleet.RefutedAt) < SuspectedHold }

// resetSuspicions restarts the timeouts of this router's suspicions and stops sending them. It is used when this router
// was itself suspected, since a partition explains both.
func resetSuspicions(s *table.State) {
	for _, m := range s.Fleet.Members {
		if m.Liveness == jaywind.LivenessSuspect {
			m.SendsLeft = 0
			m.Since = s.Now
		}
	}
}

// expireMembers declares suspects dead after SuspicionTimeout and removes dead members after DeadRetention.
//
// A dead member that did not announce its leaving may be alive on the other
// side of a partition, and is removed only by a majority. Otherwise each side of
// a long partition would come to count itself as the whole fleet, and rules
// could be accepted without the other side.
func expireMembers(s *table.State) {
	f := &s.Fleet
	live, all := QuorumCounts(f)
	majority := 2*live > all
	for id, m := range f.Members {
		age := s.Now.Sub(m.Since)
		switch m.Liveness {
		case jaywind.LivenessSuspect:
			if age >= SuspicionTimeout {
				setLiveness(s, m, jaywind.LivenessDead)
			}
		case jaywind.LivenessDead:
			if age >= DeadRetention && (m.Leaving || majority) {
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
		m.SendsLeft = retransmitsFor(&s.Fleet)
	}
	s.Fleet.Epoch++
}
