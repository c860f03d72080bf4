// Package claim decides which calls to plain services may be sent and how often,
// and how they are answered.
//
// A call that isn't idempotent and has an idempotency key, or that the rules say
// runs at most once, goes through three steps: its claim is committed, its bytes
// are sent to one endpoint, its answer is recorded. The ledger holds one claim for
// each idempotency key, with the nonce of the request that made it; a router sends
// only after it has read its own nonce from the ledger. Any other call that isn't
// idempotent is sent once, without a claim. A call is answered with "not run" only
// if none of its bytes can have been sent. Idempotent calls are retried at other
// endpoints within a retry budget:
//
//	s.BeginTick(now, true, []table.Event{table.ServiceArrived{Request: request}})
//	claim.Claim{}.Step(s)
//	commands := s.TakeCommands() // a table.CommitClaim, or a table.SendCall for a call that needs no claim
package claim
