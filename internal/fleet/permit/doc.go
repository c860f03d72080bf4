// Package permit lets a fleet of routers share the permits for calls to brittle endpoints.
//
// Each endpoint has one owner among the routers, by rendezvous hashing over the members; the next one answers
// while it does not. The calls' ends are told to the owner in batches.
//
//	c := &permit.Client{HTTP: client, Owners: owners, Routers: count, Log: log, Metrics: registry}
//	c.Handle(mux)
//	release, retryAt := c.Take(ctx, endpoint, permit.Question{Slots: 16, Tolerance: 8, Lease: left})
//	if release != nil {
//		defer release(rejected)
//	}
package permit
