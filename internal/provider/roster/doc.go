// Package roster maintains the list of routers that accept callers.
//
// Each router registers a key in the store under a lease; its value says whether
// the router is leaving. All routers watch these keys. While the store is
// unavailable the list stays as it was, and for a grace period after its return
// a member whose key expired may register again:
//
//	r := &roster.Roster{Self: self, Store: store, Log: log}
//	r.Update(item, mayReturn) // for each change under roster.Prefix
//	err := r.Run(ctx)
package roster
