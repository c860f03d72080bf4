// Package router carries the calls of callers to the endpoints of services.
//
// A Router knows the operator's configuration and the endpoints that a registry
// holds; both are set from outside as they change. Serve takes one request from
// its arrival to its final answer: it chooses endpoints, sends, repeats what may
// be repeated within the fleet's budget, and carries streams on where their
// endpoint is lost:
//
//	r := &router.Router{Self: "vm1", Upstream: upstream, Log: log}
//	r.Adopt(set)
//	r.Learn(entry)
//	r.Serve(ctx, ask, answer)
//
// The decisions are in core/route, core/endpoint, core/series and core/retry;
// this package carries them out.
package router
