package jaywind

import "context"

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
	From    Member
	Members []Member
	Notes   []Note
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
