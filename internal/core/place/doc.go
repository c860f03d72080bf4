// Package place chooses the endpoint for each attempt that is ready to start.
//
// A router uses a window of the ring of endpoints that serve a model and a
// version. The order of the ring is common to all routers and alternates
// between failure domains, so that each window has several of them, each
// endpoint is in about as many windows as any other, and a router that joins or
// leaves moves the others' windows by one endpoint at most. A window without a
// usable endpoint is widened.
//
// In the window, new work goes to the first endpoint in its prompt's own order
// that has little more than the average load, and short prompts to the less
// loaded of two drawn at random. Resumes go first, those with the
// most sunk work and the longest wait before others, each to the endpoint with
// the fewest tokens left to prefill, and only as fast as prefills are done:
//
//	place.Place{}.Step(state) // emits table.Open for each request in state.Ready
//
// A request that finds no endpoint waits with backoff. It is given up at once
// when no endpoint can come up in time.
package place
