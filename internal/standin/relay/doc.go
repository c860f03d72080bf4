// Package relay stands in for what lies between two ends of a connection and may
// lose track of it.
//
// A Relay carries the connections of a listener to a target and holds back what
// its faults say, as a network does that drops packets: neither end hears of it,
// and what was held goes on once the fault is gone.
//
//	r := &relay.Relay{Target: "127.0.0.1:9101"}
//	group.Go(func() { err = r.Serve(listener) })
//	r.Set(relay.Faults{Silent: true}) // connections open now are silent for good
package relay
