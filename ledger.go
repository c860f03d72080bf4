package jaywind

import "context"

// IdempotencyKey is the caller's name for a once-only call, unique within its organisation.
type IdempotencyKey string

// Nonce marks the one claimant that may send a once-only call.
type Nonce uint64

// ClaimState is how far a once-only call has got.
type ClaimState int

// The states of a claim, in the only order in which they follow each other.
const (
	ClaimNone     ClaimState = iota // nobody has claimed the call
	ClaimTaken                      // claimed; it may have been sent
	ClaimReleased                   // certainly not sent; it may be claimed again
	ClaimAnswered                   // the service has answered
	ClaimUnknown                    // sent, and the answer was lost
)

// Claim is the record of one once-only call.
type Claim struct {
	Organisation Organisation
	Service      ServiceName
	Key          IdempotencyKey
	Body         Digest // of method, path and body, to tell another call under the same key
	Nonce        Nonce
	State        ClaimState
	Reply        Reply // once answered
}

// Ledger speaks to the router that group-commits the claims of a shard.
type Ledger interface {
	// Commit asks for a claim or a change of its state and returns what is recorded.
	Commit(ctx context.Context, at Address, c Claim) (Claim, error)
}
