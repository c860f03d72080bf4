// Package claim decides on calls to plain services: which may be sent, how
// often, and what their callers are told.
//
// A call that may run at most once follows one order: its claim is committed,
// its bytes are sent to one endpoint, its answer is recorded. The ledger keeps
// one claim for each key, with the nonce of its claimant; a router sends only
// after it has seen its own nonce on record. "Not run" is said only of a call
// whose bytes can't have left. Idempotent calls are retried elsewhere inside a
// retry budget:
//
//	s.Begin(now, true, []table.Event{table.ServiceArrived{Ask: ask}})
//	claim.Claim{}.Step(s)
//	commands := s.Take() // a table.Commit, or a table.Send for a lookup
package claim
