// Package permit bounds the calls that a fleet of routers has under way at brittle endpoints, which fall over when they have to
// turn away more than a few calls in a second.
//
// A Tracker knows which endpoints are brittle, by their answers. Each of these has one owner among the routers, which grants a permit
// for each call. The number of permits starts low, grows while none of the calls is turned away, up to the slots of the endpoint,
// and falls when one is:
//
//	grant := owner.Take(endpoint, permit.Question{Slots: 16, Tolerance: 8, Lease: 3 * time.Second}, now)
//	if grant.Granted() {
//		// send the call
//		owner.Return(endpoint, grant.ID, rejected, now)
//	}
//
// A permit that is not returned, as its router is lost, ends with its lease. The package does no I/O and takes the time as an
// argument; its types are not safe for concurrent use.
package permit
