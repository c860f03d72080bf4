// Package sighting tells all routers of an engine that one of them has identified while the
// registry is away, so that not each of them has to find out by a call that is refused.
//
//	mux.Handle(sighting.Path, sighting.NewHandler(router))
//	t := sighting.Teller{HTTP: client, Peers: peers, Log: log, Group: &group}
//	t.Tell(entry)
package sighting
