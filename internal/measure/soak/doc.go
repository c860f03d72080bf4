// Package soak runs the real program as many processes, injects faults from outside and checks
// what callers and replicas see.
//
// A plan of faults is drawn from a seed, so the same seed strikes in the same way:
//
//	r := soak.Run{Plan: soak.Draw(7, soak.Usual, 30*time.Second), Bin: "bin", Keep: dir, Out: os.Stdout}
//	broken, err := r.Do(ctx)
//
// All connections between routers, replicas and the store pass through loopback relays in this
// process, which can delay, reset, silence or cut them one way. Processes are stopped, paused,
// killed and restarted by signals to their ids; only processes that Run started are ended.
package soak
