// Package feed carries what a router knows of the store to routers that follow it.
//
//	mux.Handle(feed.Handler(board))
//	source := client.Source("10.1.0.19:8748")
//	items, revision, err := source.Watch(ctx, "", after, wait)
package feed
