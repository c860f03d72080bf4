// Package limit lets the routers of a fleet share the request rates that endpoints name for all of them together.
//
// A router asks an owner of a limited endpoint before it sends a request there. An owner that hears of a limit announces it to all
// routers, so that these need not find out by an answer of their own:
//
//	l := limit.Limiter{HTTP: client, Owners: owners, Peers: peers, Routers: routers, Log: log, Metrics: registry}
//	l.Handle(mux)
//	group.Go(func() { l.Run(ctx) })
//	l.Observe(endpoint, reading)
//	allowed, retry := l.Take(ctx, endpoint, jaywind.PriorityNormal)
package limit
