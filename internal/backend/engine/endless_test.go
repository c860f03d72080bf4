package engine

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/internal/standin/socket"
)

// TestEndlessResponses guards against a head, or a reply, that is kept in memory as long as it goes on.
func TestEndlessResponses(t *testing.T) {
	const maxKB = 8 << 10
	load := func(ctx context.Context, at jaywind.Address) error {
		_, err := (&Client{}).Load(ctx, at)
		return err
	}
	open := func(ctx context.Context, at jaywind.Address) error {
		s, err := (&Client{}).Open(ctx, at, call)
		if err != nil {
			return err
		}
		defer func() { _ = s.Close() }()
		_, err = s.Next()
		return err
	}
	const head = "HTTP/1.1 200 OK\r\n\r\n"
	tests := map[string]struct {
		call        func(ctx context.Context, at jaywind.Address) error
		start, part string
	}{
		"head":              {load, "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"interim responses": {load, "", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"},
		"reply":             {load, head + `{"loaded":["`, "x"},
		"refusal":           {open, "HTTP/1.1 503 No\r\n\r\n", "x"},
		"head of a stream":  {open, "HTTP/1.1 200 OK\r\nA: ", "x"},
		"event":             {open, head + "data: ", "x"},
		"lines of an event": {open, head, "data: x\n"},
		"comments":          {open, head, ": x\n"},
		"blank lines":       {open, head, "\n"},
		"empty events":      {open, head, ": x\n\n"},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			at := startFlood(t, c.start, c.part)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			err := c.call(ctx, at)
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

// TestHeartbeats checks that comments between frames may add up to any length.
func TestHeartbeats(t *testing.T) {
	is := is.New(t)
	const frames = 40
	frame := strings.Repeat(": still here\n\n", 2000) + "data: {\"position\":1,\"choices\":[{}]}\n\n"
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat(frame, frames))
	}))
	defer s.Close()
	stream, err := (&Client{}).Open(context.Background(), jaywind.Address(s.URL), call)
	is.NoErr(err)
	defer func() { _ = stream.Close() }()
	for range frames {
		_, err := stream.Next()
		is.NoErr(err)
	}
	_, err = stream.Next()
	is.True(errors.Is(err, io.EOF))
}
