// Package sighting announces between routers what the registry does not tell. While it can't be
// read, a router that has identified an endpoint by itself announces it to all other routers, so
// that they need not identify it by a call that is refused. A router that an endpoint has told of
// its departure announces that, unless the registry or another router does so first.
//
//	sighting.Handle(mux, router)
//	a := sighting.Announcer{HTTP: client, Peers: peers, Log: log, Calls: &calls}
//	a.Announce(entry)
package sighting
