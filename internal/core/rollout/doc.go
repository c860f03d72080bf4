// Package rollout controls the roll-out of a new version of a service.
//
// Each router keeps a Rollout for each order. All routers follow the state that
// one of them, the lead, writes to the store. The lead adds up the outcomes that
// all routers report and ends the roll-out. In the canary phase the new version
// gets a small share of new work, within a budget of requests. Unless it looks
// bad, it gets all new work as soon as the requests expected in the remaining
// time fit into the budget. From then on, standby copies of runs are kept on new
// endpoints only, since the old endpoints are stopped at the end:
//
//	r := rollout.New(order, bounds)
//	r.Report("vm2", totals)
//	next := r.Decide(now)
//
// The package does no I/O. Its user writes the state to the store with a
// conditional write.
package rollout
