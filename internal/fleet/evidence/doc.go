// Package evidence carries the reports of moves between routers, over connect.
//
// A report goes to each member that it is for once and is not passed on, unlike
// a note of the gossip, which every member sends several times. The answer is a
// note as well, with what the other router has decided, or empty:
//
//	c := &evidence.Client{HTTP: cbor.NewHTTPClient(secret)}
//	answer, err := c.Report(ctx, "http://10.0.0.2:8201", note)
package evidence
