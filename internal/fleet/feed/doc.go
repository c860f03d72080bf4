// Package feed serves a router's copy of the store's contents to other routers, so
// that they need not read the store themselves.
//
//	mux.Handle(feed.NewHandler(cache))
//	source := client.Source("10.1.0.19:8748")
//	items, revision, err := source.Watch(ctx, "", after, wait)
package feed
