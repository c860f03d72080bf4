// Package quota exchanges the demands of organisations between their home routers.
//
// A home router sends the demands that it sees to the other home routers and gets
// theirs in the reply, so that the home routers can divide the organisation's rate
// limit among them:
//
//	c := &quota.Client{HTTP: cbor.NewHTTPClient(secret)}
//	theirs, err := c.ExchangeDemands(ctx, "http://10.0.0.2:8301", "vm1", demands)
package quota
