// Package rollout controls the roll-out of a new version of a service.
//
// Each router keeps a Rollout for each order. All routers follow the state that
// one of them, the lead, writes to the store. The lead adds up the outcomes that
// all routers report and ends the roll-out. In the canary phase the new version
// gets a small share of new work, within a budget of requests. Unless it looks
// bad, it gets all new work as soon as the requests expected in the remaining
// time fit into the budget. From then on, standby copies of runs are kept on new
// endpoints only, since the old endpoints are stopped at the end.
//
// The full load is a permission that the lead renews with its replies to the
// totals, and that lapses without them. Each router also judges its own totals,
// and sends a version that it finds bad nothing more.
//
// A ledger holds what is known of the service's other versions. Each order
// begins with the ledger that the one before leaves. Which versions may run a
// call follows from the state, the ledger and the versions that have endpoints:
//
//	r := rollout.New(order, bounds)
//	r.Report("vm2", totals)
//	next := r.Decide(now)
//	rule := r.Rule(present, draw, now) // for a call
//
// The package does no I/O. Its user writes the state to the store with a
// conditional write.
package rollout
