// Package router is the callers' side of a router: a client that brings home
// the whole answer.
//
// The client asks an entry which entries to use, keeps the list for the time
// stated, and reconnects to another entry with its bookmark and the tokens read
// when a connection breaks or falls silent. It checks the running digest:
//
//	c := &router.Client{Entries: []jaywind.Address{"http://127.0.0.1:8101"}}
//	answer, err := c.Ask(ctx, router.Question{Model: "heat", Prompt: "fins", Limit: 100})
package router
