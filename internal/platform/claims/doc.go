// Package claims keeps the claims of once-only calls in the platform's store.
//
// Claims hash to shards. A shard's head is one value of the store: the claims
// of late and the names of the sealed segments that hold earlier ones. A batch
// of claims is committed by one compare-and-swap of the head, so two routers
// that commit at once can't both succeed. A head that has grown large is
// written to a segment under the hash of its content, which never changes, and
// the head goes on without it. Segments are merged when they are many and
// dropped when the retention time has passed:
//
//	h := &claims.Shard{Store: store, Number: claims.ShardOf(claim.ID())}
//	recorded, err := h.Commit(ctx, []jaywind.Claim{claim})
//	mine := err == nil && recorded[0].Nonce == claim.Nonce
//
// A swap whose reply is lost is resolved by reading the head back: a claim is
// committed if it stands there under its own nonce.
package claims
