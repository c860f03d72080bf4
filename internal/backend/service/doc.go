// Package service speaks to plain services over HTTP and says what is known of
// a call that failed.
//
//	c := &service.Client{}
//	reply, err := c.Do(ctx, "http://127.0.0.1:9301", jaywind.Exchange{Method: "GET", Path: "/quotes"})
//	if errors.Is(err, jaywind.ErrNotSent) {
//		// no byte of the call has left
//	}
//
// A call that may not be repeated gets a connection of its own, and the
// connection itself notes whether a byte was written. A pooled connection won't
// do: net/http takes a request with an Idempotency-Key as one that it may send
// again when a pooled connection breaks. The limit Exchange.NotAfter is looked at
// in the connection as well, right before the first byte, so that a process
// which was paused while it connected does not send a call that is too late.
package service
