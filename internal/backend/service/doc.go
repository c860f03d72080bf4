// Package service is an HTTP client for plain services. It reports whether a
// request that failed may have been run.
//
//	c := &service.Client{}
//	reply, err := c.Do(ctx, "http://127.0.0.1:9301", jaywind.ServiceRequest{Method: "GET", Path: "/quotes"})
//	if errors.Is(err, jaywind.ErrNotSent) {
//		// no byte of the request was sent
//	}
//
// A request that must not be repeated gets a new connection, which records
// whether a byte was written. A pooled connection can't be used for it, as
// net/http retries a request with an Idempotency-Key when a pooled connection
// breaks. The connection also checks ServiceRequest.SendBefore right before the
// first byte, so that a process that was paused while it connected does not send
// a request too late.
package service
