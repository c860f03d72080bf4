package store

import (
	"sync"

	"github.com/rcrowley/go-metrics"
)

// callKind is the kind of a store call.
type callKind int

const (
	kindRead callKind = iota
	kindWatch
	kindWrite
	kindDelete
	kindLease
	kindCount
)

var kindNames = [kindCount]string{"read", "watch", "write", "delete", "lease"}

// counters are the metrics of a client.
type counters struct {
	once    sync.Once
	calls   [kindCount]metrics.Counter
	failed  [kindCount]metrics.Counter
	refused metrics.Counter
	in, out metrics.Counter // bytes of values
}

// counts returns the client's counters, which are registered on first use.
func (c *Client) counts() *counters {
	u := &c.counters
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
		_ = r.Register("store.era", metrics.NewFunctionalGauge(c.era.Load))
		_ = r.Register("store.open", metrics.NewFunctionalGauge(c.openCount))
	})
	return u
}

// openCount returns 1 while the breaker is open, and 0 otherwise.
func (c *Client) openCount() int64 {
	if c.breaker.open() {
		return 1
	}
	return 0
}
