// Package suspect lets routers find together which parts of prompts crash engines, and keep back the requests that have them.
//
// A router sends the runs that it loses at their beginning to the collectors of their service, which are a few routers that all choose
// alike. A collector that finds a candidate asks all routers whether a run has survived under it. If none has, the collector announces the
// quarantine to all routers and hands it to its owner, which stores it for routers that start later:
//
//	d := suspect.Detector{HTTP: client, Router: router, Collectors: collectors, Peers: peers, Persist: persist, Log: log}
//	d.Handle(mux)
//	group.Go(func() { d.Run(ctx) })
//	d.Report(loss)
package suspect
