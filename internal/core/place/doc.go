// Package place chooses the endpoint for each attempt that is ready to start.
//
// Of the endpoints that may serve the request, two are drawn at random and the
// one with less work in flight is taken. Endpoints that leave, whose breaker is
// open or that have just failed the request receive nothing:
//
//	place.Place{}.Step(state) // emits table.Open for each request in state.Ready
package place
