// Package weights speaks to the platform's rate-limited weight store over HTTP.
//
// A load of a version is ordered only after a turn for it was reserved:
//
//	c := &weights.Client{URL: "http://127.0.0.1:9300"}
//	err := c.Reserve(ctx, "heat", "v2") // wraps jaywind.ErrBusy while the rate is spent
package weights
