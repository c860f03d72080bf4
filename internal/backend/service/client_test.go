package service_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"go.uber.org/goleak"

	"jaywind"
	backend "jaywind/internal/backend/service"
	"jaywind/internal/standin/service"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// clock stands still at a time, apart from its monotonic reading.
type clock time.Time

// Now returns the time of the clock.
func (c clock) Now() time.Time { return time.Time(c) }

// TestContract holds what any jaywind.Service says of a call that may not be repeated.
func TestContract(t *testing.T) {
	now := time.Now()
	tests := map[string]struct {
		faults  service.Faults
		closed  bool // nobody listens
		now     time.Time
		limit   time.Duration
		ok      bool
		notSent bool
		runs    int
	}{
		"answered":                       {ok: true, runs: 1},
		"dial refused":                   {closed: true, notSent: true},
		"cut after the run":              {faults: service.Faults{Cut: true}, runs: 1},
		"slow past the deadline":         {faults: service.Faults{Slow: time.Minute}, limit: 50 * time.Millisecond, runs: 1},
		"status 500 is an answer":        {faults: service.Faults{Fail: true}, ok: true, runs: 1},
		"woken after the time to send":   {now: now.Add(2 * time.Minute), notSent: true},
		"suspended, only the wall knows": {now: now.Round(0).Add(2 * time.Minute), notSent: true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &service.Service{}
			s.Set(c.faults)
			server := httptest.NewServer(s.Handler())
			defer server.Close()
			if c.closed {
				server.Close()
			}
			client := &backend.Client{}
			if !c.now.IsZero() {
				client.Clock = clock(c.now)
			}
			if c.limit == 0 {
				c.limit = 10 * time.Second
			}
			ctx, cancel := context.WithTimeout(context.Background(), c.limit)
			defer cancel()
			_, err := client.Do(ctx, jaywind.Address(server.URL), jaywind.ServiceRequest{
				Method: "POST", Path: "/bind", Header: http.Header{"Idempotency-Key": {"k"}},
				Body: []byte("{}"), SendBefore: now.Add(time.Minute),
			})
			is.Equal(err == nil, c.ok)
			is.Equal(errors.Is(err, jaywind.ErrNotSent), c.notSent)
			is.Equal(s.Runs("k"), c.runs)
		})
	}
}

// TestNoSilentRepeat holds that a call whose kept connection would break is not sent again, which
// net/http does on a pooled connection for a request with an Idempotency-Key.
func TestNoSilentRepeat(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := &cutter{listener: listener}
	var group conc.WaitGroup
	group.Go(s.serve)
	client := &backend.Client{}
	for n := range 2 {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		_, err = client.Do(ctx, jaywind.Address("http://"+listener.Addr().String()), jaywind.ServiceRequest{
			Method: "POST", Path: "/bind", Header: http.Header{"Idempotency-Key": {"k"}}, Body: []byte("{}"),
		})
		cancel()
		is.Equal(err == nil, n == 0)
		is.True(!errors.Is(err, jaywind.ErrNotSent))
	}
	_ = listener.Close()
	group.Wait()
	is.Equal(s.calls.Load(), int64(2))
}

// cutter answers the first call and keeps its connection; it reads any other and closes.
type cutter struct {
	listener net.Listener
	calls    atomic.Int64
	group    conc.WaitGroup
}

func (s *cutter) serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			break
		}
		s.group.Go(func() { s.read(conn) })
	}
	s.group.Wait()
}

func (s *cutter) read(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if s.calls.Add(1) > 1 {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}
}
