package member

import (
	"jaywind"
	"jaywind/internal/core/table"
)

// startProbe probes the next member of the round, unless a probe is still running.
func startProbe(s *table.State) {
	f := &s.Fleet
	if f.DirectProbe.Target != "" {
		return
	}
	m := nextProbeTarget(s)
	if m == nil {
		return
	}
	f.DirectProbe = table.DirectProbe{Target: m.VM, Started: s.Now}
	send(s, table.GossipCall{Target: m.VM, GossipPurpose: table.PurposeProbe}, m.Fleet, newMessage(s, m.VM))
}

// nextProbeTarget takes members in random order, each once per round, so that detection time is bounded.
func nextProbeTarget(s *table.State) *table.Member {
	f := &s.Fleet
	for range 2 {
		for len(f.ProbeQueue) > 0 {
			id := f.ProbeQueue[0]
			f.ProbeQueue = f.ProbeQueue[1:]
			if m := f.Members[id]; m != nil && m.Liveness != jaywind.LivenessDead {
				return m
			}
		}
		f.ProbeQueue = shuffledMembers(s)
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
	if f.DirectProbe.Target == "" {
		return
	}
	m := f.Members[f.DirectProbe.Target]
	if m == nil {
		f.DirectProbe = table.DirectProbe{}
		return
	}
	age := s.Now.Sub(f.DirectProbe.Started)
	if age >= DirectProbeTimeout && !f.DirectProbe.IndirectSent {
		probeIndirectly(s, m)
	}
	if age >= ProbeTimeout {
		f.DirectProbe = table.DirectProbe{}
		suspect(s, m)
	}
}

// probeIndirectly asks a few live members to probe the target over their own connections.
func probeIndirectly(s *table.State, target *table.Member) {
	f := &s.Fleet
	f.DirectProbe.IndirectSent = true
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
		send(s, table.GossipCall{Target: target.VM, GossipPurpose: table.PurposeIndirectProbe}, f.Members[id].Fleet, g)
	}
}

func suspect(s *table.State, m *table.Member) {
	if m.Liveness == jaywind.LivenessAlive {
		setLiveness(s, m, jaywind.LivenessSuspect)
		push(s)
	}
}

// handleReply handles the reply to a message of this router, or its failure.
func handleReply(s *table.State, e table.GossipReplied) {
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
	if e.Gossip.FullTable && len(f.Members) == before && s.Now.Sub(f.Started) >= MinJoinTime {
		f.Synced = true
	}
	reached := c.GossipPurpose != table.PurposeIndirectProbe || e.Gossip.Reached
	if reached && c.Target == f.DirectProbe.Target {
		f.DirectProbe = table.DirectProbe{}
	}
}

// handleRequest answers a message of another router. If it requests a relay, the reply follows the relayed call.
func handleRequest(s *table.State, e table.GossipReceived) {
	merge(s, e.Gossip, true)
	if at := e.Gossip.Relay; at != "" {
		target, g := relayedMessage(s, at)
		send(s, table.GossipCall{Target: target, GossipPurpose: table.PurposeRelayedProbe, ReplyTo: e.ReplyTo}, at, g)
		return
	}
	reply(s, e.ReplyTo, e.Gossip, false)
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
