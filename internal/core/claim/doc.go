// Package claim decides which calls to plain services may be sent and how often,
// and how they are answered.
//
// A call that may run at most once goes through three steps: its claim is
// committed, its bytes are sent to one endpoint, its answer is recorded. The
// ledger holds one claim for each idempotency key, with the nonce of the request
// that made it; a router sends only after it has read its own nonce from the
// ledger. A call is answered with "not run" only if none of its bytes can have
// been sent. Idempotent calls are retried at other endpoints within a retry
// budget:
//
//	s.Begin(now, true, []table.Event{table.ServiceArrived{Ask: ask}})
//	claim.Claim{}.Step(s)
//	commands := s.Take() // a table.Commit, or a table.Send for a lookup
package claim
