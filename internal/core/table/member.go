package table

import (
	"cmp"
	"slices"
	"time"

	"jaywind"
)

// Member is another router, in the state that this router believes it to be in.
type Member struct {
	jaywind.Member
	Since     time.Time // when Liveness last changed
	SendsLeft int       // number of messages that may still carry the member
}

// Note is a note with the number of times that it is still sent.
type Note struct {
	jaywind.Note
	SendsLeft int // number of messages that may still carry the note
}

// GossipCall is a message to another router that has not been answered yet.
type GossipCall struct {
	Target jaywind.VM // empty if only the address is known
	GossipPurpose
	Sent    time.Time
	ReplyTo uint64 // for a relayed probe: the GossipReceived to be answered once this call ends
}

// GossipPurpose is why a gossip message was sent.
type GossipPurpose int

// Purposes of gossip messages.
const (
	PurposeProbe         GossipPurpose = iota // direct probe of the current protocol period
	PurposeIndirectProbe                      // asks another member to probe the target (SWIM's ping-req)
	PurposeRelayedProbe                       // probes the target on behalf of another member
	PurposeBroadcast                          // sends news immediately
	PurposeDiscovery                          // looks for members other than those known to be alive
)

// DirectProbe is the direct probe of the current protocol period.
type DirectProbe struct {
	Target       jaywind.VM // empty if no member is being probed
	Started      time.Time
	IndirectSent bool // other members were asked to probe the target too
}

// LeaveStatus is the latest statement on whether a VM or an endpoint is leaving.
type LeaveStatus struct {
	Leaving    bool
	ReportedAt int64     // Unix milliseconds on the clock of its origin
	ReceivedAt time.Time // when it was received; set for endpoints only
}

// Fleet is a router's view of the membership, itself included.
type Fleet struct {
	Self      jaywind.Member
	Members   map[jaywind.VM]*Member // all but Self
	Order     []jaywind.VM           // the keys of Members, sorted
	ListedVMs []jaywind.ListedVM     // the platform's VM list as last read
	Seeds     []jaywind.Address      // addresses for the first contact with other members
	Epoch     uint64                 // increased with each change of the set of live members

	DirectProbe     DirectProbe
	ProbeQueue      []jaywind.VM // members still to be probed in the current round
	Calls           map[uint64]*GossipCall
	LastCall        uint64 // number of the last gossip call
	NextProbe       time.Time
	NextContact     time.Time
	NextMemberCheck time.Time // next check of the timers of all members
	LastFullTick    time.Time // last full tick, to detect that the process was suspended
	NextFullTable   time.Time // no full member table is sent before then
	Started         time.Time // time of the first tick
	RefutedAt       time.Time // when this router last learned that others consider it suspect or dead
	Synced          bool      // a full member table contained nothing new

	Notes    []*Note         // newest last
	NoteKeys map[string]bool // keys of Notes
	NotesIn  []jaywind.Note  // received for the first time in the current tick
	notesOut []jaywind.Note  // emitted by this router, not yet picked up by the membership system

	StoreReachedAt time.Time                  // when any known member last reached the store; zero if never
	Partitioned    bool                       // on the minority side of a network partition, without access to the store
	FetchStartedAt time.Time                  // when the current fetch of rules from a member started; zero if none is running
	VMLeaveStatus  map[jaywind.VM]LeaveStatus // VMs that have been reported as leaving

	EndpointLeaveStatus map[jaywind.EndpointID]LeaveStatus // endpoints that have reported that they are leaving
}

// Live returns this router and all members that are not dead, sorted by VM; leaving members are included.
func (f *Fleet) Live() []jaywind.Member {
	live := []jaywind.Member{f.Self}
	for _, m := range f.Members {
		if m.Liveness != jaywind.LivenessDead {
			live = append(live, m.Member)
		}
	}
	slices.SortFunc(live, func(a, b jaywind.Member) int { return cmp.Compare(a.VM, b.VM) })
	return live
}

// Add adds a member that is not known yet.
func (f *Fleet) Add(m *Member) {
	f.Members[m.VM] = m
	at, _ := slices.BinarySearch(f.Order, m.VM)
	f.Order = slices.Insert(f.Order, at, m.VM)
	f.Epoch++
}

// Remove removes a member.
func (f *Fleet) Remove(vm jaywind.VM) {
	at, known := slices.BinarySearch(f.Order, vm)
	if !known {
		return
	}
	delete(f.Members, vm)
	f.Order = slices.Delete(f.Order, at, at+1)
	f.Epoch++
}

// Broadcast sends a note to all other routers.
func (f *Fleet) Broadcast(n jaywind.Note) {
	f.notesOut = append(f.notesOut, n)
}

// TakeNotes returns and clears the notes passed to Broadcast since the last call.
func (f *Fleet) TakeNotes() []jaywind.Note {
	out := f.notesOut
	f.notesOut = nil
	return out
}

// GossipReceived is a message from another router that has to be answered.
type GossipReceived struct {
	ReplyTo uint64
	Gossip  jaywind.Gossip
}

// GossipReplied is the reply to a SendGossip, or its failure.
type GossipReplied struct {
	Number uint64
	Gossip jaywind.Gossip
	Err    error
}

// VMsListed is the platform's VM list as last read.
type VMsListed struct{ VMs []jaywind.ListedVM }

// StoreReached reports that this router has just reached the store.
type StoreReached struct{}

// RulesFetched reports the end of a FetchRules; the rules themselves arrive as RulesReceived.
type RulesFetched struct{ Err error }

// SendGossip sends a message to another router.
type SendGossip struct {
	Number  uint64
	Address jaywind.Address
	Gossip  jaywind.Gossip
	Limit   time.Duration
}

// ReplyGossip answers a GossipReceived.
type ReplyGossip struct {
	ReplyTo uint64
	Gossip  jaywind.Gossip
}

// FetchRules asks for the rules that another router holds.
type FetchRules struct {
	Address jaywind.Address
	Version jaywind.RulesVersion
}

func (GossipReceived) event() {}
func (GossipReplied) event()  {}
func (VMsListed) event()      {}
func (StoreReached) event()   {}
func (RulesFetched) event()   {}
func (SendGossip) command()   {}
func (ReplyGossip) command()  {}
func (FetchRules) command()   {}

// NewFleet returns the view of a router that knows no other members.
func NewFleet() Fleet {
	return Fleet{
		Members:             map[jaywind.VM]*Member{},
		Calls:               map[uint64]*GossipCall{},
		NoteKeys:            map[string]bool{},
		VMLeaveStatus:       map[jaywind.VM]LeaveStatus{},
		EndpointLeaveStatus: map[jaywind.EndpointID]LeaveStatus{},
	}
}
