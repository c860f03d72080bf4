// Package resume measures how long answers stall after a fault, and how many extra tokens a resume costs.
//
// Each run starts a fleet on loopback, lets several callers read long answers,
// injects one fault while they do, and compares each answer with the one that the
// deterministic stand-in engines must give. As the baseline, a caller without a
// router restarts from the first token on another of the engines:
//
//	rows, err := resume.Study{Runs: 3}.Measure(ctx)
package resume
