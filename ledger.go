package jaywind

import (
	"context"

	"github.com/cespare/xxhash/v2"
)

// IdempotencyKey is the caller's key for an at-most-once call, unique within its organisation.
type IdempotencyKey string

// Nonce identifies the only claimant that may send an at-most-once call.
type Nonce uint64

// ClaimState is the state of an at-most-once call.
type ClaimState int

// States of a claim, in the order in which they can follow each other.
const (
	ClaimNone     ClaimState = iota // not claimed
	ClaimTaken                      // claimed; the call may have been sent
	ClaimReleased                   // the call was certainly not sent and may be claimed again
	ClaimAnswered                   // the service has answered
	ClaimUnknown                    // the call was sent and its answer lost
)

// Claim is the record of an at-most-once call.
type Claim struct {
	Organisation Organisation
	Service      ServiceName
	Key          IdempotencyKey
	Body         Digest // digest of method, path and body, to detect another call with the same key
	Nonce        Nonce
	State        ClaimState
	Reply        Reply // if answered
}

// Ledger is a client of the router that group-commits the claims of a shard.
type Ledger interface {
	// Commit requests a claim or a change of its state and returns the claim on record.
	Commit(ctx context.Context, at Address, c Claim) (Claim, error)
	// Replay records claims of a shard again that may be missing since the store was restored from an older copy.
	Replay(ctx context.Context, at Address, shard int, claims []Claim) error
}

// ClaimKey identifies an at-most-once call among all organisations and services.
type ClaimKey struct {
	Organisation Organisation
	Service      ServiceName
	Key          IdempotencyKey
}

// ID returns the key of the claim.
func (c Claim) ID() ClaimKey {
	return ClaimKey{Organisation: c.Organisation, Service: c.Service, Key: c.Key}
}

// Hash returns a hash of the key, which determines its shard.
func (k ClaimKey) Hash() uint64 {
	h := xxhash.New()
	for _, part := range []string{string(k.Organisation), string(k.Service), string(k.Key)} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

// Final tells whether the claim's state can no longer change, except that a late answer replaces ClaimUnknown.
func (c Claim) Final() bool {
	return c.State == ClaimAnswered || c.State == ClaimUnknown
}

// Apply returns the claim on record after a claimant requests want, and whether it differs from c.
//
// With the same nonce, a state only moves forward. A claim with another nonce
// only replaces a released one. A nonce that was released stays released, so
// that a commit which arrives after its claimant has refused the call can't
// restore the claim.
func (c Claim) Apply(want Claim) (Claim, bool) {
	switch {
	case c.State == ClaimNone:
		return want, true
	case c.Body != want.Body:
		return c, false
	case c.Nonce != want.Nonce:
		taken := c.State == ClaimReleased && want.State == ClaimTaken
		return selectClaim(taken, want, c), taken
	}
	forward := c.State == ClaimTaken && want.State != ClaimTaken ||
		c.State == ClaimUnknown && want.State == ClaimAnswered
	return selectClaim(forward, want, c), forward
}

// selectClaim returns a if the condition holds, otherwise b.
func selectClaim(condition bool, a, b Claim) Claim {
	if condition {
		return a
	}
	return b
}
