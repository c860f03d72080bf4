// Package drain decides what a router still does between the order to end and its end.
//
// Callers keep the directory's answer for a while, so they come on. All work is taken at first,
// later only what can be expected to end in time, and nothing that would be cut off by the kill:
//
//	plan := drain.Plan{Grace: 8 * time.Second, Hint: time.Second}
//	for !plan.Over(gone, quiet, active) {
//		brief := plan.Brief(gone) // for new work
//	}
package drain
