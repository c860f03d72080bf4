// Package follow keeps a local copy of the items that a store holds under a prefix.
//
// A Follower lists the prefix once and then watches for changes. It lists again
// when it may have missed a change: the store has compacted its history, or two
// watches in a row have failed. It also lists again when the store has come back
// from an older copy of itself, in which revisions are given out again: each
// position therefore holds an era, which rises then, and a revision. Nothing that
// is older than what was reported before is reported after a restore, as long as
// its writer may write it again.
//
// A PeerSource chooses where to read: from the store, or from readers, which are
// routers that watch the store and serve its items to others from a Cache. When
// a large fleet starts at once, routers pass their first lists on to each other.
//
//	f := follow.Follower{Source: store, Log: log, OnChange: apply}
//	err := f.Run(ctx)
package follow
