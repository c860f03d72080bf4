package jaywind

import (
	"context"
	"time"
)

// Liveness is what is believed of a member.
type Liveness int

// The liveness of a member; a higher one wins within an incarnation.
const (
	LivenessAlive Liveness = iota
	LivenessSuspect
	LivenessDead
)

// Member is what one router says of another, or of itself.
type Member struct {
	VM          VM
	Domain      Domain
	Fleet       Address // where it listens for routers
	Entry       Address // where it listens for callers
	Incarnation uint64  // raised only by the member itself
	Liveness    Liveness
	Leaving     bool
	Rules       RulesVersion // in force there
}

// Gossip is one message of the membership protocol.
type Gossip struct {
	From     Member
	Members  []Member
	Notes    []Note
	Relay    Address         // the receiver calls this member and says whether it answered
	Reached  bool            // in a reply: whether the relayed member answered
	Join     bool            // the sender wants the whole table in the reply
	Whole    bool            // Members is the whole table
	Ages     []time.Duration // with Whole: how long each of Members has been dead, 0 for the live
	StoreAge time.Duration   // since any member known to the sender reached the store; negative when none did
}

// Note is a small fact that is spread to all routers once, such as a verdict on a version.
type Note struct {
	Kind  string
	Key   string
	Value []byte
}

// Gossiper speaks to other routers about membership.
type Gossiper interface {
	// Exchange sends a message and returns the other's, within ctx's deadline.
	Exchange(ctx context.Context, at Address, g Gossip) (Gossip, error)
}

// ChunkID is the content hash of a part of the rules' text.
type ChunkID string

// RulesHead names the chunks that make up the text of an accepted set of rules.
type RulesHead struct {
	Version RulesVersion
	Chunks  []ChunkID
}

// Copier speaks to other routers that hold the accepted rules.
type Copier interface {
	// Head returns the head of the highest version that the peer holds.
	Head(ctx context.Context, at Address) (RulesHead, error)
	// Chunks returns chunks of that version, in the order asked for.
	Chunks(ctx context.Context, at Address, ids []ChunkID) ([]string, error)
}
