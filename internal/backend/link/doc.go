// Package link pools HTTP/1.1 connections to endpoints and sends one request at a time on each.
//
// Unlike net/http, it never sends a request a second time, reports whether any
// byte of it was sent, and reuses a connection only after a complete response
// with no bytes after it, which names the request that it answers. An endpoint
// may write a response once more, when the next request has been sent: the copy
// of one that names no request, or the same one, would be taken for its answer.
//
//	p := link.Pool{IdleTimeout: 10 * time.Second}
//	conn, err := p.Get(ctx, "10.128.0.9:8080", "a1")
//	err = conn.Send(request)
//	response, err := conn.ReadResponse("GET", deadline)
//	...
//	p.PutAnswered(conn, "a1", false)
package link
