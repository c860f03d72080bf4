// Package leader stores what moves need in the platform's key-value store: the
// record of how a move ended, and the lease of the leader, the one router that
// sends load and unload orders to endpoints.
//
// The lease elects the leader. A fencing number, which each new holder raises by
// compare-and-swap, lets endpoints reject the orders of a former holder.
// Endpoints that ignore it are protected by time: the holder checks before each
// order that its lease outlasts the order, and a new holder waits for the
// duration of a full lease and one order first. An order requests a state, which
// is verified by the load report and requested again until it is reached:
//
//	w := &leader.Leader{Self: "vm1", Store: store, Engine: engine}
//	group.Go(func() { w.Run(ctx) })
//	w.SetDesiredStates(states)
package leader
