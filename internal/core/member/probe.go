package member

import (
	"jaywind"
	"jaywind/internal/core/table"
)

// startProbe probes the next member of the round.
func startProbe(s *table.State) {
	f := &s.Fleet
	if f.Ping.Target != "" {
		return
	}
	m := nextTarget(s)
	if m == nil {
		return
	}
	f.Ping = table.Ping{Target: m.VM, Started: s.Now}
	tell(s, table.GossipCall{Target: m.VM, Purpose: table.PurposeProbe}, m.Fleet, message(s, m.VM))
}

// nextTarget takes members in random order, each once in a round, so that detection time is bounded.
func nextTarget(s *table.State) *table.Member {
	f := &s.Fleet
	for range 2 {
		for len(f.Round) > 0 {
			id := f.Round[0]
			f.Round = f.Round[1:]
			if m := f.Members[id]; m != nil && m.Liveness != jaywind.LivenessDead {
				return m
			}
		}
		f.Round = shuffled(s)
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
	if f.Ping.Target == "" {
		return
	}
	m := f.Members[f.Ping.Target]
	if m == nil {
		f.Ping = table.Ping{}
		return
	}
	age := s.Now.Sub(f.Ping.Started)
	if age >= DirectLimit && !f.Ping.Helped {
		askHelp(s, m)
	}
	if age >= ProbeLimit {
		f.Ping = table.Ping{}
		suspect(s, m)
	}
}

// askHelp lets other members probe the target over connections of their own.
func askHelp(s *table.State, target *table.Member) {
	f := &s.Fleet
	f.Ping.Helped = true
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
		tell(s, table.GossipCall{Target: target.VM, Purpose: table.PurposeHelp}, f.Members[id].Fleet, g)
	}
}

func suspect(s *table.State, m *table.Member) {
	if m.Liveness == jaywind.LivenessAlive {
		setLiveness(s, m, jaywind.LivenessSuspect)
		push(s)
	}
}

// takeAnswer handles the reply to a message of this router.
func takeAnswer(s *table.State, e table.GossipAnswered) {
	f := &s.Fleet
	c := f.Calls[e.Number]
	if c == nil {
		return
	}
	delete(f.Calls, e.Number)
	if c.Purpose == table.PurposeRelay {
		reply(s, c.Ask, jaywind.Gossip{}, e.Err == nil)
	}
	if e.Err != nil {
		return
	}
	before := len(f.Members)
	merge(s, e.Gossip, false)
	if e.Gossip.Whole && len(f.Members) == before && s.Now.Sub(f.Started) >= SettleLimit {
		f.Settled = true
	}
	reached := c.Purpose != table.PurposeHelp || e.Gossip.Reached
	if reached && c.Target == f.Ping.Target {
		f.Ping = table.Ping{}
	}
}

// takeAsk answers a message of another router, after the relay that it may ask for.
func takeAsk(s *table.State, e table.GossipAsked) {
	merge(s, e.Gossip, true)
	if at := e.Gossip.Relay; at != "" {
		target, g := relayTo(s, at)
		tell(s, table.GossipCall{Target: target, Purpose: table.PurposeRelay, Ask: e.Ask}, at, g)
		return
	}
	reply(s, e.Ask, e.Gossip, false)
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
