// Package gossip sends membership messages between routers and copies the accepted rules
// from one router to another.
//
// Messages are connect calls. Members are encoded as CBOR arrays, so that one takes
// about 80 bytes:
//
//	mux.Handle("/fleet/", gossip.NewHandler(router))
//
//	c := &gossip.Client{HTTP: cbor.NewHTTPClient(secret)}
//	reply, err := c.Exchange(ctx, "http://10.0.0.2:8301", message)
package gossip
