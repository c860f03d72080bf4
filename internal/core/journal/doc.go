// Package journal replicates the progress of this router's generations to peers.
//
// Two peers hold the bookmark of each request. They are chosen by rendezvous
// hash of the request id, outside the router's own failure domain. The first of
// them also holds the tokens, unless the caller sends them back itself. New
// progress goes out in one batch for each peer, once MaxLagTokens tokens of a
// request are pending, or at the latest after MaxLag. Tokens that were not
// replicated when the router was lost are read from the engine's own stream, or
// a replica generates them again and the caller's digest checks them:
//
//	journal.Replicator{}.Step(state)            // emits table.KeepRecords
//	peers := journal.RecordHolders(state, "r1") // whom to ask after a loss
package journal
