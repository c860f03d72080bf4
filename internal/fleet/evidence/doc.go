// Package evidence sends the reports of moves between routers.
//
// A report is sent once to each member that needs it and is not passed on. A gossip
// note, in contrast, is sent several times by every member. The reply to a report is
// also a note; it holds what the receiver has decided, or is empty:
//
//	c := &evidence.Client{HTTP: cbor.NewHTTPClient(secret)}
//	reply, err := c.Report(ctx, "http://10.0.0.2:8301", note)
package evidence
