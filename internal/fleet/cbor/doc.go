// Package cbor carries calls between routers: connect over HTTP/2 cleartext with
// a CBOR codec, so that plain structs are the messages and nothing is generated.
//
//	m := http.NewServeMux()
//	m.Handle("/fleet/gossip", connect.NewUnaryHandler("/fleet/gossip", serve, cbor.HandlerOptions()...))
//	server.Handler = cbor.Guard(secret, m)
//
//	c := connect.NewClient[ask, answer](cbor.NewHTTPClient(secret), url+"/fleet/gossip", cbor.ClientOptions()...)
package cbor
