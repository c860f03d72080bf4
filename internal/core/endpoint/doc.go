// Package endpoint tracks the endpoints of a registry and selects among them.
//
// A Table holds one row for each incarnation of an endpoint: what the registry
// says of it, what this router has sent to it, and whether its answers failed.
// Selection depends on this router's own open calls, memory use and pending
// prefills, so it needs no load reports from the endpoints:
//
//	e := table.Choose(service, endpoint.Requirements{MemoryTokens: 6000}, now)
//	table.StartCall(e, need)
//	defer table.FinishCall(e, need)
//
// A Table does no I/O and takes the time as an argument. It is not safe for
// concurrent use.
package endpoint
