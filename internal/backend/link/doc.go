// Package link pools HTTP/1.1 connections to endpoints and sends one request at a time on each.
//
// Unlike net/http, it never sends a request a second time, reports whether any
// byte of it was sent, and reuses a connection only after a complete response
// with no bytes after it:
//
//	p := link.Pool{IdleTimeout: 10 * time.Second}
//	conn, err := p.Get(ctx, "10.128.0.9:8080")
//	err = conn.Send(request)
//	response, err := conn.ReadResponse("GET", deadline)
//	...
//	p.Put(conn)
package link
