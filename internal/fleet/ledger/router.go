package ledger

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"jaywind"
	"jaywind/internal/platform/claims"
)

const remoteLimit = 500 * time.Millisecond // for the preferred router to answer

// Router commits claims through the router that their shard prefers.
type Router struct {
	Self    jaywind.VM
	Local   *Committer
	Remote  jaywind.Ledger                        // nil to commit everything here
	Members func() map[jaywind.VM]jaywind.Address // the routers that are alive; nil for none but Self
}

// Commit records a claim and returns what is on record, or an error like Committer.Commit.
func (r *Router) Commit(ctx context.Context, claim jaywind.Claim) (jaywind.Claim, error) {
	at, remote := r.preferred(claims.ShardOf(claim.ID()))
	if !remote {
		return r.Local.Commit(ctx, claim)
	}
	limited, cancel := context.WithTimeout(ctx, remoteLimit)
	recorded, err := r.Remote.Commit(limited, at, claim)
	cancel()
	if err == nil || errors.Is(err, jaywind.ErrUnavailable) {
		return recorded, err
	}
	return r.Local.Commit(ctx, claim)
}

// preferred returns the address of a shard's preferred router, unless it is this one.
func (r *Router) preferred(shard int) (jaywind.Address, bool) {
	if r.Remote == nil || r.Members == nil {
		return "", false
	}
	members := r.Members()
	best, most := r.Self, score(r.Self, shard)
	for vm := range members {
		if n := score(vm, shard); n > most || n == most && vm < best {
			best, most = vm, n
		}
	}
	return members[best], best != r.Self
}

// score is the rendezvous weight of a router for a shard.
func score(vm jaywind.VM, shard int) uint64 {
	return xxhash.Sum64(append([]byte(vm), 0, byte(shard)))
}
