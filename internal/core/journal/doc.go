// Package journal tells peers how far the generations of this router are.
//
// Two peers for each request, chosen by rendezvous hash of its id and outside
// of the router's own failure domain, keep its bookmark; the first of them also
// keeps the tokens, unless the caller sends them back itself. What is new goes
// out in one batch for each peer once a request has LagTokens of it, or at the
// latest after Lag; the tokens that a router's loss costs the record are in the
// engine's own stream, or a replica makes them again up to the caller's digest:
//
//	journal.Journal{}.Step(state)                 // emits table.Keep
//	peers := journal.Holders(state, "r1")         // whom to ask after a loss
package journal
