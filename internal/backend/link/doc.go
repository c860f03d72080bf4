// Package link keeps HTTP/1.1 connections to endpoints and carries one call at a time on each.
//
// Unlike a general client it never sends a call a second time, tells whether a
// byte of it has left, and reuses a connection only after a whole answer with
// nothing behind it:
//
//	p := link.Pool{Idle: 10 * time.Second}
//	l, err := p.Get(ctx, "10.128.0.9:8080")
//	err = l.Send(head, body)
//	answer, err := l.Read("GET", deadline)
//	...
//	p.Put(l)
package link
