package http1

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"jaywind/internal/core/memory"
)

const testTimeout = 10 * time.Second

// startServer serves a handler behind a listener and returns the listener and its address.
func startServer(t *testing.T, l *Listener, h http.HandlerFunc) string {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Listener = inner
	if l.MaxHead == 0 {
		l.MaxHead = 20 << 10
	}
	if l.HeadTimeout == 0 {
		l.HeadTimeout = testTimeout
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	s := &http.Server{Handler: h, ReadHeaderTimeout: l.HeadTimeout, MaxHeaderBytes: 16 << 10, Protocols: protocols}
	l.Configure(s)
	var group conc.WaitGroup
	group.Go(func() { _ = s.Serve(l) })
	t.Cleanup(func() { _ = s.Close(); group.Wait() })
	return inner.Addr().String()
}

// echo answers with what it got of the request.
func echo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(w, "%s %s %s %q", r.Method, r.RequestURI, r.Header.Get("A"), body)
}

func dial(t *testing.T, at string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", at)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	return c
}

// readAnswers returns the status and body of each answer until the connection ends or n have come.
func readAnswers(c net.Conn, n int) (answers []string) {
	r := bufio.NewReader(c)
	for range n {
		response, err := http.ReadResponse(r, nil)
		if err != nil {
			return append(answers, "end")
		}
		body, err := io.ReadAll(response.Body)
		if err != nil {
			return append(answers, "cut")
		}
		answers = append(answers, fmt.Sprint(response.StatusCode, " ", string(body)))
	}
	return answers
}

// startPlainServer serves echo without a Listener.
func startPlainServer(t *testing.T) string {
	t.Helper()
	s := httptest.NewUnstartedServer(http.HandlerFunc(echo))
	s.Config.MaxHeaderBytes = 16 << 10
	s.Start()
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// answersOf sends a text in parts and returns the first n answers.
func answersOf(t *testing.T, at, text string, part, n int) []string {
	t.Helper()
	conn := dial(t, at)
	var group conc.WaitGroup
	group.Go(func() {
		for rest := text; rest != ""; {
			n := min(part, len(rest))
			if _, err := io.WriteString(conn, rest[:n]); err != nil {
				return // the server has closed it
			}
			rest = rest[n:]
			if part < 100 && len(text) < 1000 {
				time.Sleep(50 * time.Microsecond) // lets the parts arrive one by one
			}
		}
	})
	got := readAnswers(conn, n)
	_ = conn.Close()
	group.Wait()
	return got
}

// TestFraming guards against a request that is cut, joined or held up because its bytes come in other parts than its messages.
func TestFraming(t *testing.T) {
	long := strings.Repeat("x", 9000)
	tests := map[string]struct {
		sent string
		want []string
	}{
		"one":                       {"GET /a HTTP/1.1\r\nHost: h\r\nA: b\r\n\r\n", []string{`200 GET /a b ""`}},
		"bare line ends":            {"GET /a HTTP/1.1\nHost: h\nA: b\n\n", []string{`200 GET /a b ""`}},
		"body":                      {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc", []string{`200 POST /a  "abc"`}},
		"blank lines in a body":     {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 8\r\n\r\n\r\n\r\n\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n", []string{`200 POST /a  "\r\n\r\n\r\n\r\n"`, `200 GET /b  ""`}},
		"chunks":                    {"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", []string{`200 POST /a  "abc"`}},
		"chunks, then another":      {"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n", []string{`200 POST /a  "abc"`, `200 GET /b  ""`}},
		"trailer":                   {"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nB: c\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n", []string{`200 POST /a  "abc"`, `200 GET /b  ""`}},
		"three sent ahead":          {strings.Repeat("GET /a HTTP/1.1\r\nHost: h\r\n\r\n", 3), []string{`200 GET /a  ""`, `200 GET /a  ""`, `200 GET /a  ""`}},
		"bodies sent ahead":         {strings.Repeat("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc", 3), []string{`200 POST /a  "abc"`, `200 POST /a  "abc"`, `200 POST /a  "abc"`}},
		"a long body, then another": {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 9000\r\n\r\n" + long + "GET /b HTTP/1.1\r\nHost: h\r\n\r\n", []string{`200 POST /a  "` + long + `"`, `200 GET /b  ""`}},
		"a long head sent ahead":    {"GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\nA: " + long + "\r\n\r\n", []string{`200 GET /a  ""`, `200 GET /b ` + long + ` ""`}},
		"blank line between":        {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n", []string{`200 POST /a  "abc"`, `200 GET /b  ""`}},
		"line end in body, then CR": {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nab\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n", []string{`200 POST /a  "ab\n"`, `200 GET /b  ""`}},
		"blank line before":         {"\r\nGET /a HTTP/1.1\r\nHost: h\r\n\r\n", []string{"400 400 Bad Request", "end"}},
		"length and chunks":         {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n", []string{`200 POST /a  ""`, `200 GET /b  ""`}},
		"two lengths":               {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n", []string{"400 400 Bad Request", "end"}},
		"a head over the limit":     {"GET /a HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("x", 30_000) + "\r\n\r\n", []string{"431 431 Request Header Fields Too Large", "end"}},
		"a head of many lines":      {"GET /a HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("A:b\r\n", 3000) + "\r\n", []string{`200 GET /a b ""`}},
		"100-continue":              {"POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\nabc", []string{"100 ", `200 POST /a  "abc"`}},
		"closes after it":           {"GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n", []string{`200 GET /a  ""`, "end"}},
		"HTTP/1.0":                  {"GET /a HTTP/1.0\r\n\r\n", []string{`200 GET /a  ""`, "end"}},
	}
	for name, c := range tests {
		for _, part := range []int{1, 2, 3, 7, 100, 4095, 4096, 1 << 20} {
			t.Run(fmt.Sprint(name, ", parts of ", part), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				budget := &memory.Budget{Limit: memory.MB}
				l := &Listener{Memory: budget, Heads: &memory.Budget{Limit: memory.MB}, MaxConns: 10}
				is.Equal(answersOf(t, startPlainServer(t), c.sent, 1<<20, len(c.want)), c.want) // as without a Listener
				got := answersOf(t, startServer(t, l, echo), c.sent, part, len(c.want))
				is.Equal(got, c.want)
				for end := time.Now().Add(testTimeout); (l.Connections() > 0 || l.Heads.Used() > 0) && time.Now().Before(end); {
					time.Sleep(time.Millisecond)
				}
				is.Equal(budget.Used(), memory.Bytes(0)) // all is returned
				is.Equal(l.Heads.Used(), memory.Bytes(0))
			})
		}
	}
}

// TestClientLeaves guards against a request that goes on after its client has left, also if that has sent further requests ahead.
func TestClientLeaves(t *testing.T) {
	request := "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
	tests := map[string]string{
		"one":            request,
		"two":            request + request,
		"part of a head": request + "GET /b HT",
		"very many":      strings.Repeat(request, 5000),
	}
	for name, sent := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			began, ended := make(chan struct{}, 10), make(chan struct{}, 10)
			at := startServer(t, &Listener{Memory: &memory.Budget{Limit: memory.MB}}, func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				began <- struct{}{}
				<-r.Context().Done()
				ended <- struct{}{}
			})
			conn := dial(t, at)
			var group conc.WaitGroup
			group.Go(func() { _, _ = io.WriteString(conn, sent) }) // ends when the connection does
			<-began
			time.Sleep(20 * time.Millisecond)
			_ = conn.Close()
			select {
			case <-ended:
			case <-time.After(testTimeout):
				is.Fail() // the request still runs
			}
			group.Wait()
		})
	}
}

// TestRoom guards against connections without a whole request that keep others out, and against requests in progress that are cut off to make
// room.
func TestRoom(t *testing.T) {
	is := is.New(t)
	served := make(chan struct{})
	release := make(chan struct{})
	l := &Listener{Memory: &memory.Budget{Limit: 20 * connectionBytes}, MaxConns: 8}
	at := startServer(t, l, func(w http.ResponseWriter, r *http.Request) {
		if !FromContext(r.Context()).Received() {
			panic(http.ErrAbortHandler)
		}
		if r.URL.Path == "/wait" {
			served <- struct{}{}
			<-release
		}
		w.WriteHeader(http.StatusNoContent)
	})
	working := dial(t, at)
	_, _ = io.WriteString(working, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	<-served
	for i := range 60 {
		conn := dial(t, at)
		if i%2 == 0 {
			_, _ = io.WriteString(conn, "GET /a HTTP/1.1\r\nA: "+strings.Repeat("x", 1000*i))
		}
		if i%5 == 0 {
			ordinary := dial(t, at)
			_, _ = io.WriteString(ordinary, "GET /b HTTP/1.1\r\nHost: h\r\n\r\n")
			is.Equal(readAnswers(ordinary, 1), []string{"204 "})
		}
	}
	is.True(l.Connections() <= 8)
	is.True(l.Memory.Used() <= l.Memory.Limit)
	is.True(l.Stats().ClosedIdle > 0)
	release <- struct{}{}
	is.Equal(readAnswers(working, 1), []string{"204 "})
}

// TestNoRoom guards against a request that is answered otherwise than as not run, when there is no memory for it.
func TestNoRoom(t *testing.T) {
	is := is.New(t)
	l := &Listener{Memory: &memory.Budget{Limit: connectionBytes + requestBytes/2}}
	at := startServer(t, l, func(http.ResponseWriter, *http.Request) { t.Error("the request was passed on") })
	conn := dial(t, at)
	_, _ = io.WriteString(conn, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
	is.Equal(readAnswers(conn, 2), []string{"503 ", "end"})
	is.Equal(l.Stats().Refused, int64(1))
}

// TestHeadOfClosedConnection guards against the memory of a head that is taken as free while the server still uses it, as its connection was
// closed to make room.
func TestHeadOfClosedConnection(t *testing.T) {
	head := "GET /a HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("A:b\r\n", 500) + "\r\n"
	open := func(t *testing.T) (*Listener, *Conn) {
		is := is.New(t)
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		t.Cleanup(func() { _ = inner.Close() })
		l := &Listener{Listener: inner, Heads: &memory.Budget{Limit: memory.MB}, MaxConns: 1, MaxHead: 20 << 10, HeadTimeout: 2 * testTimeout}
		_, err = io.WriteString(dial(t, inner.Addr().String()), head)
		is.NoErr(err)
		c, err := l.Accept()
		is.NoErr(err)
		return l, c.(*Conn)
	}
	accept := func(t *testing.T, l *Listener) {
		is := is.New(t)
		_ = dial(t, l.Addr().String())
		c, err := l.Accept()
		is.NoErr(err)
		t.Cleanup(func() { _ = c.Close() })
		is.Equal(l.Stats(), Stats{ClosedReading: 1})
	}
	t.Run("being parsed", func(t *testing.T) {
		is := is.New(t)
		l, c := open(t)
		got := make([]byte, len(head))
		_, err := io.ReadFull(c, got)
		is.NoErr(err)
		used := l.Heads.Used()
		is.True(used > memory.Bytes(len(head)))
		accept(t, l)
		is.Equal(l.Heads.Used(), used) // the server parses on
		is.Equal(c.Close(), net.ErrClosed)
		is.Equal(l.Heads.Used(), memory.Bytes(0))
	})
	t.Run("waiting for its turn", func(t *testing.T) {
		is := is.New(t)
		l, c := open(t)
		is.True(l.Heads.TryAcquire(l.Heads.Limit)) // by others
		ended := make(chan error, 1)
		var group conc.WaitGroup
		defer group.Wait()
		group.Go(func() {
			_, err := io.ReadFull(c, make([]byte, len(head)))
			ended <- err
		})
		for end := time.Now().Add(testTimeout); c.cost() <= requestBytes && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		accept(t, l)
		select {
		case err := <-ended:
			is.True(err != nil)
		case <-time.After(testTimeout):
			is.Fail() // holds on to what it has received
		}
		is.Equal(l.Heads.Used(), l.Heads.Limit)
	})
}

// TestConnectionsOfRouters guards against a connection in HTTP/2 that is read as if it had heads of HTTP/1, or closed to make room.
func TestConnectionsOfRouters(t *testing.T) {
	is := is.New(t)
	l := &Listener{Memory: &memory.Budget{Limit: 4 * connectionBytes}, MaxConns: 2}
	at := startServer(t, l, echo)
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	client := http.Client{Transport: &http.Transport{Protocols: protocols}, Timeout: testTimeout}
	defer client.CloseIdleConnections()
	for i := range 5 {
		request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+at+"/a", strings.NewReader("abc"))
		is.NoErr(err)
		response, err := client.Do(request)
		is.NoErr(err)
		body, err := io.ReadAll(response.Body)
		is.NoErr(err)
		_ = response.Body.Close()
		is.Equal(string(body), `POST /a  "abc"`)
		is.Equal(response.ProtoMajor, 2)
		if i > 0 {
			_ = dial(t, at)
		}
	}
	for end := time.Now().Add(testTimeout); l.Stats().ClosedIdle < 3 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	is.Equal(l.Stats(), Stats{ClosedIdle: 3}) // the other connections
}

// FuzzHead checks that a head's end is where the server sees it.
func FuzzHead(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\nrest"))
	f.Add([]byte("GET / HTTP/1.1\nHost: h\n\r\nrest"))
	f.Fuzz(func(t *testing.T, b []byte) {
		end := headEnd(b, 0)
		if end == 0 {
			return
		}
		r := bufio.NewReader(strings.NewReader(string(b[:end])))
		if _, err := http.ReadRequest(r); err == nil && r.Buffered() > 0 {
			t.Errorf("%d bytes behind the head", r.Buffered())
		}
	})
}

// TestBlankLineEnd guards against a head whose end is missed as the server holds its begin already.
func TestBlankLineEnd(t *testing.T) {
	const begin, end = "GET / HTTP/1.1\r\nHost: h", "\r\n\r\n"
	for cut := len(begin) - 3; cut < len(begin+end); cut++ {
		t.Run(fmt.Sprint(cut), func(t *testing.T) {
			tail, rest := (begin + end)[max(0, cut-maxTail):cut], (begin + end)[cut:]
			got := blankLineEnd([]byte(tail), []byte(rest+"abc"))
			if got == 0 {
				got = headEnd([]byte(rest+"abc"), 0)
			}
			is.New(t).Equal(got, len(rest))
		})
	}
}
