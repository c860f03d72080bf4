// Package journal carries the records of requests between routers and keeps
// those of others.
//
// A Client hands batches to peers and asks them for a record; a Book is what a
// router keeps for the others. It forgets a record when its request has ended,
// when nothing was heard of it for a while, or when it holds too many tokens:
//
//	b := &journal.Book{}
//	journal.Register(m, b)
//	c := &journal.Client{HTTP: cbor.NewHTTPClient(secret)}
//	gaps, err := c.Keep(ctx, "http://10.0.0.2:8301", records)
package journal
