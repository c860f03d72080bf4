// Package claims stores the claims of at-most-once calls in the platform's key-value store.
//
// A router claims the key of a call before it sends the call, and then records
// the answer, so that no other router sends the call as well.
//
// Claims hash to shards. A shard has a log: a ring of a fixed number of keys,
// each holding the records of one batch. A batch is committed by one
// compare-and-swap of the next key, which must still hold the entry of the
// previous lap. So of two routers that commit concurrently only one succeeds,
// and it has seen everything committed before. After a number of entries their
// records are sealed into a segment, which is an immutable value, and the
// shard's head, which references the segments, is swapped. Segments are merged
// when there are many, moved to an index with the hashes of their keys when
// they are old, dropped after the retention time, and deleted a minute later:
//
//	h := &claims.Shard{Store: store, Number: claims.ShardOf(claim.ID())}
//	recorded, err := h.Commit(ctx, []jaywind.Claim{claim})
//	mine := err == nil && recorded[0].Nonce == claim.Nonce
//
// When the store has been restored from an older copy, a shard goes on under other
// keys, imports what the copy has and records again what it knows besides.
//
// If the reply to a swap is lost, the log is read again: a claim is committed if
// it is recorded there under its own nonce.
package claims
