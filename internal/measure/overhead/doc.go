// Package overhead measures the CPU time and latency that a router adds to each token.
//
// The same callers read the same answers directly from the engines and through a
// router, all in one process. The differences in CPU time and in the time between
// tokens are the router's overhead:
//
//	rows, err := overhead.Study{Callers: 50}.Measure(ctx)
package overhead
