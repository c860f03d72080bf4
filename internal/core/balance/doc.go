// Package balance chooses the endpoints of plain calls by the time that they are expected to take.
//
// A router holds a Balancer for each service. It learns from the router's own calls, and from the
// summaries of all routers' calls:
//
//	b := &balance.Balancer{}
//	b.Apply(summary, now)
//	if b.Arrive(candidates, balance.Safe, now) {
//		// refuse the call; b.RetryAfter(candidates, now) is when to come back
//	}
//	choice := b.Choose(candidates, balance.Safe, now)
//	c := b.Start(choice, now)
//	b.End(c, balance.Answered, later)
//	report.Plain = b.Samples()
//
// Endpoints are drawn at random, with a weight that falls with the expected time. Routers act on
// summaries that are up to some seconds old, so taking the best endpoint in each would send the
// calls of all routers to one endpoint. An endpoint that is slow or turns calls away has hardly any
// weight; it gets single calls as probes, about one of the whole fleet at a time.
//
// A Balancer does no I/O and takes the time as an argument. It is not safe for concurrent use.
package balance
