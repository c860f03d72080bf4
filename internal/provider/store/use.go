package store

import (
	"sync"

	"github.com/rcrowley/go-metrics"
)

// kind is what a call of the store is for.
type kind int

const (
	kindRead kind = iota
	kindWatch
	kindWrite
	kindDelete
	kindLease
	kindCount // of kinds
)

var kindNames = [kindCount]string{"read", "watch", "write", "delete", "lease"}

// use counts what a client asks of the store.
type use struct {
	once    sync.Once
	calls   [kindCount]metrics.Counter
	failed  [kindCount]metrics.Counter
	refused metrics.Counter
	in, out metrics.Counter // bytes of values
}

// counts returns the client's counters, which are registered with the first call.
func (c *Client) counts() *use {
	u := &c.use
	u.once.Do(func() {
		r := c.Metrics
		if r == nil {
			r = metrics.NewRegistry()
		}
		for k, name := range kindNames {
			u.calls[k] = metrics.GetOrRegisterCounter("store.calls."+name, r)
			u.failed[k] = metrics.GetOrRegisterCounter("store.failed."+name, r)
		}
		u.refused = metrics.GetOrRegisterCounter("store.refused", r)
		u.in = metrics.GetOrRegisterCounter("store.bytes.in", r)
		u.out = metrics.GetOrRegisterCounter("store.bytes.out", r)
		_ = r.Register("store.open", metrics.NewFunctionalGauge(c.openCount))
	})
	return u
}

// openCount is 1 while the breaker is open.
func (c *Client) openCount() int64 {
	if c.breaker.open() {
		return 1
	}
	return 0
}
