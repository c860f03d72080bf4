package jaywind

import (
	"context"

	"github.com/cespare/xxhash/v2"
)

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

// ClaimKey identifies a once-only call among all organisations and services.
type ClaimKey struct {
	Organisation Organisation
	Service      ServiceName
	Key          IdempotencyKey
}

// ID returns the key of the claim.
func (c Claim) ID() ClaimKey {
	return ClaimKey{Organisation: c.Organisation, Service: c.Service, Key: c.Key}
}

// Hash returns the number that assigns the key to a shard.
func (k ClaimKey) Hash() uint64 {
	h := xxhash.New()
	for _, part := range []string{string(k.Organisation), string(k.Service), string(k.Key)} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

// Final tells whether the claim's state can't change any more, but for an answer that comes late.
func (c Claim) Final() bool {
	return c.State == ClaimAnswered || c.State == ClaimUnknown
}

// Then returns what is recorded after a claimant asks for want, and whether that differs from c.
//
// A state only moves forward under its nonce, and another nonce takes over only
// from a claim that was released. A released nonce stays released, so that a
// commit which is delayed past its claimant's refusal can't revive the claim.
func (c Claim) Then(want Claim) (Claim, bool) {
	switch {
	case c.State == ClaimNone:
		return want, true
	case c.Body != want.Body:
		return c, false
	case c.Nonce != want.Nonce:
		taken := c.State == ClaimReleased && want.State == ClaimTaken
		return pick(taken, want, c), taken
	}
	forward := c.State == ClaimTaken && want.State != ClaimTaken ||
		c.State == ClaimUnknown && want.State == ClaimAnswered
	return pick(forward, want, c), forward
}

func pick(first bool, a, b Claim) Claim {
	if first {
		return a
	}
	return b
}
