package ledger

import (
	"context"
	"strconv"
	"time"

	"jaywind"
	"jaywind/internal/fleet/rendezvous"
	"jaywind/internal/provider/claims"
)

const remoteTimeout = 500 * time.Millisecond // for the preferred router to answer

// Router commits claims through the router that their shard prefers.
type Router struct {
	Self    jaywind.VM
	Local   *Committer
	Remote  jaywind.Ledger          // nil to commit everything here
	Members func() []jaywind.Member // the routers that are alive; nil for none but Self
}

// Commit records a claim and returns what is on record, or an error like Committer.Commit.
func (r *Router) Commit(ctx context.Context, claim jaywind.Claim) (jaywind.Claim, error) {
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

// preferred returns the address of a shard's preferred router, unless it is this one.
func (r *Router) preferred(shard int) (jaywind.Address, bool) {
	if r.Remote == nil || r.Members == nil {
		return "", false
	}
	picked := rendezvous.Pick("claims-"+strconv.Itoa(shard), r.Members(), 1, "")
	if len(picked) == 0 || picked[0].VM == r.Self {
		return "", false
	}
	return picked[0].Fleet, true
}
