package quota

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"jaywind"
	"jaywind/internal/fleet/cbor"
)

const secret = "0123456789abcdef"

// home answers with fixed demands.
type home struct {
	from jaywind.VM
	got  []jaywind.Demand
	own  []jaywind.Demand
	err  error
}

func (h *home) TakeDemands(_ context.Context, from jaywind.VM, demands []jaywind.Demand) ([]jaywind.Demand, error) {
	h.from, h.got = from, demands
	return h.own, h.err
}

func TestTell(t *testing.T) {
	tests := map[string]struct {
		secret string
		err    error // of the router
		ok     bool
	}{
		"answered":       {secret: secret, ok: true},
		"router stopped": {secret: secret, err: errors.New("stopped")},
		"wrong secret":   {secret: "0123456789abcdeg"},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := &home{own: []jaywind.Demand{{Organisation: "lagos", Rate: 0.25}}, err: c.err}
			at, _ := serve(t, h)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			asked := []jaywind.Demand{{Organisation: "lagos", Rate: 12.5}, {Organisation: "onne", Rate: 3}}
			got, err := (&Client{HTTP: cbor.NewHTTPClient(c.secret)}).ExchangeDemands(ctx, at, "vm1", asked)
			is.Equal(err == nil, c.ok)
			if c.ok {
				is.Equal(h.from, jaywind.VM("vm1"))
				is.Equal(h.got, asked)
				is.Equal(got, h.own)
			}
		})
	}
}

// serve returns the address of a handler's server and the bytes that its connections carry.
func serve(tb testing.TB, h *home) (jaywind.Address, metrics.Counter) {
	tb.Helper()
	server := httptest.NewUnstartedServer(cbor.Guard(secret, NewHandler(h)))
	server.Config.Protocols = cbor.Protocols()
	count := metrics.NewCounter()
	server.Listener = cbor.Traffic{In: count, Out: count}.Listen(server.Listener)
	server.Start()
	tb.Cleanup(server.Close)
	return jaywind.Address(server.URL), count
}

// BenchmarkTell reports the bytes of a call both ways, on a new connection and on one that stands.
func BenchmarkTell(b *testing.B) {
	for _, n := range []int{1, 8, 32} {
		for _, fresh := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d organisations, new connection %v", n, fresh), func(b *testing.B) {
				var demands []jaywind.Demand
				for i := range n {
					demands = append(demands, jaywind.Demand{Organisation: jaywind.Organisation(fmt.Sprintf("organisation-%05d", i)), Rate: 12.345})
				}
				at, count := serve(b, &home{own: demands})
				c := &Client{HTTP: cbor.NewHTTPClient(secret)}
				calls := 0
				for b.Loop() {
					if _, err := c.ExchangeDemands(context.Background(), at, "vm-harmattan-apapa-01", demands); err != nil {
						b.Fatal(err)
					}
					calls++
					if fresh {
						c.HTTP = cbor.NewHTTPClient(secret)
					}
				}
				b.ReportMetric(float64(count.Count())/float64(calls), "bytes/call")
			})
		}
	}
}
