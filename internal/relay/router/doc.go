// Package router forwards callers' requests to the endpoints of services.
//
// A Router uses the operator's configuration and the endpoints of a registry;
// its owner passes it each change of them. Serve takes one request from arrival
// to final response: it chooses endpoints, sends the request, retries it where
// its route allows that within the fleet's retry budget, and resumes a stream
// at another endpoint when its endpoint fails:
//
//	r := &router.Router{Self: "vm1", Upstream: upstream, Log: log}
//	r.SetConfig(set)
//	r.UpdateEndpoint(entry)
//	r.Serve(ctx, request, response)
//
// The decisions are made in core/route, core/endpoint, core/series, core/retry and
// core/rollout; this package carries them out.
package router
