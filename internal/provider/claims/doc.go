// Package claims keeps the claims of once-only calls in the platform's store.
//
// Claims hash to shards. A shard has a log of a fixed number of keys that are
// written in turn, each with the records of one batch. A batch is committed by
// one compare-and-swap of the key that is next, which must still hold the entry
// of the round before; so two routers that commit at once can't both succeed,
// and who succeeds has seen all that was committed before. After some entries
// their records are sealed into a segment, a value that never changes, and the
// shard's head, which names the segments, is swapped. Segments are merged when
// they are many, listed in an index with the hashes of their keys when they are
// old, dropped when the retention time has passed, and deleted a while after:
//
//	h := &claims.Shard{Store: store, Number: claims.ShardOf(claim.ID())}
//	recorded, err := h.Commit(ctx, []jaywind.Claim{claim})
//	mine := err == nil && recorded[0].Nonce == claim.Nonce
//
// A swap whose reply is lost is resolved by reading the log on: a claim is
// committed if it stands there under its own nonce.
package claims
