// Package place chooses an endpoint for each attempt that is ready to start.
//
// The endpoints that serve a version of a model form a ring, and a router uses
// a window of it. The order of the ring is the same at all routers and
// alternates between failure domains. Each window therefore spans several
// domains, and each endpoint is in about as many windows as any other. A
// router that joins or leaves shifts the windows of the others by at most one
// endpoint. A window without a usable endpoint is widened.
//
// Within the window, a new request with a long prompt goes to the first
// endpoint, in an order given by the prompt's prefix, whose load is not much
// above the average. A short prompt goes to the less loaded of two random
// endpoints. Resumed requests are placed first, those with the most tokens
// generated and the longest wait ahead of others. Each goes to the endpoint
// with the fewest tokens left to prefill, and they are throttled to the rate
// at which prefills complete:
//
//	place.Placement{}.Step(state) // emits table.OpenStream for each request in state.Ready
//
// A request that finds no endpoint waits with backoff. It is ended at once if
// no endpoint can become available in time.
package place
