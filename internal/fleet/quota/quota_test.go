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

// fakeRouter returns fixed demands and records those it receives.
type fakeRouter struct {
	from jaywind.VM
	got  []jaywind.Demand
	own  []jaywind.Demand
	err  error
}

func (r *fakeRouter) HandleDemands(_ context.Context, from jaywind.VM, demands []jaywind.Demand) ([]jaywind.Demand, error) {
	r.from, r.got = from, demands
	return r.own, r.err
}

func TestExchangeDemands(t *testing.T) {
	tests := map[string]struct {
		secret string
		err    error // returned by the router
		ok     bool
	}{
		"answered":       {secret: secret, ok: true},
		"router stopped": {secret: secret, err: errors.New("stopped")},
		"wrong secret":   {secret: "0123456789abcdeg"},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := &fakeRouter{own: []jaywind.Demand{{Organisation: "lagos", Rate: 0.25}}, err: c.err}
			at, _ := serve(t, r)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			sent := []jaywind.Demand{{Organisation: "lagos", Rate: 12.5}, {Organisation: "onne", Rate: 3}}
			got, err := (&Client{HTTP: cbor.NewHTTPClient(c.secret)}).ExchangeDemands(ctx, at, "vm1", sent)
			is.Equal(err == nil, c.ok)
			if c.ok {
				is.Equal(r.from, jaywind.VM("vm1"))
				is.Equal(r.got, sent)
				is.Equal(got, r.own)
			}
		})
	}
}

// serve starts the handler and returns its address and a counter of the bytes on its connections.
func serve(tb testing.TB, r *fakeRouter) (jaywind.Address, metrics.Counter) {
	tb.Helper()
	server := httptest.NewUnstartedServer(cbor.RequireSecret(secret, NewHandler(r)))
	server.Config.Protocols = cbor.Protocols()
	count := metrics.NewCounter()
	server.Listener = cbor.TrafficCounter{In: count, Out: count}.Listener(server.Listener)
	server.Start()
	tb.Cleanup(server.Close)
	return jaywind.Address(server.URL), count
}

// BenchmarkExchangeDemands reports the bytes per call in both directions, on new and on reused connections.
func BenchmarkExchangeDemands(b *testing.B) {
	for _, n := range []int{1, 8, 32} {
		for _, fresh := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d organisations, new connection %v", n, fresh), func(b *testing.B) {
				var demands []jaywind.Demand
				for i := range n {
					demands = append(demands, jaywind.Demand{Organisation: jaywind.Organisation(fmt.Sprintf("organisation-%05d", i)), Rate: 12.345})
				}
				at, count := serve(b, &fakeRouter{own: demands})
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
