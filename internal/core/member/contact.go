package member

import (
	"slices"

	"jaywind"
	"jaywind/internal/core/table"
)

// contact calls one address beyond the live members: a seed, a VM of the list, or a member believed dead.
func contact(s *table.State) {
	f := &s.Fleet
	f.NextDiscovery = s.Now.Add(ContactPeriod)
	if !f.Synced {
		f.NextDiscovery = s.Now.Add(JoinPeriod)
	}
	if !f.Synced && len(f.Members) > 0 {
		settle(s)
		return
	}
	addresses := contacts(f)
	if len(addresses) == 0 {
		return
	}
	at := addresses[s.Random.IntN(len(addresses))]
	target := memberAt(s, at)
	g := message(s, target)
	g.WantFullTable = !f.Synced
	if target != "" {
		g.Notes = keptNotes(f)
	}
	tell(s, table.GossipCall{Target: target, GossipPurpose: table.PurposeDiscovery}, at, g)
}

// settle asks a random member for the whole table, until one brings nothing new.
func settle(s *table.State) {
	ids := shuffled(s)
	if len(ids) == 0 {
		return
	}
	g := message(s, ids[0])
	g.WantFullTable = true
	tell(s, table.GossipCall{Target: ids[0], GossipPurpose: table.PurposeDiscovery}, s.Fleet.Members[ids[0]].Fleet, g)
}

// contacts returns the addresses of members that may live although they are not known to.
func contacts(f *table.Fleet) []jaywind.Address {
	live := map[jaywind.Address]bool{f.Self.Fleet: true}
	set := map[jaywind.Address]bool{}
	for _, m := range f.Members {
		if m.Liveness == jaywind.LivenessDead {
			set[m.Fleet] = true
		} else {
			live[m.Fleet] = true
		}
	}
	for _, a := range f.Seeds {
		set[a] = true
	}
	for _, m := range f.Machines {
		set[m.Fleet] = true
	}
	var out []jaywind.Address
	for a := range set {
		if a != "" && !live[a] {
			out = append(out, a)
		}
	}
	slices.Sort(out)
	return out
}

// memberAt returns the member that listens at an address, a live one if there are several.
func memberAt(s *table.State, at jaywind.Address) jaywind.VM {
	var found jaywind.VM
	for _, id := range s.Fleet.Order {
		m := s.Fleet.Members[id]
		if m.Fleet == at && (found == "" || m.Liveness != jaywind.LivenessDead) {
			found = id
		}
	}
	return found
}
