package link_test

import (
	"context"
	"errors"
	"io"
	"net"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"jaywind"
	"jaywind/internal/backend/link"
	"jaywind/internal/standin/socket"
)

const (
	floodTimeout = 2 * time.Second
	maxFlooded   = 4 << 20  // bytes that the process may allocate while it reads one flood
	vmMemory     = 90 << 20 // bytes; the soft limit of the runtime on a VM of 112 MB
)

// startFlood listens for connections and sends, after the first bytes of a request, start and then part without end until the
// other side closes.
func startFlood(t *testing.T, start, part string) jaywind.Address {
	t.Helper()
	block := []byte(strings.Repeat(part, max(1, (16<<10)/len(part))))
	return jaywind.Address(socket.Serve(t, func(conn net.Conn) {
		_, _ = io.ReadFull(conn, make([]byte, len(request)))
		_, err := io.WriteString(conn, start)
		for err == nil {
			_, err = conn.Write(block)
		}
	}))
}

// allocated returns how many bytes f allocates, with all that runs beside it.
func allocated(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// TestEndlessHeads guards against a response head, or interim responses, that go on until the caller closes.
func TestEndlessHeads(t *testing.T) {
	tests := map[string]struct{ start, part string }{
		"status line":       {"HTTP/1.1 200 ", "x"},
		"one header":        {"HTTP/1.1 200 OK\r\nA: ", "x"},
		"headers":           {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"continued header":  {"HTTP/1.1 200 OK\r\nA: b\r\n", " c\r\n"},
		"interim responses": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"switched protocol": {"", "HTTP/1.1 101 Switching Protocols\r\n\r\n"},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, err := (&link.Pool{}).Dial(context.Background(), startFlood(t, c.start, c.part))
			is.NoErr(err)
			defer func() { _ = l.Close() }()
			is.NoErr(l.Send([]byte(request)))
			n := allocated(func() { _, err = l.ReadResponse("GET", time.Now().Add(floodTimeout)) })
			t.Logf("%d KB allocated: %v", n>>10, err)
			is.True(errors.Is(err, jaywind.ErrBadAnswer)) // and not the timeout
			is.True(n < maxFlooded)
		})
	}
}

// TestLongHead checks that a head with a few long and some dozens of short headers is read whole, as is an answer on the same
// connection after it.
func TestLongHead(t *testing.T) {
	is := is.New(t)
	head := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + strings.Repeat("A: b\r\n", 100) + "B: " + strings.Repeat("x", 20<<10) + "\r\n\r\nok"
	p := &link.Pool{}
	defer p.Close()
	l, err := p.Dial(context.Background(), startPeer(t, false, head, head, head))
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	for range 3 {
		is.NoErr(l.Send([]byte(request)))
		response, err := l.ReadResponse("GET", time.Now().Add(30*time.Second))
		is.NoErr(err)
		is.Equal(len(response.Header["A"]), 100)
		is.Equal(len(response.Header.Get("B")), 20<<10)
		_, _, err = l.ReadBody(context.Background(), response, maxBody)
		is.NoErr(err)
	}
}

// TestEndlessEvents guards against an event, or blank lines between events, that go on until the caller closes.
func TestEndlessEvents(t *testing.T) {
	tests := map[string]struct{ start, part string }{
		"line":        {"id: 1\ndata: ", "x"},
		"data lines":  {"id: 1\n", "data: a\n"},
		"comments":    {"", ": c\n"},
		"blank lines": {"", "\n"},
		"line ends":   {"", "\r\n"},
		"ids":         {"", "id: 1\n"},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, err := (&link.Pool{}).Dial(context.Background(), startFlood(t, "HTTP/1.1 200 OK\r\n\r\n"+c.start, c.part))
			is.NoErr(err)
			is.NoErr(l.Send([]byte(request)))
			response, err := l.ReadResponse("GET", time.Now().Add(30*time.Second))
			is.NoErr(err)
			s := link.NewEventReader(l, response.Body, jaywind.Reply{})
			defer func() { _ = s.Close() }()
			n := allocated(func() { _, err = s.Next(floodTimeout) })
			t.Logf("%d KB allocated: %v", n>>10, err)
			is.True(errors.Is(err, jaywind.ErrBadAnswer)) // and not the timeout
			is.True(n < maxFlooded)
		})
	}
}

// TestLargeEvent checks that an event of almost the largest size is read whole, also if it has many lines.
func TestLargeEvent(t *testing.T) {
	is := is.New(t)
	event := "id: 1\n" + strings.Repeat("data: some text\n", 10_000) + "\n"
	l, err := (&link.Pool{}).Dial(context.Background(), startPeer(t, false, ""))
	is.NoErr(err)
	s := link.NewEventReader(l, strings.NewReader(strings.Repeat("\n", 100)+event+event), jaywind.Reply{})
	defer func() { _ = s.Close() }()
	for range 2 {
		e, err := s.Next(time.Second)
		is.NoErr(err)
		is.Equal(len(e.Raw), len(event))
	}
}

// TestEndlessBodies guards against a body, its chunks or its trailers that go on until the caller closes.
func TestEndlessBodies(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	tests := map[string]struct{ start, part string }{
		"unframed":         {"HTTP/1.1 200 OK\r\n\r\n", "x"},
		"chunks":           {chunked, "10\r\n0123456789abcdef\r\n"},
		"large chunk":      {chunked + "ffffffffff\r\n", "x"},
		"long length":      {"HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n", "x"},
		"chunk extension":  {chunked + "4;", "x"},
		"chunk extensions": {chunked, "1;" + strings.Repeat("x", 3000) + "\r\na\r\n"},
		"chunk size":       {chunked, "0"},
		"trailer":          {chunked + "0\r\nA: ", "x"},
		"trailers":         {chunked + "0\r\n", "A: b\r\n"},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, err := (&link.Pool{}).Dial(context.Background(), startFlood(t, c.start, c.part))
			is.NoErr(err)
			defer func() { _ = l.Close() }()
			is.NoErr(l.Send([]byte(request)))
			response, err := l.ReadResponse("GET", time.Now().Add(30*time.Second))
			is.NoErr(err)
			n := allocated(func() { _, _, err = l.ReadBody(context.Background(), response, maxBody) })
			t.Logf("%d KB allocated: %v", n>>10, err)
			is.True(err != nil)
			is.True(!errors.Is(err, jaywind.ErrIdleTimeout))
		})
	}
}

// peakHeap returns the largest size of the heap while f runs, under the memory limit that a VM of 112 MB has.
func peakHeap(f func()) (peak uint64) {
	runtime.GC()
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(vmMemory))
	done := make(chan struct{})
	var group conc.WaitGroup
	group.Go(func() {
		for {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			peak = max(peak, m.HeapAlloc)
			select {
			case <-done:
				return
			case <-time.After(time.Millisecond):
			}
		}
	})
	f()
	close(done)
	group.Wait()
	return peak
}

// TestManyFloods guards against memory that grows with the number of endpoints that flood at once. Large answers of other
// endpoints meanwhile are read whole.
func TestManyFloods(t *testing.T) {
	const floods, sound = 50, 6
	large := strings.Repeat("x", 3<<20)
	tests := map[string]struct{ start, part string }{
		"bodies without length": {"HTTP/1.1 200 OK\r\n\r\n", "x"},
		"bodies in chunks":      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n"},
		"bodies with a length":  {"HTTP/1.1 200 OK\r\nContent-Length: 8388608\r\n\r\n", "x"},
		"heads":                 {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := &link.Pool{}
			defer p.Close()
			flood, other := startFlood(t, c.start, c.part), startPeer(t, false, "HTTP/1.1 200 OK\r\nContent-Length: "+strconv.Itoa(len(large))+"\r\n\r\n"+large)
			var whole atomic.Int64
			peak := peakHeap(func() {
				var group conc.WaitGroup
				for i := range floods + sound {
					at := flood
					if i >= floods {
						at = other
					}
					group.Go(func() {
						switch body, err := exchange(p, at); {
						case err == nil && string(body) == large:
							whole.Add(1)
						case at == other:
							t.Logf("sound answer of %d bytes: %v", len(body), err)
						}
					})
				}
				group.Wait()
			})
			t.Logf("heap of %d MB at most", peak>>20)
			is.Equal(whole.Load(), int64(sound))
			is.True(peak < vmMemory)
		})
	}
}

// dial opens a connection, also on a busy machine that needs longer for it than the pool waits.
func dial(ctx context.Context, p *link.Pool, at jaywind.Address) (l *link.Conn, err error) {
	for range 100 {
		if l, err = p.Dial(ctx, at); err == nil {
			return l, nil
		}
	}
	return nil, err
}

// exchange sends a request and reads the answer.
func exchange(p *link.Pool, at jaywind.Address) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	l, err := dial(ctx, p, at)
	if err != nil {
		return nil, err
	}
	defer func() { _ = l.Close() }()
	if err := l.Send([]byte(request)); err != nil {
		return nil, err
	}
	response, err := l.ReadResponse("GET", time.Now().Add(30*time.Second))
	if err != nil {
		return nil, err
	}
	body, _, err := l.ReadBody(ctx, response, maxBody)
	return body, err
}

// TestManyLongEvents guards against memory that grows with the number of streams whose next event is long and never ends.
// A long event that is whole is read also after them.
func TestManyLongEvents(t *testing.T) {
	const streams = 400
	is := is.New(t)
	p := &link.Pool{}
	long := "id: 1\ndata: " + strings.Repeat("x", 250<<10)
	next := func(at jaywind.Address, limit time.Duration) error {
		l, err := dial(context.Background(), p, at)
		if err != nil {
			return err
		}
		if err := l.Send([]byte(request)); err != nil {
			return err
		}
		response, err := l.ReadResponse("GET", time.Now().Add(30*time.Second))
		if err != nil {
			return err
		}
		s := link.NewEventReader(l, response.Body, jaywind.Reply{})
		defer func() { _ = s.Close() }()
		_, err = s.Next(limit)
		return err
	}
	stalled := startPeer(t, false, "HTTP/1.1 200 OK\r\n\r\n"+long)
	var silent atomic.Int64
	peak := peakHeap(func() {
		var group conc.WaitGroup
		for range streams {
			time.Sleep(time.Millisecond) // so that none waits for its connection
			group.Go(func() {
				if errors.Is(next(stalled, 2*time.Second), jaywind.ErrIdleTimeout) {
					silent.Add(1)
				}
			})
		}
		group.Wait()
	})
	t.Logf("heap of %d MB at most", peak>>20)
	is.Equal(silent.Load(), int64(streams))
	is.True(peak < vmMemory)
	is.NoErr(next(startPeer(t, false, "HTTP/1.1 200 OK\r\n\r\n"+long+"\n\n"), time.Second))
}

// TestLongBodies checks that long answers are read whole, in each framing, and that one which is cut is not taken for whole.
func TestLongBodies(t *testing.T) {
	const length, chunks, unframed = "length", "chunks", "unframed"
	text := func(n int) string { return strings.Repeat("0123456789abcdef", n/16+1)[:n] }
	answer := func(framing, body string, cut int) string {
		switch framing {
		case length:
			return "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body[:len(body)-cut]
		case chunks:
			framed := strconv.FormatInt(int64(len(body)), 16) + "\r\n" + body + "\r\n0\r\n\r\n"
			return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + framed[:len(framed)-cut]
		}
		return "HTTP/1.1 200 OK\r\n\r\n" + body
	}
	tests := map[string]struct {
		framing   string
		size, cut int
		want      error
	}{
		"length":                 {length, 5_000_000, 0, nil},
		"length, largest":        {length, maxBody, 0, nil},
		"length, too long":       {length, maxBody + 1, 0, jaywind.ErrBadAnswer},
		"length, cut":            {length, 5_000_000, 1, io.ErrUnexpectedEOF},
		"length, cut early":      {length, 5_000_000, 4_990_000, io.ErrUnexpectedEOF},
		"chunks":                 {chunks, 5_000_000, 0, nil},
		"chunks, no reservation": {chunks, 32 << 10, 0, nil},
		"chunks, largest":        {chunks, maxBody, 0, nil},
		"chunks, too long":       {chunks, maxBody + 1, 0, jaywind.ErrBadAnswer},
		"chunks, cut":            {chunks, 5_000_000, 100, io.ErrUnexpectedEOF},
		"chunks, cut early":      {chunks, 5_000_000, 4_990_000, io.ErrUnexpectedEOF},
		"chunks, cut at the end": {chunks, 5_000_000, 3, io.ErrUnexpectedEOF},
		"unframed":               {unframed, 5_000_000, 0, nil},
		"unframed, largest":      {unframed, maxBody, 0, nil},
		"unframed, too long":     {unframed, maxBody + 1, 0, jaywind.ErrBadAnswer},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			body := text(c.size)
			l, err := (&link.Pool{}).Dial(context.Background(), startPeer(t, true, answer(c.framing, body, c.cut)))
			is.NoErr(err)
			defer func() { _ = l.Close() }()
			is.NoErr(l.Send([]byte(request)))
			response, err := l.ReadResponse("GET", time.Now().Add(30*time.Second))
			is.NoErr(err)
			got, reusable, err := l.ReadBody(context.Background(), response, maxBody)
			is.True(errors.Is(err, c.want))
			is.True(err != nil || string(got) == body)
			is.Equal(reusable, err == nil && c.framing != unframed)
		})
	}
}

// TestNoBody guards against a length that is taken for that of a body, in an answer that has none.
func TestNoBody(t *testing.T) {
	tests := map[string]struct{ method, head string }{
		"HEAD":         {"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n"},
		"not modified": {"GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 99999999\r\n\r\n"},
		"no content":   {"GET", "HTTP/1.1 204 No Content\r\n\r\n"},
		"empty":        {"GET", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, err := (&link.Pool{}).Dial(context.Background(), startPeer(t, false, c.head))
			is.NoErr(err)
			defer func() { _ = l.Close() }()
			is.NoErr(l.Send([]byte(request)))
			response, err := l.ReadResponse(c.method, time.Now().Add(time.Second))
			is.NoErr(err)
			body, reusable, err := l.ReadBody(context.Background(), response, maxBody)
			is.NoErr(err)
			is.Equal(len(body), 0)
			is.True(reusable)
		})
	}
}

// TestDrips guards against a limit of time that each byte extends.
func TestDrips(t *testing.T) {
	const limit = 300 * time.Millisecond
	const head = "HTTP/1.1 200 OK\r\n\r\n"
	readHead := func(l *link.Conn) error {
		_, err := l.ReadResponse("GET", time.Now().Add(limit))
		return err
	}
	readEvent := func(l *link.Conn) error {
		response, err := l.ReadResponse("GET", time.Now().Add(limit))
		if err != nil {
			return err
		}
		s := link.NewEventReader(l, response.Body, jaywind.Reply{})
		defer func() { _ = s.Close() }()
		_, err = s.Next(limit)
		return err
	}
	readBody := func(l *link.Conn) error {
		response, err := l.ReadResponse("GET", time.Now().Add(limit))
		if err != nil {
			return err
		}
		_, _, err = l.ReadBody(context.Background(), response, maxBody)
		return err
	}
	tests := map[string]struct {
		start, part string
		read        func(l *link.Conn) error
	}{
		"head":        {"HTTP/1.1 200 OK\r\n", "A: b\r\n", readHead},
		"interim":     {"", "HTTP/1.1 100 Continue\r\n\r\n", readHead},
		"event":       {head + "data: ", "x", readEvent},
		"comments":    {head, ": c\n", readEvent},
		"blank lines": {head, "\n", readEvent},
		"body":        {head, "x", readBody},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			var group conc.WaitGroup
			defer group.Wait()
			defer func() { _ = listener.Close() }()
			group.Go(func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				_, err = io.WriteString(conn, c.start)
				for err == nil {
					_, err = io.WriteString(conn, c.part)
					time.Sleep(10 * time.Millisecond)
				}
			})
			l, err := (&link.Pool{}).Dial(context.Background(), jaywind.Address(listener.Addr().String()))
			is.NoErr(err)
			defer func() { _ = l.Close() }()
			start := time.Now()
			is.True(errors.Is(c.read(l), jaywind.ErrIdleTimeout))
			is.True(time.Since(start) < 10*limit)
		})
	}
}
