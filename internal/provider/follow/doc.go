// Package follow keeps a copy of what a store holds under a prefix.
//
// A Follower lists once and then waits for changes. It lists again whenever a
// change may have been missed: history that is gone, a revision that moved
// without an event, or an answer that was lost.
//
//	f := follow.Follower{Source: store, Changed: apply}
//	err := f.Run(ctx)
package follow
