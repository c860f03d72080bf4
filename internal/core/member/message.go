package member

import (
	"cmp"
	"slices"
	"time"

	"jaywind"
	"jaywind/internal/core/table"
)

// newMessage returns a message to a member: this router's row, the receiver's own row if it is not believed alive,
// updated rows, a random sample of rows, and notes.
func newMessage(s *table.State, to jaywind.VM) jaywind.Gossip {
	f := &s.Fleet
	g := jaywind.Gossip{From: f.Self, StoreAge: -1}
	if !f.StoreReachedAt.IsZero() {
		g.StoreAge = s.Now.Sub(f.StoreReachedAt)
	}
	if m := f.Members[to]; m != nil && m.Liveness != jaywind.LivenessAlive {
		g.Members = append(g.Members, m.Member)
	}
	ids := f.Order
	g.Members = append(g.Members, updatedRows(f, ids, to)...)
	for range min(randomRows, len(ids)) {
		id := ids[s.Random.IntN(len(ids))]
		g.Members = append(g.Members, f.Members[id].Member)
	}
	g.Notes = pendingNotes(f)
	return g
}

// updatedRows returns the updated rows that have been sent the fewest times, and counts them as sent.
func updatedRows(f *table.Fleet, ids []jaywind.VM, to jaywind.VM) []jaywind.Member {
	var pending []*table.Member
	for _, id := range ids {
		if m := f.Members[id]; m.SendsLeft > 0 && id != to {
			pending = append(pending, m)
		}
	}
	slices.SortStableFunc(pending, func(a, b *table.Member) int { return cmp.Compare(b.SendsLeft, a.SendsLeft) })
	var rows []jaywind.Member
	for _, m := range pending[:min(maxUpdatedRows, len(pending))] {
		m.SendsLeft--
		rows = append(rows, m.Member)
	}
	return rows
}

// reply answers a message. A joining router gets the full table and all notes; a member believed dead gets all notes.
func reply(s *table.State, replyTo uint64, to jaywind.Gossip, reached bool) {
	f := &s.Fleet
	g := newMessage(s, to.From.VM)
	g.Reached = reached
	if m := f.Members[to.From.VM]; m != nil && m.Liveness == jaywind.LivenessDead {
		g.Notes = allNotes(f)
	}
	if to.WantFullTable && !s.Now.Before(f.NextFullTable) {
		f.NextFullTable = s.Now.Add(fullTableInterval)
		g.FullTable = true
		g.Notes = allNotes(f)
		g.Members, g.Ages = fullTable(s)
	}
	s.Emit(table.ReplyGossip{ReplyTo: replyTo, Gossip: g})
}

// fullTable returns all rows, and how long each member has been dead.
func fullTable(s *table.State) (rows []jaywind.Member, ages []time.Duration) {
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

// send sends a message and records the call, so that its reply can be matched. A relayed call gets twice the time.
func send(s *table.State, c table.GossipCall, at jaywind.Address, g jaywind.Gossip) {
	f := &s.Fleet
	f.LastCall++
	c.Sent = s.Now
	f.Calls[f.LastCall] = &c
	limit := CallTimeout
	if g.Relay != "" {
		limit += CallTimeout
	}
	s.Emit(table.SendGossip{Number: f.LastCall, Address: at, Gossip: g, Limit: limit})
}

// push sends pending updates to a few random members at once.
func push(s *table.State) {
	f := &s.Fleet
	if f.Self.Fleet == "" {
		return
	}
	ids := shuffledMembers(s)
	for _, id := range ids[:min(pushFanout, len(ids))] {
		send(s, table.GossipCall{Target: id, GossipPurpose: table.PurposeBroadcast}, f.Members[id].Fleet, newMessage(s, id))
	}
}
