// Package gossip carries messages of membership and copies of the accepted rules between routers.
//
// Messages are connect calls with CBOR arrays, so that a row of the member
// table costs some 80 bytes:
//
//	mux.Handle("/fleet/", gossip.NewHandler(router))
//
//	c := &gossip.Client{HTTP: cbor.NewHTTPClient(secret)}
//	answer, err := c.Exchange(ctx, "http://10.0.0.2:8301", message)
package gossip
