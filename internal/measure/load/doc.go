// Package load measures goodput at and beyond the engines' capacity.
//
// Requests arrive at a fixed rate whether or not earlier ones have ended. An
// answer counts as good when it is whole, its first token came in time and 95 in
// 100 of its token gaps were within the limit. The baseline sends each request
// to a random engine and admits all:
//
//	rows, err := load.Study{Seconds: 5}.Measure(ctx)
package load
