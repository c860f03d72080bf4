// Package drain decides which work a stopping router still accepts and when it exits, and ends its calls in time.
//
// Callers find routers through a directory and cache its answer for a while, so new calls arrive
// after the order to stop. At first the router accepts all of them, later only work that can be
// expected to end before the process is killed:
//
//	plan := drain.Plan{Grace: 8 * time.Second, AnswerTTL: time.Second}
//	for !plan.Done(elapsed, idle, active) {
//		limit := plan.MaxWork(elapsed) // run time of new work
//	}
//	calls.Wait(plan.MaxWait(elapsed))
package drain
