// Package soak runs a router fleet as separate processes, injects faults from outside and checks
// what callers and replicas observe.
//
// The faults are generated from a seed, so the same seed gives the same faults:
//
//	r := soak.Run{Plan: soak.NewPlan(7, soak.Usual, 30*time.Second), BinDir: "bin", OutputDir: dir, Out: os.Stdout}
//	violations, err := r.Do(ctx)
//
// All connections between routers, replicas and the store pass through loopback relays in this
// process, which can delay, reset, stall or block them in one direction. Processes are stopped,
// paused, killed and restarted by signals to their ids; only processes that Run started are ended.
package soak
