package tunnel_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"jaywind"
	"jaywind/internal/backend/link"
	"jaywind/internal/core/drain"
	"jaywind/internal/fleet/cbor"
	"jaywind/internal/fleet/tunnel"
	"jaywind/internal/standin/bubble"
)

// memoryNet connects routers and endpoints of one process without sockets, so that it can be used on a synthetic clock.
type memoryNet struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener
}

// memoryListener accepts the connections to one address.
type memoryListener struct {
	address string
	accepts chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepts:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *memoryListener) Addr() net.Addr { return memoryAddr(l.address) }

// memoryAddr is an address of a memoryNet.
type memoryAddr string

func (memoryAddr) Network() string  { return "tcp" }
func (a memoryAddr) String() string { return string(a) }

// memoryConn is a connection of a memoryNet; its peer has an address with a port.
type memoryConn struct{ net.Conn }

func (memoryConn) RemoteAddr() net.Addr { return memoryAddr("memory:1") }

func (m *memoryNet) listen(address string) *memoryListener {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.listeners == nil {
		m.listeners = map[string]*memoryListener{}
	}
	l := &memoryListener{address: address, accepts: make(chan net.Conn), closed: make(chan struct{})}
	m.listeners[address] = l
	return l
}

// dial connects to an address at which nothing may listen, as behind a link that is cut.
func (m *memoryNet) dial(ctx context.Context, _, address string) (net.Conn, error) {
	m.mu.Lock()
	l := m.listeners[address]
	m.mu.Unlock()
	if l == nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	near, far := net.Pipe()
	select {
	case l.accepts <- memoryConn{far}:
		return memoryConn{near}, nil
	case <-l.closed:
	case <-ctx.Done():
	}
	_, _ = near.Close(), far.Close()
	return nil, net.ErrClosed
}

// slowFleet is a fleet on a synthetic clock. The first router is the one that dials; its own links to endpoints hang.
type slowFleet struct {
	*tunnel.Dialer
	calls drain.Calls
}

// runSlowFleet starts a helper for each delay of helpers' answers, and calls f.
func runSlowFleet(t *testing.T, delays []time.Duration, f func(d *slowFleet)) {
	t.Helper()
	var network memoryNet
	var servers conc.WaitGroup
	endpoint := network.listen("endpoint:1")
	servers.Go(func() {
		for {
			c, err := endpoint.Accept()
			if err != nil {
				return
			}
			servers.Go(func() { echo(c); _ = c.Close() })
		}
	})
	var helpers []jaywind.Address
	var all []*http.Server
	for i, delay := range delays {
		helper := &tunnel.Dialer{Direct: network.dial, Peers: func(int) []jaywind.Address { return nil }}
		slow := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			select {
			case <-time.After(delay): // the helper is short of processor
			case <-r.Context().Done():
				return
			}
			helper.Handler().ServeHTTP(w, r)
		})
		mux := http.NewServeMux()
		mux.Handle(tunnel.Path, slow)
		s := &http.Server{Handler: mux, Protocols: cbor.Protocols(), ReadHeaderTimeout: time.Minute}
		at := fmt.Sprintf("helper%d:1", i)
		l := network.listen(at)
		servers.Go(func() { _ = s.Serve(l) })
		all = append(all, s)
		helpers = append(helpers, jaywind.Address(at))
	}
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: protocols, DialContext: network.dial}
	d := &slowFleet{}
	d.Dialer = &tunnel.Dialer{
		HTTP: &http.Client{Transport: transport}, Calls: &d.calls,
		Peers: func(most int) []jaywind.Address { return helpers[:min(most, len(helpers))] },
		Direct: func(ctx context.Context, _, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		},
	}
	f(d)
	time.Sleep(5 * time.Second) // until attempts that have lost are over
	d.calls.Wait(time.Second)
	transport.CloseIdleConnections()
	for _, s := range all {
		_ = s.Close()
	}
	_ = endpoint.Close()
	servers.Wait()
}

// TestSlowHelpers guards against connections that are not made because helpers that are short of processor take longer to answer than a
// fixed limit.
func TestSlowHelpers(t *testing.T) {
	const (
		callTime = 700 * time.Millisecond // left of a call, of which the connection is the first part
		calls    = 30
	)
	tests := map[string][]time.Duration{
		"5 ms":                   {5 * time.Millisecond, 5 * time.Millisecond},
		"50 ms":                  {50 * time.Millisecond, 50 * time.Millisecond},
		"500 ms":                 {500 * time.Millisecond, 500 * time.Millisecond},
		"500 ms, only one":       {500 * time.Millisecond},
		"one each":               {500 * time.Millisecond, 50 * time.Millisecond, 5 * time.Millisecond},
		"most of four are slow":  {500 * time.Millisecond, 500 * time.Millisecond, 500 * time.Millisecond, 50 * time.Millisecond},
		"each of four is slow":   {500 * time.Millisecond, 500 * time.Millisecond, 500 * time.Millisecond, 500 * time.Millisecond},
		"150 ms, the old limit":  {150 * time.Millisecond, 150 * time.Millisecond},
		"120 ms, about as usual": {120 * time.Millisecond, 120 * time.Millisecond},
	}
	for name, delays := range tests {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				runSlowFleet(t, delays, func(d *slowFleet) {
					is := is.New(t)
					pool := link.Pool{DialContext: d.DialContext}
					for i := range calls {
						ctx, cancel := context.WithTimeout(context.Background(), callTime)
						start := time.Now()
						c, err := pool.Dial(ctx, "endpoint:1")
						cancel()
						if err != nil {
							t.Errorf("call %d: %v after %v", i, err, time.Since(start))
							continue
						}
						is.True(c.Via() != "")
						is.NoErr(c.Close())
						time.Sleep(100 * time.Millisecond)
					}
				})
			})
		})
	}
}

// TestSilentEndpoint guards against calls that wait for long at an endpoint which no router reaches, as some helpers do not answer either.
func TestSilentEndpoint(t *testing.T) {
	const most = 250 * time.Millisecond // a call with 700 ms left tries another endpoint after it
	tests := map[string][]time.Duration{
		"two helpers":                 {time.Millisecond, time.Millisecond},
		"four helpers":                {time.Millisecond, time.Millisecond, time.Millisecond, time.Millisecond},
		"one of two does not answer":  {time.Millisecond, time.Minute},
		"two of four do not answer":   {time.Minute, time.Millisecond, time.Minute, time.Millisecond},
		"three of four do not answer": {time.Minute, time.Minute, time.Minute, time.Millisecond},
	}
	for name, delays := range tests {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				runSlowFleet(t, delays, func(d *slowFleet) {
					pool := link.Pool{DialContext: d.DialContext}
					for i := range 5 {
						start := time.Now()
						_, err := pool.Dial(context.Background(), "nobody:1")
						if took := time.Since(start); err == nil || took > most {
							t.Errorf("dial %d: %v after %v", i, err, took)
						}
						time.Sleep(20 * time.Millisecond)
					}
				})
			})
		})
	}
}
