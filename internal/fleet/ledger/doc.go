// Package ledger carries claims of once-only calls between routers, and commits
// them in groups.
//
// A Committer collects the claims that reach a router and commits each shard's
// by one swap at a time; a Client hands a claim to another router's committer:
//
//	c := &ledger.Committer{Store: store}
//	m.Handle(ledger.Path, ledger.NewHandler(c))
//	recorded, err := c.Commit(ctx, claim)
//
// A Router sends each claim to the committer of the router that its shard
// prefers, and commits it by itself where that one can't be reached. The choice
// only keeps swaps from colliding: any router may commit any claim, and the swap
// decides.
package ledger
