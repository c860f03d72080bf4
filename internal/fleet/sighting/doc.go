// Package sighting announces endpoints between routers while the registry can't be read. A
// router that has identified an endpoint by itself announces it to all other routers, so that
// they need not identify it by a call that is refused.
//
//	mux.Handle(sighting.Path, sighting.NewHandler(router))
//	a := sighting.Announcer{HTTP: client, Peers: peers, Log: log, Group: &group}
//	a.Announce(entry)
package sighting
