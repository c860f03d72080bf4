package jaywind

import (
	"context"
	"time"
)

// Liveness is the believed state of a member.
type Liveness int

// States of a member; within an incarnation, the higher one takes precedence.
const (
	LivenessAlive Liveness = iota
	LivenessSuspect
	LivenessDead
)

// Member is a router's statement about another router or about itself.
type Member struct {
	VM          VM
	Domain      Domain
	Fleet       Address // where it listens for other routers
	Entry       Address // where it listens for callers
	Incarnation uint64  // increased only by the member itself
	Liveness    Liveness
	Leaving     bool
	Rules       RulesVersion // version of the rules that it applies
}

// Gossip is one message of the membership protocol.
type Gossip struct {
	From          Member
	Members       []Member
	Notes         []Note
	Relay         Address         // the receiver probes this member and reports whether it answered
	Reached       bool            // in a reply: whether the relayed member answered
	WantFullTable bool            // the sender wants the full member table in the reply
	FullTable     bool            // Members is the full member table
	Ages          []time.Duration // with FullTable: how long each of Members has been dead, 0 for live ones
	StoreAge      time.Duration   // time since any member known to the sender reached the store; negative if none has
}

// Note is a small message that is delivered to all routers once, such as the decision on a new version.
type Note struct {
	Kind  string
	Key   string
	Value []byte
}

// Gossiper exchanges gossip messages with other routers.
type Gossiper interface {
	// Exchange sends a message and returns the reply, within ctx's deadline.
	Exchange(ctx context.Context, at Address, g Gossip) (Gossip, error)
}

// ChunkID is the content hash of a chunk of the rules' text.
type ChunkID string

// RulesHead lists the chunks that make up the text of an accepted set of rules.
type RulesHead struct {
	Version RulesVersion
	Chunks  []ChunkID
}

// RulesPeer is a client of other routers, for the accepted rules that they hold.
type RulesPeer interface {
	// Head returns the head of the highest version that the peer holds.
	Head(ctx context.Context, at Address) (RulesHead, error)
	// Chunks returns chunks of that version, in the order asked for.
	Chunks(ctx context.Context, at Address, ids []ChunkID) ([]string, error)
}
