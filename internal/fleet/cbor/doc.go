// Package cbor configures the calls between routers: connect over cleartext HTTP/2
// with a CBOR codec. Messages are plain structs, so no code is generated.
//
//	m := http.NewServeMux()
//	m.Handle("/fleet/gossip", connect.NewUnaryHandler("/fleet/gossip", serve, cbor.HandlerOptions()...))
//	server.Handler = cbor.RequireSecret(secret, m)
//
//	c := connect.NewClient[request, response](cbor.NewHTTPClient(secret), url+"/fleet/gossip", cbor.ClientOptions()...)
package cbor
