// Package roster keeps the list of routers that take callers.
//
// Each router holds a key in the store under a lease, and says there whether it
// is leaving. All routers follow these keys. While the store is away the list
// stays as it was, and for a while after its return an entry that lapsed may
// come back:
//
//	r := &roster.Roster{Self: self, Keeper: store, Log: log}
//	r.Learn(item) // for each change under roster.Prefix
//	err := r.Run(ctx)
package roster
