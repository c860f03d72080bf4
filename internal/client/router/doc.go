// Package router is a client for generations that reconnects until it has the
// whole answer.
//
// The client gets the list of entries to use from a router and caches it for the
// stated time. When a connection breaks or times out, it reconnects to another
// entry with its bookmark and the tokens received so far. It verifies the running
// digest of the tokens:
//
//	c := &router.Client{Entries: []jaywind.Address{"http://127.0.0.1:8101"}}
//	answer, err := c.Generate(ctx, router.Request{Model: "heat", Prompt: "fins", MaxTokens: 100})
package router
