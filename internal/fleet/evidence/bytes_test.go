package evidence

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"jaywind"
	"jaywind/internal/fleet/cbor"
)

// BenchmarkCall sends reports and reports the bytes of a call in addition to the values of both notes.
// In "each second" a call is made about once a second, so that each response carries a new Date header.
func BenchmarkCall(b *testing.B) {
	const value, reply = 150, 30
	s := &fakeRouter{reply: jaywind.Note{Kind: "move", Value: make([]byte, reply)}}
	server := httptest.NewUnstartedServer(cbor.RequireSecret(secret, NewHandler(s)))
	bytes := metrics.NewCounter()
	server.Listener = cbor.TrafficCounter{In: bytes, Out: bytes}.Listener(server.Listener)
	server.Config.Protocols = cbor.Protocols()
	server.Start()
	defer server.Close()
	c := &Client{HTTP: cbor.NewHTTPClient(secret)}
	n := jaywind.Note{Kind: "move", Value: make([]byte, value)}
	call := func() {
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		defer cancel()
		if _, err := c.Report(ctx, jaywind.Address(server.URL), n); err != nil {
			b.Fatal(err)
		}
	}
	for name, pause := range map[string]time.Duration{"at once": 0, "each second": 1050 * time.Millisecond} {
		b.Run(name, func(b *testing.B) {
			call() // opens the connection
			bytes.Clear()
			for b.Loop() {
				call()
				time.Sleep(pause)
			}
			b.ReportMetric(float64(bytes.Count())/float64(b.N)-value-reply, "extra-bytes/call")
		})
	}
}
