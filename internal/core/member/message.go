package member

import (
	"cmp"
	"slices"
	"time"

	"jaywind"
	"jaywind/internal/core/table"
)

// message returns what is told to a member: this router's row, the other's own row, news, and a random sample.
func message(s *table.State, to jaywind.VM) jaywind.Gossip {
	f := &s.Fleet
	g := jaywind.Gossip{From: f.Self, StoreAge: -1}
	if !f.StoreReachedAt.IsZero() {
		g.StoreAge = s.Now.Sub(f.StoreReachedAt)
	}
	if m := f.Members[to]; m != nil && m.Liveness != jaywind.LivenessAlive {
		g.Members = append(g.Members, m.Member)
	}
	ids := f.Order
	g.Members = append(g.Members, newsRows(f, ids, to)...)
	for range min(sampleLimit, len(ids)) {
		id := ids[s.Random.IntN(len(ids))]
		g.Members = append(g.Members, f.Members[id].Member)
	}
	g.Notes = newsNotes(f)
	return g
}

// newsRows returns the rows that were spread least.
func newsRows(f *table.Fleet, ids []jaywind.VM, to jaywind.VM) []jaywind.Member {
	var hot []*table.Member
	for _, id := range ids {
		if m := f.Members[id]; m.SendsLeft > 0 && id != to {
			hot = append(hot, m)
		}
	}
	slices.SortStableFunc(hot, func(a, b *table.Member) int { return cmp.Compare(b.SendsLeft, a.SendsLeft) })
	var rows []jaywind.Member
	for _, m := range hot[:min(rowLimit, len(hot))] {
		m.SendsLeft--
		rows = append(rows, m.Member)
	}
	return rows
}

// reply answers a message; a stranger that joins gets the whole table, a member believed dead the kept notes.
func reply(s *table.State, ask uint64, to jaywind.Gossip, reached bool) {
	f := &s.Fleet
	g := message(s, to.From.VM)
	g.Reached = reached
	if m := f.Members[to.From.VM]; m != nil && m.Liveness == jaywind.LivenessDead {
		g.Notes = keptNotes(f)
	}
	if to.WantFullTable && !s.Now.Before(f.NextFullTable) {
		f.NextFullTable = s.Now.Add(wholeInterval)
		g.FullTable = true
		g.Notes = keptNotes(f)
		g.Members, g.Ages = wholeTable(s)
	}
	s.Emit(table.ReplyGossip{ReplyTo: ask, Gossip: g})
}

// wholeTable returns all rows, and how long each has been dead.
func wholeTable(s *table.State) (rows []jaywind.Member, ages []time.Duration) {
	for _, id := range s.Fleet.Order {
		m := s.Fleet.Members[id]
		var age time.Duration
		if m.Liveness == jaywind.LivenessDead {
			age = s.Now.Sub(m.Since)
		}
		rows = append(rows, m.Member)
		ages = append(ages, age)
	}
	return rows, ages
}

// tell sends a message and remembers what its answer is for.
func tell(s *table.State, c table.GossipCall, at jaywind.Address, g jaywind.Gossip) {
	f := &s.Fleet
	f.LastCall++
	c.Sent = s.Now
	f.Calls[f.LastCall] = &c
	limit := CallLimit
	if g.Relay != "" {
		limit += CallLimit
	}
	s.Emit(table.SendGossip{Number: f.LastCall, Address: at, Gossip: g, Limit: limit})
}

// push tells a few random members of news at once.
func push(s *table.State) {
	f := &s.Fleet
	if f.Self.Fleet == "" {
		return
	}
	ids := shuffled(s)
	for _, id := range ids[:min(pushes, len(ids))] {
		tell(s, table.GossipCall{Target: id, GossipPurpose: table.PurposeBroadcast}, f.Members[id].Fleet, message(s, id))
	}
}
