package ledger

import (
	"context"
	"strconv"
	"time"

	"jaywind"
	"jaywind/internal/fleet/rendezvous"
	"jaywind/internal/provider/claims"
)

const remoteTimeout = 500 * time.Millisecond // for the preferred router to reply

// Forwarder commits claims through the router that is preferred for their shard.
type Forwarder struct {
	Self    jaywind.VM
	Local   *Committer
	Remote  jaywind.Ledger          // nil to commit all claims locally
	Members func() []jaywind.Member // returns the live routers; nil if Self is the only one
}

// Commit records a claim and returns the claim that is on record; its errors are those of
// Committer.Commit. If the call to the preferred router fails, the claim is committed locally.
// Both commits may succeed; the second of the same claim changes nothing.
func (r *Forwarder) Commit(ctx context.Context, claim jaywind.Claim) (jaywind.Claim, error) {
	at, remote := r.preferred(claims.ShardOf(claim.ID()))
	if !remote {
		return r.Local.Commit(ctx, claim)
	}
	limited, cancel := context.WithTimeout(ctx, remoteTimeout)
	recorded, err := r.Remote.Commit(limited, at, claim)
	cancel()
	if err == nil {
		return recorded, nil
	}
	return r.Local.Commit(ctx, claim)
}

// preferred returns the address of the router that is preferred for a shard, and false if
// the claim is to be committed locally.
func (r *Forwarder) preferred(shard int) (jaywind.Address, bool) {
	if r.Remote == nil || r.Members == nil {
		return "", false
	}
	picked := rendezvous.Pick("claims-"+strconv.Itoa(shard), r.Members(), 1, "")
	if len(picked) == 0 || picked[0].VM == r.Self {
		return "", false
	}
	return picked[0].Fleet, true
}
