// Package journal replicates the records of running requests between routers, so
// that another router can resume a request when its router is lost.
//
// A Client sends batches of records to peers and reads a record back from a peer.
// A RecordStore holds the records that other routers sent. It deletes a record when
// its request has ended, when no batch for it has arrived for two minutes, or when
// all records together hold too many tokens:
//
//	s := &journal.RecordStore{}
//	journal.Register(m, s)
//	c := &journal.Client{HTTP: cbor.NewHTTPClient(secret)}
//	missing, err := c.Keep(ctx, "http://10.0.0.2:8301", records)
package journal
