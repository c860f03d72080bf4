// Package endpoint keeps the endpoints of a registry and chooses among them.
//
// A Table holds one row for each incarnation of an endpoint: what the registry
// says of it, what this router has sent to it, and what its answers showed. A
// choice weighs own work, memory and prompts left to read, so that it needs no
// report of the endpoint's:
//
//	e := table.Choose(service, endpoint.Need{Tokens: 6000}, now)
//	table.Start(e, need)
//	defer table.Finish(e, need)
//
// A Table does no I/O and takes the time from its caller. Its user serialises
// the calls.
package endpoint
