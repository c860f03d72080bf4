// Package limit keeps a fleet of routers within the request rates that endpoints name for all routers together.
//
// Each limited endpoint has a few owners among the routers, which divide its rate between them. A Sender asks an owner before
// each request to such an endpoint, or uses what is left of an earlier grant. An Owner grants requests at its part of the rate:
//
//	decision, at, question := sender.Begin(endpoint, jaywind.PriorityNormal, owners, now)
//	if decision == limit.Ask {
//		grant := owner.Answer(endpoint, question, part, now) // at the router at
//		allowed = sender.Apply(endpoint, at, question, grant, now)
//	}
//
// No router sends at a rate of its own while it reaches an owner, so the total does not grow with the number of routers, and a
// router with little traffic does not hold back a part that others need. A router that reaches no owner may send an equal part
// of the rate. The package does no I/O and takes the time as an argument; its types are not safe for concurrent use.
package limit
