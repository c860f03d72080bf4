// Package memory divides a VM's memory among what its peers make a router hold: callers' connections and requests, and
// endpoints' answers.
//
//	plan := memory.Divide(88 * memory.MB)
//	answers := &memory.Budget{Limit: plan.Answers}
//	ctx, end := memory.WithScope(ctx)
//	defer end() // returns what the request has kept
//	if err := answers.Acquire(ctx, n); err == nil {
//		memory.Keep(ctx, answers, n)
//	}
package memory
