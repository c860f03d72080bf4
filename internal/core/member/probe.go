package member

import (
	"jaywind"
	"jaywind/internal/core/table"
)

// startProbe probes the next member of the round, unless a probe is still running.
func startProbe(s *table.State) {
	f := &s.Fleet
	if f.Ping.Target != "" {
		return
	}
	m := nextProbeTarget(s)
	if m == nil {
		return
	}
	f.Ping = table.Ping{Target: m.VM, Started: s.Now}
	send(s, table.GossipCall{Target: m.VM, Purpose: table.PurposeProbe}, m.Fleet, newMessage(s, m.VM))
}

// nextProbeTarget takes members in random order, each once per round, so that detection time is bounded.
func nextProbeTarget(s *table.State) *table.Member {
	f := &s.Fleet
	for range 2 {
		for len(f.Round) > 0 {
			id := f.Round[0]
			f.Round = f.Round[1:]
			if m := f.Members[id]; m != nil && m.Liveness != jaywind.LivenessDead {
				return m
			}
		}
		f.Round = shuffledMembers(s)
	}
	return nil
}

// shuffledMembers returns the ids of the members that are not dead, in random order.
func shuffledMembers(s *table.State) []jaywind.VM {
	var ids []jaywind.VM
	for _, id := range s.Fleet.Order {
		if s.Fleet.Members[id].Liveness != jaywind.LivenessDead {
			ids = append(ids, id)
		}
	}
	s.Random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids
}

// checkProbe starts indirect probes when the direct one is late, and suspects the target when all of them time out.
func checkProbe(s *table.State) {
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
	if age >= DirectProbeTimeout && !f.Ping.Helped {
		probeIndirectly(s, m)
	}
	if age >= ProbeTimeout {
		f.Ping = table.Ping{}
		suspect(s, m)
	}
}

// probeIndirectly asks a few live members to probe the target over their own connections.
func probeIndirectly(s *table.State, target *table.Member) {
	f := &s.Fleet
	f.Ping.Helped = true
	asked := 0
	for _, id := range shuffledMembers(s) {
		if id == target.VM || f.Members[id].Liveness != jaywind.LivenessAlive {
			continue
		}
		if asked++; asked > indirectProbes {
			return
		}
		g := newMessage(s, id)
		g.Relay = target.Fleet
		g.Members = append(g.Members, target.Member)
		send(s, table.GossipCall{Target: target.VM, Purpose: table.PurposeHelp}, f.Members[id].Fleet, g)
	}
}

func suspect(s *table.State, m *table.Member) {
	if m.Liveness == jaywind.LivenessAlive {
		setLiveness(s, m, jaywind.LivenessSuspect)
		push(s)
	}
}

// handleReply handles the reply to a message of this router, or its failure.
func handleReply(s *table.State, e table.GossipAnswered) {
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
	if e.Gossip.Whole && len(f.Members) == before && s.Now.Sub(f.Started) >= MinJoinTime {
		f.Settled = true
	}
	reached := c.Purpose != table.PurposeHelp || e.Gossip.Reached
	if reached && c.Target == f.Ping.Target {
		f.Ping = table.Ping{}
	}
}

// handleRequest answers a message of another router. If it requests a relay, the reply follows the relayed call.
func handleRequest(s *table.State, e table.GossipAsked) {
	merge(s, e.Gossip, true)
	if at := e.Gossip.Relay; at != "" {
		target, g := relayedMessage(s, at)
		send(s, table.GossipCall{Target: target, Purpose: table.PurposeRelay, Ask: e.Ask}, at, g)
		return
	}
	reply(s, e.Ask, e.Gossip, false)
}

// relayedMessage returns the member at an address and the message that probes it.
func relayedMessage(s *table.State, at jaywind.Address) (jaywind.VM, jaywind.Gossip) {
	id := memberAt(s, at)
	return id, newMessage(s, id)
}

// expireCalls drops calls whose reply can no longer arrive.
func expireCalls(s *table.State) {
	f := &s.Fleet
	for n, c := range f.Calls {
		if s.Now.Sub(c.Sent) > 4*CallTimeout {
			delete(f.Calls, n)
		}
	}
}
