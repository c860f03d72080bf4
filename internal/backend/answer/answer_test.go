// Package answer_test checks what all clients of outside systems make of answers that are none.
package answer_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/internal/backend/engine"
	"jaywind/internal/client/operator"
	"jaywind/internal/client/router"
	"jaywind/internal/provider/store"
	"jaywind/internal/provider/vms"
	"jaywind/internal/provider/weights"
	"jaywind/internal/standin/socket"
)

const testTimeout = 10 * time.Second

// startServer answers each request with a text, and returns the address.
func startServer(t *testing.T, text string) jaywind.Address {
	t.Helper()
	return startPeer(t, func(c net.Conn) {
		request, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(c, text)
	})
}

// startPeer serves each connection with a function, and returns the address.
func startPeer(t *testing.T, serve func(c net.Conn)) jaywind.Address {
	t.Helper()
	return jaywind.Address("http://" + socket.Serve(t, serve))
}

// clients are the calls to outside systems that go through a Transport, besides plain services, with a body that they accept.
var clients = map[string]struct {
	body string
	call func(ctx context.Context, at jaywind.Address) error
}{
	"engine, load": {`{}`, func(ctx context.Context, at jaywind.Address) error {
		_, err := (&engine.Client{}).Load(ctx, at)
		return err
	}},
	"engine, order": {"", func(ctx context.Context, at jaywind.Address) error {
		return (&engine.Client{}).Order(ctx, at, jaywind.Order{Model: "heat", Version: "v1"})
	}},
	"engine, stream": {"", func(ctx context.Context, at jaywind.Address) error {
		s, err := (&engine.Client{}).Open(ctx, at, jaywind.Call{Request: "r"})
		if err == nil {
			_ = s.Close()
		}
		return err
	}},
	"store, read": {"value", func(ctx context.Context, at jaywind.Address) error {
		_, err := (&store.Client{URL: at}).Get(ctx, "k")
		return err
	}},
	"store, write": {"", func(ctx context.Context, at jaywind.Address) error {
		_, err := (&store.Client{URL: at}).Swap(ctx, "k", []byte("value"), "")
		return err
	}},
	"list of VMs": {`[]`, func(ctx context.Context, at jaywind.Address) error {
		_, err := (&vms.Client{URL: at}).List(ctx)
		return err
	}},
	"operator": {`{}`, func(ctx context.Context, at jaywind.Address) error {
		_, err := (&operator.Client{URL: at}).Status(ctx)
		return err
	}},
}

// TestStatusThatIsNoAnswer fails if a client takes a status outside 200 to 599 for an answer, or what its body holds.
func TestStatusThatIsNoAnswer(t *testing.T) {
	for name, c := range clients {
		for _, status := range []string{"000", "099", "101", "600", "999", "abc", "2000", "200"} {
			t.Run(name+", "+status, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
				defer cancel()
				head := fmt.Sprintf("HTTP/1.1 %s X\r\nContent-Length: %d\r\n\r\n%s", status, len(c.body), c.body)
				inner := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(c.body), c.body)
				if status != "200" {
					head = fmt.Sprintf("HTTP/1.1 %s X\r\nContent-Length: %d\r\n\r\n%s", status, len(inner), inner)
				}
				err := c.call(ctx, startServer(t, head))
				is.Equal(err == nil, status == "200")
				is.True(!errors.Is(err, jaywind.ErrNotSent)) // it may have run
				is.True(ctx.Err() == nil)
			})
		}
	}
}

// TestReservationWithoutAnswer fails if a status that is no answer lets a version be loaded beyond the weight store's limit.
func TestReservationWithoutAnswer(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			at := startServer(t, "HTTP/1.1 "+status+" X\r\nContent-Length: 27\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n")
			err := (&weights.Client{URL: at}).Reserve(context.Background(), "heat", "v1")
			is.New(t).True(errors.Is(err, jaywind.ErrStoreUnavailable))
		})
	}
}

// TestRouterWithoutStatus fails if the client library takes a status that is no answer for a refusal by a router, and gives up.
func TestRouterWithoutStatus(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			is := is.New(t)
			at := startServer(t, "HTTP/1.1 "+status+" X\r\nContent-Length: 0\r\n\r\n")
			c := &router.Client{Entries: []jaywind.Address{at}, MaxAttempts: 3}
			_, err := c.Generate(context.Background(), router.Request{Model: "heat", Prompt: "fins"})
			is.True(err != nil)
			var refusal *router.Refusal
			is.True(!errors.As(err, &refusal))
		})
	}
}

// TestWriteBrokenOff: a store answers a write at once, without a length, and resets the connection while the value is still being sent. The
// test fails if the write counts as done.
func TestWriteBrokenOff(t *testing.T) {
	for _, wait := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond} {
		for _, body := range []string{"", "a part"} {
			t.Run(fmt.Sprintf("%v, body %q", wait, body), func(t *testing.T) {
				at := startPeer(t, func(c net.Conn) {
					_, err := http.ReadRequest(bufio.NewReaderSize(c, 600))
					if err != nil {
						return
					}
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nETag: \"1\"\r\n\r\n"+body)
					time.Sleep(wait)
					socket.Reset(c)
				})
				for range 30 {
					_, err := (&store.Client{URL: at}).Swap(context.Background(), "k", bytes.Repeat([]byte("x"), jaywind.MaxValue), "")
					if !errors.Is(err, jaywind.ErrOutcomeUnknown) {
						t.Fatal(err)
					}
				}
			})
		}
	}
}

// breakOff answers a request at once with a part of a stream, and resets the connection while the request is still being sent.
func breakOff(t *testing.T, events string, wait time.Duration) jaywind.Address {
	t.Helper()
	return startPeer(t, func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReaderSize(c, 600)); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"+events)
			time.Sleep(wait)
		}
		socket.Reset(c)
	})
}

// TestEngineStreamBrokenOff: an engine resets the connection of a long prompt after a part of its stream, which may end anywhere. The test fails
// if the stream seems to be whole, or a part of a token passes for a token.
func TestEngineStreamBrokenOff(t *testing.T) {
	const (
		token = `data: {"id":"r.0","position":1,"token":9,"choices":[{"text":"hello"}]}` + "\n\n"
		end   = `data: {"id":"r.0","position":1,"choices":[{"finish_reason":"stop"}],"digest":"a1"}`
	)
	whole := jaywind.Frame{Request: "r", Position: 1, Token: jaywind.Token{ID: 9, Text: "hello"}}
	read := 0 // tokens, in all tries
	for _, wait := range []time.Duration{0, time.Millisecond} {
		for size := range len(token + end) {
			at := breakOff(t, (token + end)[:size], wait)
			s, err := (&engine.Client{}).Open(context.Background(), at, jaywind.Call{Request: "r", Prompt: strings.Repeat("x", 1<<20)})
			if err != nil {
				if errors.Is(err, jaywind.ErrNotSent) {
					t.Fatalf("%d bytes: the request may have run: %v", size, err)
				}
				continue
			}
			for frames := 0; ; frames++ {
				f, err := s.Next()
				if err != nil {
					break
				}
				if f != whole || frames > 0 {
					t.Fatalf("%d bytes: %+v", size, f)
				}
				read++
			}
			_ = s.Close()
		}
	}
	is.New(t).True(read > 0)
}

// TestRouterStreamBrokenOff is the same for the client library, whose answer must not seem to be whole either.
func TestRouterStreamBrokenOff(t *testing.T) {
	token := jaywind.Token{ID: 9, Text: "hello"}
	digest := jaywind.DigestOf([]jaywind.Token{token})
	mark := jaywind.Bookmark{Request: "r", Position: 1, Digest: digest, Attempt: 1}
	events := fmt.Sprintf("id: %s\ndata: {\"token\":9,\"choices\":[{\"text\":\"hello\"}]}\n\n", mark) +
		fmt.Sprintf("id: %s\ndata: {\"choices\":[{\"finish_reason\":\"stop\"}],\"digest\":\"%x\"}", mark, uint64(digest))
	read := 0 // tokens, in all tries
	for _, wait := range []time.Duration{0, time.Millisecond} {
		for size := range len(events) {
			c := &router.Client{Entries: []jaywind.Address{breakOff(t, events[:size], wait)}, MaxAttempts: 1}
			got, err := c.Generate(context.Background(), router.Request{ID: "r", Model: "heat", Prompt: strings.Repeat("x", 1<<20)})
			if err == nil || len(got.Tokens) > 1 || len(got.Tokens) == 1 && got.Tokens[0] != token {
				t.Fatalf("%d of %d bytes: %+v, %v", size, len(events), got, err)
			}
			var refusal *router.Refusal
			if errors.As(err, &refusal) {
				t.Fatalf("%d bytes: %v", size, err)
			}
			read += len(got.Tokens)
		}
	}
	is.New(t).True(read > 0)
}
