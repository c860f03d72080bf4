// Package overhead measures what a router adds to each token.
//
// The same callers read the same answers once straight from an engine and once
// through a router, in one process; the difference in processor time and in the
// times between tokens is the router's:
//
//	rows, err := overhead.Study{Callers: 50}.Measure(ctx)
package overhead
