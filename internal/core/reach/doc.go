// Package reach tracks which endpoints a router can't reach over its own links,
// and selects the routers through which it reaches them instead.
//
// The failure of a connection does not tell whether the endpoint or the link
// has failed. It is the link if another router connects to the endpoint at the
// same time. Links then counts it as lost, until a probe gets through:
//
//	if links.IsLost(at) && links.TakeProbe(at, now) {
//		// try the link again, while calls go through another router
//	}
//	for _, helper := range helpers.Order(known, now) {
//		...
//	}
//
// Both types do no I/O, take the time as an argument and are not safe for
// concurrent use.
package reach
