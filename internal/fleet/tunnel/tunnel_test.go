package tunnel_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/internal/core/drain"
	"jaywind/internal/fleet/cbor"
	"jaywind/internal/fleet/tunnel"
	"jaywind/internal/standin/socket"
)

const dialLimit = 150 * time.Millisecond // of the pool that dials

// node is a router of a fleet whose links to endpoints can be cut.
type node struct {
	*tunnel.Dialer
	address jaywind.Address
	server  *httptest.Server
	calls   drain.Calls
	link    atomic.Int32 // linkWorks, linkHangs or linkRefuses
	tried   atomic.Int64 // connections over its own links
}

const (
	linkWorks = iota
	linkHangs
	linkRefuses
)

// dialOwn dials over the node's own links.
func (n *node) dialOwn(ctx context.Context, network, address string) (net.Conn, error) {
	n.tried.Add(1)
	switch n.link.Load() {
	case linkHangs:
		<-ctx.Done()
		return nil, ctx.Err()
	case linkRefuses:
		return nil, syscall.ECONNREFUSED
	}
	return (&net.Dialer{}).DialContext(ctx, network, address)
}

// startFleet starts routers that know each other. The first one is the one that dials in the tests.
func startFleet(t *testing.T, routers int) []*node {
	t.Helper()
	fleet := make([]*node, routers)
	for i := range fleet {
		n := &node{}
		n.Dialer = &tunnel.Dialer{
			HTTP: cbor.NewStreamClient(""), Calls: &n.calls, Direct: n.dialOwn,
			Peers: func(most int) (others []jaywind.Address) {
				for _, o := range fleet {
					if o != n {
						others = append(others, o.address)
					}
				}
				return others[:min(most, len(others))]
			},
		}
		mux := http.NewServeMux()
		mux.Handle(tunnel.Path, n.Handler())
		n.server = httptest.NewUnstartedServer(mux)
		cbor.Configure(n.server.Config)
		n.server.Start()
		n.address = jaywind.Address(strings.TrimPrefix(n.server.URL, "http://"))
		fleet[i] = n
	}
	t.Cleanup(func() {
		for _, n := range fleet {
			n.calls.Wait(time.Millisecond)
			n.server.CloseClientConnections()
			n.server.Close()
		}
	})
	return fleet
}

// dial dials an endpoint as a pool does.
func (n *node) dial(at string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), dialLimit)
	defer cancel()
	return n.DialContext(ctx, "tcp", at)
}

// via returns the router through which a connection goes, or nothing.
func via(c net.Conn) jaywind.Address {
	if relayed, ok := c.(*tunnel.Conn); ok {
		return relayed.Via()
	}
	return ""
}

// echo sends back what it receives.
func echo(c net.Conn) { _, _ = io.Copy(c, c) }

// deadAddress returns an address at which nothing listens.
func deadAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// TestWays guards against connections that are not made although one router reaches the endpoint, and against the end of an endpoint
// that only this router's links suggest.
func TestWays(t *testing.T) {
	tests := map[string]struct {
		links   []int32 // of each router
		dead    bool    // nothing listens at the endpoint
		connect bool
		relayed bool
		refused bool // the endpoint counts as ended
	}{
		"own link works":                      {links: []int32{linkWorks, linkWorks, linkWorks}, connect: true},
		"own link hangs":                      {links: []int32{linkHangs, linkWorks, linkWorks}, connect: true, relayed: true},
		"own link refuses":                    {links: []int32{linkRefuses, linkWorks, linkWorks}, connect: true, relayed: true},
		"only the last one's link works":      {links: []int32{linkHangs, linkHangs, linkHangs, linkHangs, linkWorks}, connect: true, relayed: true},
		"only the last one is not refused":    {links: []int32{linkRefuses, linkRefuses, linkWorks}, connect: true, relayed: true},
		"no link works":                       {links: []int32{linkHangs, linkHangs, linkHangs}},
		"endpoint has ended":                  {links: []int32{linkWorks, linkWorks, linkWorks}, dead: true, refused: true},
		"endpoint has ended, own link too":    {links: []int32{linkHangs, linkWorks, linkWorks}, dead: true, refused: true},
		"refused here, and no other can tell": {links: []int32{linkRefuses, linkHangs, linkHangs}},
		"alone, and the endpoint has ended":   {links: []int32{linkWorks}, dead: true, refused: true},
		"one other, and it is refused too":    {links: []int32{linkWorks, linkWorks}, dead: true, refused: true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			at := socket.Serve(t, echo)
			if c.dead {
				at = deadAddress(t)
			}
			fleet := startFleet(t, len(c.links))
			for i, l := range c.links {
				fleet[i].link.Store(l)
			}
			conn, err := fleet[0].dial(at)
			is.Equal(err == nil, c.connect)
			is.Equal(errors.Is(err, syscall.ECONNREFUSED), c.refused)
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			is.Equal(via(conn) != "", c.relayed)
			checkEcho(t, conn, "hello")
		})
	}
}

// checkEcho checks that a connection carries a text to an endpoint that sends it back.
func checkEcho(t *testing.T, c net.Conn, text string) {
	t.Helper()
	is := is.New(t)
	is.NoErr(c.SetDeadline(time.Now().Add(5 * time.Second)))
	_, err := io.WriteString(c, text)
	is.NoErr(err)
	b := make([]byte, len(text))
	_, err = io.ReadFull(c, b)
	is.NoErr(err)
	is.Equal(string(b), text)
}

// TestLostLink checks that calls leave a lost link alone but for its probes, and return to it once it works.
func TestLostLink(t *testing.T) {
	is := is.New(t)
	at := socket.Serve(t, echo)
	fleet := startFleet(t, 3)
	var closedIdle atomic.Int64
	fleet[0].OnLost = func(jaywind.Address) { closedIdle.Add(1) }
	fleet[0].link.Store(linkHangs)
	call := func() jaywind.Address {
		c, err := fleet[0].dial(at)
		is.NoErr(err)
		defer func() { _ = c.Close() }()
		checkEcho(t, c, "x")
		return via(c)
	}
	is.True(call() != "")
	time.Sleep(4 * dialLimit) // the second try
	is.Equal(closedIdle.Load(), int64(1))
	before := fleet[0].tried.Load()
	start := time.Now()
	for range 40 {
		is.True(call() != "")
		time.Sleep(20 * time.Millisecond)
	}
	probes := int64(time.Since(start)/(250*time.Millisecond)) + 1
	is.True(fleet[0].tried.Load()-before <= probes)
	fleet[0].link.Store(linkWorks)
	for end := time.Now().Add(5 * time.Second); call() != ""; time.Sleep(20 * time.Millisecond) {
		is.True(time.Now().Before(end))
	}
	is.Equal(closedIdle.Load(), int64(1))
}

// TestLostPacket guards against a link that counts as lost because of one packet.
func TestLostPacket(t *testing.T) {
	is := is.New(t)
	at := socket.Serve(t, echo)
	fleet := startFleet(t, 3)
	var lost atomic.Bool
	fleet[0].OnLost = func(jaywind.Address) { lost.Store(true) }
	fleet[0].Direct = func(ctx context.Context, network, address string) (net.Conn, error) {
		if fleet[0].tried.Add(1) == 1 {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}
	for i := range 2 {
		c, err := fleet[0].dial(at)
		is.NoErr(err)
		is.Equal(via(c) != "", i == 0)
		_ = c.Close()
		time.Sleep(4 * dialLimit)
	}
	is.True(!lost.Load())
}

// TestEndings guards against an answer without a length that is taken for complete, although the endpoint has reset the connection or
// the helper is lost.
func TestEndings(t *testing.T) {
	const answer = "part of an answer"
	tests := map[string]struct {
		end  func(c *net.TCPConn, helpers []*node)
		want error
	}{
		"endpoint closes": {func(c *net.TCPConn, _ []*node) { _ = c.Close() }, io.EOF},
		"endpoint resets": {func(c *net.TCPConn, _ []*node) { _ = c.SetLinger(0); _ = c.Close() }, syscall.ECONNRESET},
		"helper is lost": {func(_ *net.TCPConn, helpers []*node) {
			for _, h := range helpers {
				h.server.CloseClientConnections()
			}
		}, jaywind.ErrRelayLost},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fleet := startFleet(t, 3)
			fleet[0].link.Store(linkHangs)
			read := make(chan struct{})
			at := socket.Serve(t, func(conn net.Conn) {
				_, _ = io.WriteString(conn, answer)
				<-read
				c.end(conn.(*net.TCPConn), fleet[1:])
			})
			conn, err := fleet[0].dial(at)
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			b := make([]byte, len(answer))
			_, err = io.ReadFull(conn, b)
			is.NoErr(err)
			is.Equal(string(b), answer)
			close(read)
			is.NoErr(conn.SetReadDeadline(time.Now().Add(5 * time.Second)))
			_, err = conn.Read(b)
			is.True(errors.Is(err, c.want))
			is.True(errors.Is(err, io.EOF) == (c.want == io.EOF)) //nolint:errorlint // the plain value
		})
	}
}

// TestCallerLeaves guards against endpoints that work on after the router that asks has closed its connection or is lost.
func TestCallerLeaves(t *testing.T) {
	tests := map[string]func(n *node, c net.Conn){
		"closes":  func(_ *node, c net.Conn) { _ = c.Close() },
		"is lost": func(n *node, _ net.Conn) { n.calls.Wait(0) },
	}
	for name, leave := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fleet := startFleet(t, 2)
			fleet[0].link.Store(linkHangs)
			ended := make(chan struct{})
			at := socket.Serve(t, func(c net.Conn) {
				_, _ = io.Copy(io.Discard, c)
				close(ended)
			})
			c, err := fleet[0].dial(at)
			is.NoErr(err)
			_, err = io.WriteString(c, "request")
			is.NoErr(err)
			leave(fleet[0], c)
			select {
			case <-ended:
			case <-time.After(500 * time.Millisecond):
				t.Fatal("the endpoint's connection is still open")
			}
		})
	}
}

// TestHelperDeclines checks which tunnels a helper does not open, and that another helper is asked then.
func TestHelperDeclines(t *testing.T) {
	tests := map[string]func(n *node){
		"stops":                         func(n *node) { n.Accepts = func(jaywind.Address) bool { return false } },
		"asked from outside of a fleet": func(n *node) { n.IsMember = func(string) bool { return false } },
		"does not answer":               func(n *node) { n.Accepts = func(jaywind.Address) bool { time.Sleep(time.Second); return true } },
		"has ended":                     func(n *node) { n.server.CloseClientConnections(); n.server.Close() },
	}
	for name, decline := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			at := socket.Serve(t, echo)
			fleet := startFleet(t, 3)
			fleet[0].link.Store(linkHangs)
			decline(fleet[1])
			for range 5 {
				start := time.Now()
				c, err := fleet[0].dial(at)
				is.NoErr(err)
				is.Equal(via(c), fleet[2].address)
				is.True(time.Since(start) < dialLimit)
				checkEcho(t, c, "x")
				_ = c.Close()
			}
			is.Equal(fleet[1].tried.Load(), int64(0))
		})
	}
}

// TestNoCircle guards against a helper that asks further routers.
func TestNoCircle(t *testing.T) {
	is := is.New(t)
	at := socket.Serve(t, echo)
	fleet := startFleet(t, 2)
	for _, n := range fleet {
		n.link.Store(linkHangs)
	}
	for range 5 {
		start := time.Now()
		_, err := fleet[0].dial(at)
		is.True(err != nil)
		is.True(time.Since(start) < 2*dialLimit)
	}
	is.Equal(fleet[0].Active(), 0)
}

// TestLongAnswer checks that a long answer arrives whole, and that a helper does not read on for a router that does not.
func TestLongAnswer(t *testing.T) {
	const length = 12 << 20
	is := is.New(t)
	answer := bytes.Repeat([]byte("0123456789abcdef"), length/16)
	var sent atomic.Int64
	at := socket.Serve(t, func(c net.Conn) {
		for part := answer; len(part) > 0; {
			n, err := c.Write(part[:min(len(part), 64<<10)])
			sent.Add(int64(n))
			if part = part[n:]; err != nil {
				return
			}
		}
	})
	fleet := startFleet(t, 2)
	fleet[0].link.Store(linkHangs)
	c, err := fleet[0].dial(at)
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	time.Sleep(500 * time.Millisecond)
	t.Logf("%d KB sent to a router that does not read", sent.Load()>>10)
	is.True(sent.Load() < length)
	got, err := io.ReadAll(c)
	is.NoErr(err)
	is.True(bytes.Equal(got, answer))
}

// TestMemoryOfTunnels guards against tunnels that take so much memory that a VM whose links are cut comes near its limit, where the garbage
// collector takes most of the processor.
func TestMemoryOfTunnels(t *testing.T) {
	const (
		tunnels = 100
		most    = 150 << 10 // bytes for one, at both routers and the endpoint; the race detector adds to them
	)
	is := is.New(t)
	at := socket.Serve(t, echo)
	fleet := startFleet(t, 2)
	fleet[0].link.Store(linkRefuses)
	heap := func() int64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	before := heap()
	var open []net.Conn
	for range tunnels {
		c, err := fleet[0].dial(at)
		is.NoErr(err)
		checkEcho(t, c, "x")
		open = append(open, c)
	}
	each := (heap() - before) / tunnels
	for _, c := range open {
		_ = c.Close()
	}
	t.Logf("%d KB for a tunnel", each>>10)
	is.True(each < most)
}

// TestDeadlines checks the deadlines of a connection through a helper.
func TestDeadlines(t *testing.T) {
	is := is.New(t)
	at := socket.Serve(t, echo)
	fleet := startFleet(t, 2)
	fleet[0].link.Store(linkRefuses)
	c, err := fleet[0].dial(at)
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	is.NoErr(c.SetReadDeadline(time.Now().Add(50 * time.Millisecond)))
	_, err = c.Read(make([]byte, 1))
	var timeout net.Error
	is.True(errors.As(err, &timeout) && timeout.Timeout())
	checkEcho(t, c, "still open")
}
