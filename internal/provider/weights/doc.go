// Package weights is an HTTP client for the platform's rate-limited weight store.
//
// Before a load of a version is ordered, it must be reserved:
//
//	c := &weights.Client{URL: "http://127.0.0.1:9300"}
//	err := c.Reserve(ctx, "heat", "v2") // wraps jaywind.ErrBusy while the rate limit is exceeded
package weights
