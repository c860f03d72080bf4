// Package relay is a TCP proxy that injects network faults.
//
// A Relay forwards the connections of a listener to a target. Its faults hold data
// back without an error at either end, as a network does that drops packets; held
// data is sent once the fault is gone. A connection that was open when Blackhole
// was set never carries data again, as behind a firewall that lost its state.
//
//	r := &relay.Relay{Target: "127.0.0.1:9101"}
//	group.Go(func() { err = r.Serve(listener) })
//	r.Set(relay.Faults{Blackhole: true}) // for good, on the open connections
package relay
