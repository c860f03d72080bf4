package link_test

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"jaywind"
	"jaywind/internal/backend/link"
)

const (
	request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
	maxBody = 8 << 20
)

// startPeer listens for connections and sends one of answers for each request on a connection, in their order. If closes
// is set, it closes a connection after the last.
func startPeer(t *testing.T, closes bool, answers ...string) jaywind.Address {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group conc.WaitGroup
	group.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			group.Go(func() { serveConn(conn, closes, answers) })
		}
	})
	t.Cleanup(func() { _ = l.Close() })
	return jaywind.Address(l.Addr().String())
}

func serveConn(conn net.Conn, closes bool, answers []string) {
	defer func() { _ = conn.Close() }()
	b := make([]byte, len(request))
	for _, a := range answers {
		if _, err := io.ReadFull(conn, b); err != nil {
			return
		}
		_, _ = io.WriteString(conn, a)
	}
	if !closes {
		_, _ = io.Copy(io.Discard, conn) // until the other side closes
	}
}

const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func TestReuse(t *testing.T) {
	tests := map[string]struct {
		answer string
		closes bool
		body   string
		reused bool
	}{
		"length":             {whole, false, "ok", true},
		"chunks":             {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false, "ok", true},
		"interim answer":     {"HTTP/1.1 100 Continue\r\n\r\n" + whole, false, "ok", true},
		"bytes left over":    {whole + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno", false, "ok", false},
		"peer closes":        {whole, true, "ok", false},
		"says it will close": {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", false, "ok", false},
		"no length":          {"HTTP/1.1 200 OK\r\n\r\nok", true, "ok", false},
		"short idle time":    {"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok", false, "ok", false},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			at := startPeer(t, c.closes, c.answer)
			p := &link.Pool{}
			defer p.Close()
			l, err := p.Get(context.Background(), at, "")
			is.NoErr(err)
			is.NoErr(l.Send([]byte(request)))
			answer, err := l.ReadResponse("GET", time.Now().Add(5*time.Second))
			is.NoErr(err)
			body, reusable, err := l.ReadBody(context.Background(), answer, maxBody)
			is.NoErr(err)
			is.Equal(string(body), c.body)
			if reusable {
				p.Put(l)
			}
			time.Sleep(20 * time.Millisecond) // for bytes that follow the response, or its close
			second, err := p.Get(context.Background(), at, "")
			is.NoErr(err)
			defer func() { _ = second.Close() }()
			_, reused := p.Counts()
			is.Equal(reused == 1, c.reused)
		})
	}
}

func TestFailures(t *testing.T) {
	is := is.New(t)
	p := &link.Pool{DialContext: (&net.Dialer{Timeout: 5 * time.Second}).DialContext} // only what follows the connection is tested
	defer p.Close()
	_, err := p.Get(context.Background(), "127.0.0.1:1", "")
	is.True(errors.Is(err, jaywind.ErrNotSent)) // nothing listens
	tests := map[string]struct {
		answer string
		closes bool
		want   error // of the head or of the body
	}{
		"nothing comes":     {"", false, jaywind.ErrIdleTimeout},
		"closed at once":    {"", true, io.ErrUnexpectedEOF},
		"body is cut":       {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", true, io.ErrUnexpectedEOF},
		"chunks are cut":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok", true, io.ErrUnexpectedEOF},
		"body stops coming": {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", false, jaywind.ErrIdleTimeout},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, err := p.Dial(context.Background(), startPeer(t, c.closes, c.answer))
			is.NoErr(err)
			defer func() { _ = l.Close() }()
			is.NoErr(l.Send([]byte(request)))
			answer, err := l.ReadResponse("GET", time.Now().Add(100*time.Millisecond))
			if err == nil {
				_, _, err = l.ReadBody(context.Background(), answer, maxBody)
			}
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF // before the first byte of an answer
			}
			is.True(errors.Is(err, c.want))
			is.True(!errors.Is(err, jaywind.ErrNotSent)) // the request may have been run
		})
	}
}

func TestEvents(t *testing.T) {
	long := "data: " + strings.Repeat("x", 5000)
	tests := map[string]struct {
		text string
		want []string // the events' bytes
		ids  []int64
		end  error
	}{
		"two":                 {"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}, []int64{1, 2}, io.EOF},
		"cut in an event":     {"id: 1\ndata: a\n\nid: 2\nda", []string{"id: 1\ndata: a\n\n"}, []int64{1}, io.ErrUnexpectedEOF},
		"cut before the end":  {"id: 1\ndata: a\n", nil, nil, io.ErrUnexpectedEOF},
		"version line first":  {"x-weight-versions: 3\nid: 7\ndata: a\n\n", []string{"x-weight-versions: 3\nid: 7\ndata: a\n\n"}, []int64{7}, io.EOF},
		"long line":           {"id: 1\n" + long + "\n\n", []string{"id: 1\n" + long + "\n\n"}, []int64{1}, io.EOF},
		"id inside long data": {"id: 1\ndata: " + strings.Repeat("y", 2036) + "id: 9\n\n", []string{"id: 1\ndata: " + strings.Repeat("y", 2036) + "id: 9\n\n"}, []int64{1}, io.EOF},
		"without an id":       {"data: a\n\n", nil, nil, jaywind.ErrBadAnswer},
		"id is no number":     {"id: x\n\n", nil, nil, jaywind.ErrBadAnswer},
		"carriage returns":    {"id: 1\r\ndata: a\r\n\r\n", []string{"id: 1\r\ndata: a\r\n\r\n"}, []int64{1}, io.EOF},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, err := (&link.Pool{}).Dial(context.Background(), startPeer(t, false, ""))
			is.NoErr(err)
			s := link.NewEventReader(l, strings.NewReader(c.text), jaywind.Reply{})
			defer func() { _ = s.Close() }()
			var got []string
			var ids []int64
			for {
				e, err := s.Next(time.Second)
				if err != nil {
					is.True(errors.Is(err, c.end))
					break
				}
				got = append(got, string(e.Raw))
				ids = append(ids, e.ID)
			}
			is.Equal(got, c.want)
			is.Equal(ids, c.ids)
		})
	}
}

// TestStallInsideChunk fails if an answer whose peer stalls in the middle of a chunk or of a line can't be read on.
func TestStallInsideChunk(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	tests := map[string]struct {
		first, rest string
		waits       int // stalls after which the reader waits on
		want        error
	}{
		"inside a chunk":  {head + "1a\r\nid: 1\nda", "ta: a\n\nid: 2\ndata\n\r\n1\r\n\n\r\n0\r\n\r\n", 50, nil},
		"inside a size":   {head + "1", "a\r\nid: 1\ndata: a\n\nid: 2\ndata\n\r\n1\r\n\n\r\n0\r\n\r\n", 50, nil},
		"does not wait":   {head + "1a\r\nid: 1\nda", "", 0, jaywind.ErrIdleTimeout},
		"waits for a bit": {head + "1a\r\nid: 1\nda", "", 2, jaywind.ErrIdleTimeout},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = l.Close() }()
			var group conc.WaitGroup
			defer group.Wait()
			group.Go(func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				_, _ = io.WriteString(conn, c.first)
				if c.rest == "" {
					_, _ = io.Copy(io.Discard, conn) // until the other side closes
					return
				}
				time.Sleep(100 * time.Millisecond)
				_, _ = io.WriteString(conn, c.rest)
			})
			conn, err := (&link.Pool{}).Dial(context.Background(), jaywind.Address(l.Addr().String()))
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			answer, err := conn.ReadResponse("GET", time.Now().Add(5*time.Second))
			is.NoErr(err)
			stalls := 0
			conn.OnStall = func() time.Duration {
				if stalls++; stalls > c.waits {
					return 0
				}
				return 20 * time.Millisecond
			}
			s := link.NewEventReader(conn, answer.Body, jaywind.Reply{})
			var ids []int64
			for {
				var e jaywind.Event
				if e, err = s.Next(20 * time.Millisecond); err != nil {
					break
				}
				ids = append(ids, e.ID)
			}
			if c.want != nil {
				is.True(errors.Is(err, c.want))
				is.Equal(stalls, c.waits+1)
				return
			}
			is.True(errors.Is(err, io.EOF))
			is.Equal(ids, []int64{1, 2})
		})
	}
}

// TestLateProcess fails if a peer counts as silent that has sent in time, because this process did not run until the limit had passed.
func TestLateProcess(t *testing.T) {
	const head, event = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "f\r\nid: 1\ndata: a\n\n\r\n"
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	var group conc.WaitGroup
	defer group.Wait()
	group.Go(func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, head)
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(conn, event)
		_, _ = io.Copy(io.Discard, conn) // until the other side closes
	})
	conn, err := (&link.Pool{}).Dial(context.Background(), jaywind.Address(l.Addr().String()))
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	answer, err := conn.ReadResponse("GET", time.Now().Add(5*time.Second))
	is.NoErr(err)
	stalls := 0
	conn.OnStall = func() time.Duration { stalls++; return time.Second }
	is.NoErr(conn.SetReadTimeout(100 * time.Millisecond))
	time.Sleep(200 * time.Millisecond) // the process does not run
	b := make([]byte, 15)
	_, err = io.ReadFull(answer.Body, b)
	is.NoErr(err)
	is.Equal(string(b), "id: 1\ndata: a\n\n")
	is.Equal(stalls, 0)
}
