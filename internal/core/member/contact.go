package member

import (
	"slices"

	"jaywind"
	"jaywind/internal/core/table"
)

// contactNonLive calls one random address that is not of a live member: a seed, a VM of the VM list, or a member believed dead.
// While this router is joining and knows members, it requests a full table from one of them instead.
func contactNonLive(s *table.State) {
	f := &s.Fleet
	f.NextContact = s.Now.Add(ContactInterval)
	if !f.Synced {
		f.NextContact = s.Now.Add(JoinInterval)
	}
	if !f.Synced && len(f.Members) > 0 {
		requestFullTable(s)
		return
	}
	addresses := contactAddresses(f)
	if len(addresses) == 0 {
		return
	}
	at := addresses[s.Random.IntN(len(addresses))]
	target := memberAt(s, at)
	g := newMessage(s, target)
	g.WantFullTable = !f.Synced
	if target != "" {
		g.Notes = allNotes(f)
	}
	send(s, table.GossipCall{Target: target, GossipPurpose: table.PurposeDiscovery}, at, g)
}

// requestFullTable asks a random member for its full table. It is repeated until a table adds no member.
func requestFullTable(s *table.State) {
	ids := shuffledMembers(s)
	if len(ids) == 0 {
		return
	}
	g := newMessage(s, ids[0])
	g.WantFullTable = true
	send(s, table.GossipCall{Target: ids[0], GossipPurpose: table.PurposeDiscovery}, s.Fleet.Members[ids[0]].Fleet, g)
}

// contactAddresses returns the sorted addresses at which a router may be running that is not known to be live.
func contactAddresses(f *table.Fleet) []jaywind.Address {
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
	for _, m := range f.ListedVMs {
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

// memberAt returns the member with an address; if several have it, one that is not dead.
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
