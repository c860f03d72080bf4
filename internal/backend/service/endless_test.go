package service_test

import (
	"context"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind"
	backend "jaywind/internal/backend/service"
	"jaywind/internal/standin/socket"
)

// TestEndlessReplies guards against a head, or a reply, that is kept in memory as long as it goes on.
func TestEndlessReplies(t *testing.T) {
	const maxKB = 20 << 10
	tests := map[string]struct {
		start, part string
		pooled      bool
	}{
		"head":                      {"HTTP/1.1 200 OK\r\n", "A: b\r\n", false},
		"interim responses":         {"", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n", false},
		"head, pooled":              {"HTTP/1.1 200 OK\r\n", "A: b\r\n", true},
		"interim responses, pooled": {"", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n", true},
		"reply":                     {"HTTP/1.1 200 OK\r\n\r\n", "x", false},
		"reply, pooled":             {"HTTP/1.1 200 OK\r\n\r\n", "x", true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			at := startFlood(t, c.start, c.part)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err := (&backend.Client{}).Do(ctx, at, jaywind.ServiceRequest{Method: "GET", Path: "/", ReuseConnection: c.pooled})
			runtime.ReadMemStats(&after)
			used := (after.TotalAlloc - before.TotalAlloc) >> 10
			t.Logf("%d KB allocated: %v", used, err)
			is.True(err != nil)
			is.True(ctx.Err() == nil)
			is.True(used < maxKB)
		})
	}
}

// startFlood sends start, and then part without end, on each connection as soon as a request begins to arrive.
func startFlood(t *testing.T, start, part string) jaywind.Address {
	t.Helper()
	block := []byte(strings.Repeat(part, 1+(16<<10)/len(part)))
	return jaywind.Address("http://" + socket.Serve(t, func(conn net.Conn) {
		_, _ = conn.Read(make([]byte, 1<<10))
		_, err := io.WriteString(conn, start)
		for err == nil {
			_, err = conn.Write(block)
		}
	}))
}
