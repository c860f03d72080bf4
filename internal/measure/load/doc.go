// Package load measures goodput at capacity and under overload.
//
// Requests arrive at a fixed rate, whether or not earlier ones have ended (an open
// loop). Goodput counts the answers that are complete, whose first token came
// within its limit, and of whose token gaps 95% were within theirs. The baseline
// sends each request to a random engine without admission control:
//
//	rows, err := load.Study{Seconds: 5}.Measure(ctx)
package load
