// Package offer lets a router place a call at an engine of another router's part, by the word of that
// router, which knows the work there.
//
//	mux.Handle(offer.Handler(router))
//	a := offer.Asker{HTTP: client, Peers: peers, Log: log, Group: &group}
//	offers := a.Ask(ctx, "pool", need)
//	a.Take(offers[0], "pool", need, request)
//	defer a.Release(offers[0], request)
package offer
