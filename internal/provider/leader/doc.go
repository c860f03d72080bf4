// Package leader keeps what moves need in the platform's store: the record of
// how a move ended, and the lease of the one router that gives orders.
//
// The lease says who should give orders. What makes that safe is the fencing
// number, which a new holder raises by compare-and-swap. Endpoints that ignore
// it are protected otherwise: the holder checks before each order that its lease
// outlasts the order, and a successor waits out the old lease and the longest
// order. Orders say a wanted state, which is read back from the load report and
// asked for again until it is true:
//
//	w := &leader.Leader{Self: "vm1", Store: store, Engine: engine}
//	group.Go(func() { w.Run(ctx) })
//	w.SetWants(wants)
package leader
