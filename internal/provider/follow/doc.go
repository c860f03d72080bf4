// Package follow keeps a copy of what a store holds under a prefix.
//
// A Follower lists once and then waits for changes. It lists again whenever a
// change may have been missed: history that is gone, a revision that moved
// without an event, or an answer that was lost.
//
// Path chooses whom to ask: the store, or routers that follow it and show what
// they know on a Board. When a large fleet starts at once, routers hand their
// first lists on to each other.
//
//	f := follow.Follower{Source: store, Changed: apply}
//	err := f.Run(ctx)
package follow
