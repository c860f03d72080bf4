package evidence

import (
	"context"
	"net"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"jaywind"
	"jaywind/internal/fleet/cbor"
)

// meter counts the bytes of the connections that a listener accepts.
type meter struct {
	net.Listener
	bytes atomic.Int64
}

func (m *meter) Accept() (net.Conn, error) {
	c, err := m.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &metered{Conn: c, bytes: &m.bytes}, nil
}

type metered struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *metered) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *metered) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkCall hands over reports with an answer and reports the bytes of a call beyond those of both notes' values;
// with a second between calls each answer carries a new date.
func BenchmarkCall(b *testing.B) {
	const value, answer = 150, 30
	s := &sink{answer: jaywind.Note{Kind: "move", Value: make([]byte, answer)}}
	server := httptest.NewUnstartedServer(cbor.Guard(secret, NewHandler(s)))
	m := &meter{Listener: server.Listener}
	server.Listener = m
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
			m.bytes.Store(0)
			for b.Loop() {
				call()
				time.Sleep(pause)
			}
			b.ReportMetric(float64(m.bytes.Load())/float64(b.N)-value-answer, "extra-bytes/call")
		})
	}
}
