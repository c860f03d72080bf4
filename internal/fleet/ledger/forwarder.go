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
	Recall  *Recall                 // nil if the store is never restored from an older copy
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
		if r.Recall != nil {
			r.Recall.Add(recorded)
		}
		return recorded, nil
	}
	return r.Local.Commit(ctx, claim)
}

// Incomplete reports whether claims may be missing since the store was restored, so that keys without a record can't be claimed.
func (r *Forwarder) Incomplete() bool { return r.Recall != nil && r.Recall.Incomplete() }

// Replay records claims of one shard again that may be missing after a restore of the store, in the way of Commit.
func (r *Forwarder) Replay(ctx context.Context, shard int, replayed []jaywind.Claim) error {
	if at, remote := r.preferred(shard); remote {
		limited, cancel := context.WithTimeout(ctx, remoteTimeout)
		err := r.Remote.Replay(limited, at, shard, replayed)
		cancel()
		if err == nil {
			return nil
		}
	}
	return r.Local.Replay(ctx, shard, replayed)
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
