// Package quota carries the demands of organisations between their home routers, over connect.
//
// A home tells the others what its callers ask for, and hears in the reply what
// theirs do, so that the homes share the organisation's limit:
//
//	c := &quota.Client{HTTP: cbor.NewHTTPClient(secret)}
//	theirs, err := c.Tell(ctx, "http://10.0.0.2:8201", "vm1", demands)
package quota
