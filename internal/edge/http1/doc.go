// Package http1 bounds what the clients of an HTTP/1 server can make it hold.
//
// A Listener passes a request's head on to the server only when it has arrived whole, so that a client that is slow, or never ends
// it, costs no more than its bytes. All memory that a connection costs is charged to a budget before it is taken. When that is
// short, idle connections are closed first, then the dearest of those that have sent a part of a request; a request that has been
// passed on is never cut off.
//
//	l := &http1.Listener{Listener: tcp, Memory: budget, Heads: heads, MaxConns: 2000, HeadTimeout: 5 * time.Second}
//	server := &http.Server{Handler: h}
//	l.Configure(server)
//	err := server.Serve(l)
package http1
