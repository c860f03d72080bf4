package member

import (
	"jaywind"
	"jaywind/internal/core/table"
)

// startProbe probes the next member of the round.
func startProbe(s *table.State) {
	f := &s.Fleet
	if f.DirectProbe.Target != "" {
		return
	}
	m := nextTarget(s)
	if m == nil {
		return
	}
	f.DirectProbe = table.DirectProbe{Target: m.VM, Started: s.Now}
	tell(s, table.GossipCall{Target: m.VM, GossipPurpose: table.PurposeProbe}, m.Fleet, message(s, m.VM))
}

// nextTarget takes members in random order, each once in a round, so that detection time is bounded.
func nextTarget(s *table.State) *table.Member {
	f := &s.Fleet
	for range 2 {
		for len(f.ProbeQueue) > 0 {
			id := f.ProbeQueue[0]
			f.ProbeQueue = f.ProbeQueue[1:]
			if m := f.Members[id]; m != nil && m.Liveness != jaywind.LivenessDead {
				return m
			}
		}
		f.ProbeQueue = shuffled(s)
	}
	return nil
}

// shuffled returns the ids of the live members in random order.
func shuffled(s *table.State) []jaywind.VM {
	var ids []jaywind.VM
	for _, id := range s.Fleet.Order {
		if s.Fleet.Members[id].Liveness != jaywind.LivenessDead {
			ids = append(ids, id)
		}
	}
	s.Random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids
}

// watchProbe asks others to help when the target is late, and suspects it in the end.
func watchProbe(s *table.State) {
	f := &s.Fleet
	if f.DirectProbe.Target == "" {
		return
	}
	m := f.Members[f.DirectProbe.Target]
	if m == nil {
		f.DirectProbe = table.DirectProbe{}
		return
	}
	age := s.Now.Sub(f.DirectProbe.Started)
	if age >= DirectLimit && !f.DirectProbe.IndirectSent {
		askHelp(s, m)
	}
	if age >= ProbeLimit {
		f.DirectProbe = table.DirectProbe{}
		suspect(s, m)
	}
}

// askHelp lets other members probe the target over connections of their own.
func askHelp(s *table.State, target *table.Member) {
	f := &s.Fleet
	f.DirectProbe.IndirectSent = true
	asked := 0
	for _, id := range shuffled(s) {
		if id == target.VM || f.Members[id].Liveness != jaywind.LivenessAlive {
			continue
		}
		if asked++; asked > helpers {
			return
		}
		g := message(s, id)
		g.Relay = target.Fleet
		g.Members = append(g.Members, target.Member)
		tell(s, table.GossipCall{Target: target.VM, GossipPurpose: table.PurposeIndirectProbe}, f.Members[id].Fleet, g)
	}
}

func suspect(s *table.State, m *table.Member) {
	if m.Liveness == jaywind.LivenessAlive {
		setLiveness(s, m, jaywind.LivenessSuspect)
		push(s)
	}
}

// takeAnswer handles the reply to a message of this router.
func takeAnswer(s *table.State, e table.GossipReplied) {
	f := &s.Fleet
	c := f.Calls[e.Number]
	if c == nil {
		return
	}
	delete(f.Calls, e.Number)
	if c.GossipPurpose == table.PurposeRelayedProbe {
		reply(s, c.ReplyTo, jaywind.Gossip{}, e.Err == nil)
	}
	if e.Err != nil {
		return
	}
	before := len(f.Members)
	merge(s, e.Gossip, false)
	if e.Gossip.FullTable && len(f.Members) == before && s.Now.Sub(f.Started) >= SettleLimit {
		f.Synced = true
	}
	reached := c.GossipPurpose != table.PurposeIndirectProbe || e.Gossip.Reached
	if reached && c.Target == f.DirectProbe.Target {
		f.DirectProbe = table.DirectProbe{}
	}
}

// takeAsk answers a message of another router, after the relay that it may ask for.
func takeAsk(s *table.State, e table.GossipReceived) {
	merge(s, e.Gossip, true)
	if at := e.Gossip.Relay; at != "" {
		target, g := relayTo(s, at)
		tell(s, table.GossipCall{Target: target, GossipPurpose: table.PurposeRelayedProbe, ReplyTo: e.ReplyTo}, at, g)
		return
	}
	reply(s, e.ReplyTo, e.Gossip, false)
}

// relayTo returns the member at an address with the message that probes it.
func relayTo(s *table.State, at jaywind.Address) (jaywind.VM, jaywind.Gossip) {
	id := memberAt(s, at)
	return id, message(s, id)
}

// dropCalls forgets calls whose answer can't come any more.
func dropCalls(s *table.State) {
	f := &s.Fleet
	for n, c := range f.Calls {
		if s.Now.Sub(c.Sent) > 4*CallLimit {
			delete(f.Calls, n)
		}
	}
}
