// Package resume measures how soon output goes on after a loss, and what it costs.
//
// Each run starts a fleet on loopback, lets some callers read long answers,
// brings about one fault in mid-answer and compares each answer with the one
// that the engines must give. A caller without a router, which starts again from
// the first token, runs before the same engines as the baseline:
//
//	rows, err := resume.Study{Runs: 3}.Measure(ctx)
package resume
