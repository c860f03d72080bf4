// Package rollout decides on an ordered change of a service's version.
//
// Each router keeps a Rollout for each order. All follow the steps that one of
// them, the lead, puts into the store; the lead counts the outcomes that all
// report and ends the roll-out. A small share goes to the new version first,
// within a budget of requests. Unless it looks bad it gets all new work as soon
// as what is left of the time fits into the budget, and runs on the old endpoints
// have their copies moved, since those are stopped at the end:
//
//	r := rollout.New(order, bounds, now)
//	r.Report("vm2", totals)
//	next := r.Decide(now)
//
// It does no I/O; its user writes Next to the store under a condition.
package rollout
