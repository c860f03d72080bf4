// Package ledger commits the claims of at-most-once calls in groups and sends them
// between routers.
//
// A Committer queues the claims that reach a router and commits the claims of each
// shard by one compare-and-swap at a time. A Client sends a claim to the Committer
// of another router:
//
//	c := &ledger.Committer{Store: store}
//	m.Handle(ledger.Path, ledger.NewHandler(c))
//	recorded, err := c.Commit(ctx, claim)
//
// A Forwarder sends each claim to the router that is preferred for its shard, and
// commits it locally if that router can't be reached. The preference only reduces
// conflicts between swaps: any router may commit any claim, and the swap decides
// which one wins.
//
// A Recall remembers what was recorded through its router and records it again after
// a restore of the store.
package ledger
