package store_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"jaywind"
	"jaywind/internal/provider/store"
	standin "jaywind/internal/standin/store"
)

// TestMetrics checks that the metrics show the calls to the store, their failures, and whether the breaker is open.
func TestMetrics(t *testing.T) {
	ctx := context.Background()
	tests := map[string]struct {
		use  func(s *store.Client, f *standin.Store)
		want map[string]int64 // all others are 0
	}{
		"nothing": {func(*store.Client, *standin.Store) {}, nil},
		"each kind": {
			func(s *store.Client, _ *standin.Store) {
				r, _ := s.Swap(ctx, "k", []byte("abc"), "")
				_, _ = s.Get(ctx, "k")
				_, _ = s.Watch(ctx, "k", "")
				_ = s.Delete(ctx, "k", r)
				id, _ := s.Grant(ctx, time.Minute)
				_ = s.Renew(ctx, id)
			},
			map[string]int64{
				"store.calls.write": 1, "store.calls.read": 1, "store.calls.watch": 1, "store.calls.delete": 1,
				"store.calls.lease": 2, "store.bytes.out": 3, "store.bytes.in": 6,
			},
		},
		"absent and conflict are no failures": {
			func(s *store.Client, _ *standin.Store) {
				_, _ = s.Get(ctx, "k")
				_, _ = s.Swap(ctx, "k", nil, `"7"`)
			},
			map[string]int64{"store.calls.read": 1, "store.calls.write": 1},
		},
		"replies lost": {
			func(s *store.Client, f *standin.Store) {
				r, _ := s.Swap(ctx, "k", nil, "")
				f.SetFaults(standin.Faults{LoseReplies: 2})
				_ = s.Delete(ctx, "k", r)
				_, _ = s.Swap(ctx, "l", nil, "")
			},
			map[string]int64{"store.calls.write": 2, "store.calls.delete": 1, "store.failed.write": 1, "store.failed.delete": 1},
		},
		"outage": {
			func(s *store.Client, f *standin.Store) {
				f.SetFaults(standin.Faults{Down: true})
				for range 5 {
					_, _ = s.Get(ctx, "k")
				}
			},
			map[string]int64{"store.calls.read": 3, "store.failed.read": 3, "store.refused": 2, "store.open": 1},
		},
		"a watch that its caller ends": {
			func(s *store.Client, _ *standin.Store) {
				short, cancel := context.WithTimeout(ctx, 10*time.Millisecond)
				defer cancel()
				_, _ = s.Watch(short, "k", "")
			},
			map[string]int64{"store.calls.watch": 1},
		},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			f := &standin.Store{}
			server := httptest.NewServer(f.Handler())
			defer server.Close()
			transport := &http.Transport{}
			defer transport.CloseIdleConnections()
			r := metrics.NewRegistry()
			c.use(&store.Client{URL: jaywind.Address(server.URL), Transport: transport, Metrics: r}, f)
			checkMetrics(is.New(t), r, c.want)
		})
	}
}

func checkMetrics(is *is.I, r metrics.Registry, want map[string]int64) {
	is.Helper()
	got := map[string]int64{}
	r.Each(func(name string, m any) {
		var n int64
		switch m := m.(type) {
		case metrics.Counter:
			n = m.Count()
		case metrics.Gauge:
			n = m.Value()
		}
		if n != 0 {
			got[name] = n
		}
	})
	is.Equal(len(got), len(want))
	for name, n := range want {
		is.Equal(got[name], n) // value of the metric
	}
}
