package table

import (
	"cmp"
	"slices"
	"time"

	"jaywind"
)

// Member is another router as this one believes it to be.
type Member struct {
	jaywind.Member
	Since  time.Time // when Liveness became what it is
	Spread int       // messages that may still carry the row
}

// Note is a note with its spreading state.
type Note struct {
	jaywind.Note
	Spread int // messages that may still carry the note
}

// GossipCall is a message to another router that waits for its answer.
type GossipCall struct {
	Target jaywind.VM // empty when only the address is known
	Purpose
	Sent time.Time
	Ask  uint64 // of the GossipAsked whose reply waits for this call, for a relay
}

// Purpose is why a message was sent.
type Purpose int

// The purposes of messages.
const (
	PurposeProbe   Purpose = iota // the direct probe of a period
	PurposeHelp                   // asks another member to probe the target
	PurposeRelay                  // probes the target on behalf of another member
	PurposePush                   // spreads news at once
	PurposeContact                // looks for members beyond the known live ones
)

// Ping is the direct probe of this period.
type Ping struct {
	Target  jaywind.VM // empty when none is
	Started time.Time
	Helped  bool // other members were asked to probe it as well
}

// Word is the last word on whether a VM or an endpoint leaves.
type Word struct {
	Leaving bool
	At      int64     // Unix milliseconds of the clock of whoever said it
	Heard   time.Time // of an endpoint's
}

// Fleet is what a router knows of the others and of itself as a member.
type Fleet struct {
	Self     jaywind.Member
	Members  map[jaywind.VM]*Member // without Self
	Order    []jaywind.VM           // the keys of Members in order
	Machines []jaywind.Machine      // the VM list as last read
	Seeds    []jaywind.Address      // members to begin with
	Epoch    uint64                 // raised with each change of the list of live members

	Ping     Ping
	Round    []jaywind.VM // members still to be probed in this round
	Calls    map[uint64]*GossipCall
	Number   uint64 // of the last call
	NextPeer time.Time
	NextSeed time.Time
	NextLook time.Time // at all members
	LastFull time.Time // the last full tick, to notice a pause
	JoinGate time.Time // no whole table is sent before then
	Started  time.Time // the first tick
	BackAt   time.Time // when it was last told that it is suspect or dead
	Settled  bool      // a whole table brought nothing new

	Notes    []*Note         // newest last
	NoteKeys map[string]bool // of Notes
	NotesIn  []jaywind.Note  // received for the first time in this tick
	notesOut []jaywind.Note  // emitted here, not yet taken up by membership

	StoreAt time.Time           // when any known member last reached the store; zero for never
	Cut     bool                // on the smaller side of a cut, without the store
	FetchAt time.Time           // when the last fetch of rules from a member began; zero when none runs
	VMs     map[jaywind.VM]Word // that have been said to leave

	Words map[jaywind.EndpointID]Word // of endpoints that have said that they leave
}

// Live returns the members that are not dead, with this router, ordered by VM; leaving ones are included.
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

// Put adds a member that is not known yet.
func (f *Fleet) Put(m *Member) {
	f.Members[m.VM] = m
	at, _ := slices.BinarySearch(f.Order, m.VM)
	f.Order = slices.Insert(f.Order, at, m.VM)
	f.Epoch++
}

// Drop forgets a member.
func (f *Fleet) Drop(vm jaywind.VM) {
	at, known := slices.BinarySearch(f.Order, vm)
	if !known {
		return
	}
	delete(f.Members, vm)
	f.Order = slices.Delete(f.Order, at, at+1)
	f.Epoch++
}

// Spread sends a note to all routers; this one does not receive it back.
func (f *Fleet) Spread(n jaywind.Note) {
	f.notesOut = append(f.notesOut, n)
}

// TakeNotes returns the notes emitted here since the last call.
func (f *Fleet) TakeNotes() []jaywind.Note {
	out := f.notesOut
	f.notesOut = nil
	return out
}

// GossipAsked is a message from another router that waits for a reply.
type GossipAsked struct {
	Ask    uint64
	Gossip jaywind.Gossip
}

// GossipAnswered is the reply to a SendGossip, or its failure.
type GossipAnswered struct {
	Number uint64
	Gossip jaywind.Gossip
	Err    error
}

// MachinesListed is the VM list as the platform last saw it.
type MachinesListed struct{ Machines []jaywind.Machine }

// StoreReached says that this router has just reached the store.
type StoreReached struct{}

// RulesFetched says that a FetchRules has ended; new rules come as Ruled.
type RulesFetched struct{ Err error }

// SendGossip sends a message to another router.
type SendGossip struct {
	Number uint64
	At     jaywind.Address
	Gossip jaywind.Gossip
	Limit  time.Duration
}

// ReplyGossip answers a GossipAsked.
type ReplyGossip struct {
	Ask    uint64
	Gossip jaywind.Gossip
}

// FetchRules asks for the rules that another router holds.
type FetchRules struct {
	At      jaywind.Address
	Version jaywind.RulesVersion
}

func (GossipAsked) event()    {}
func (GossipAnswered) event() {}
func (MachinesListed) event() {}
func (StoreReached) event()   {}
func (RulesFetched) event()   {}
func (SendGossip) command()   {}
func (ReplyGossip) command()  {}
func (FetchRules) command()   {}

// NewFleet returns the tables of a router that knows nobody.
func NewFleet() Fleet {
	return Fleet{
		Members:  map[jaywind.VM]*Member{},
		Calls:    map[uint64]*GossipCall{},
		NoteKeys: map[string]bool{},
		VMs:      map[jaywind.VM]Word{},
		Words:    map[jaywind.EndpointID]Word{},
	}
}
