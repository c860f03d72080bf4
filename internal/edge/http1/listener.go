package http1

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"jaywind/internal/core/memory"
)

const (
	receiveBuffer = 32 << 10 // bytes that the kernel keeps of what a client has sent and the server has not read
	sendBuffer    = 64 << 10 // bytes that the kernel keeps of what the client has not taken

	unreadTimeout = time.Second // for the body of a request that is refused

	connectionBytes memory.Bytes = 16 << 10 // of an idle connection: its goroutine, the server's buffers
	requestBytes    memory.Bytes = 24 << 10 // of a request in progress, besides its head and body: goroutines, a connection to an endpoint
	lineBytes       memory.Bytes = 112      // of a parsed header line, besides its text
	ordinaryBytes   memory.Bytes = 64 << 10 // of a connection with a usual request
	dearFraction                 = 0.75     // of the memory is all that connections may take for requests that cost more than usual ones
)

// Listener bounds the memory and the number of the connections that it accepts; set the exported fields before Serve.
type Listener struct {
	net.Listener
	Memory      *memory.Budget // of all connections; nil for no limit
	Heads       *memory.Budget // of the heads that are being parsed; nil for no limit
	MaxConns    int            // 0 for no limit
	MaxHead     int            // bytes of a head that the server accepts
	HeadTimeout time.Duration  // for the rest of a head, from its first byte

	mu    sync.Mutex
	conns map[*Conn]struct{}
	stats Stats
}

// Stats counts what a listener has done for want of memory or connections.
type Stats struct {
	ClosedIdle    int64 // idle connections that were closed to make room
	ClosedReading int64 // connections with a part of a request that were closed to make room
	Refused       int64 // connections and requests for which there was no room
}

// Stats returns the counts since the start.
func (l *Listener) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stats
}

// Connections returns the number of open connections.
func (l *Listener) Connections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

type connKey struct{}

// Configure sets the hooks of a server that serves the listener.
func (l *Listener) Configure(s *http.Server) {
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if c, ok := c.(*Conn); ok {
			c.setState(state)
		}
	}
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
}

// Whole returns a handler for requests whose headers are used until their end. It refuses those for which there is no memory with
// status 503, and keeps connections with a request in progress from being closed to make room.
func Whole(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := FromContext(r.Context()); c != nil {
			if !c.keepHead() {
				r.Header = nil
				_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadTimeout))
				w.Header().Set("Retry-After", "1")
				w.Header().Set("Connection", "close")
				http.Error(w, "no memory for the request, which has not run", http.StatusServiceUnavailable)
				return
			}
			if !c.Received() {
				panic(http.ErrAbortHandler)
			}
		}
		h.ServeHTTP(w, r)
	})
}

// Short returns a handler that passes requests on without their headers, for answers that are short and do not depend on them.
func Short(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Header = http.Header{}
		if c := FromContext(r.Context()); c != nil {
			c.Parsed()
			if !c.Received() {
				panic(http.ErrAbortHandler)
			}
		}
		h.ServeHTTP(w, r)
	})
}

// FromContext returns the connection of a request, or nil if it came through no Listener.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// Accept returns the next connection for which there is room.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if tcp, ok := inner.(*net.TCPConn); ok { // the limits are of no use to the kernel if it refuses them
			_ = tcp.SetReadBuffer(receiveBuffer)
			_ = tcp.SetWriteBuffer(sendBuffer)
		}
		c := &Conn{Conn: inner, listener: l, idleSince: time.Now()}
		c.open, c.endOpen = context.WithCancel(context.Background())
		if l.add(c) {
			return c, nil
		}
		c.endOpen()
		_ = inner.Close()
	}
}

// add charges a new connection, and makes room for it if it can.
func (l *Listener) add(c *Conn) bool {
	if !l.makeRoom(c) || !l.charge(c, connectionBytes) {
		l.count(func(s *Stats) { s.Refused++ })
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns == nil {
		l.conns = map[*Conn]struct{}{}
	}
	l.conns[c] = struct{}{}
	return true
}

// makeRoom keeps the number of connections below the limit.
func (l *Listener) makeRoom(c *Conn) bool {
	for l.MaxConns > 0 && l.Connections() >= l.MaxConns {
		if !l.evict(c) {
			return false
		}
	}
	return true
}

// charge takes n more bytes for a connection, for which it closes others if it has to.
func (l *Listener) charge(c *Conn, n memory.Bytes) bool {
	for !l.mayTake(c, n) || !l.Memory.TryAcquire(n) {
		if !l.evict(c) {
			return false
		}
	}
	return c.addCharge(n)
}

// mayTake reports whether n more bytes for a connection leave room for the usual requests of others.
func (l *Listener) mayTake(c *Conn, n memory.Bytes) bool {
	if l.Memory == nil || c.cost()+n <= ordinaryBytes {
		return true
	}
	return float64(l.Memory.Used()+n) <= dearFraction*float64(l.Memory.Limit)
}

// evict closes a connection to make room for another one: the one that is idle for longest, or else the dearest that has sent a part of a
// request, if it costs more than the other one. It returns false if there is none.
func (l *Listener) evict(other *Conn) bool {
	for {
		idle, reading := l.candidates(other)
		switch {
		case idle == nil && reading == nil:
			return false
		case idle != nil && idle.closeIn(phaseIdle):
			l.count(func(s *Stats) { s.ClosedIdle++ })
			return true
		case idle == nil && reading.closeIn(phaseReading):
			l.count(func(s *Stats) { s.ClosedReading++ })
			return true
		}
	}
}

// candidates returns the connections that evict may close, or nil.
func (l *Listener) candidates(other *Conn) (idle, reading *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var since time.Time
	dearest := other.cost()
	for c := range l.conns {
		if c == other {
			continue
		}
		switch p, from, cost := c.standing(); {
		case p == phaseIdle && (idle == nil || from.Before(since)):
			idle, since = c, from
		case p == phaseReading && cost > dearest:
			reading, dearest = c, cost
		}
	}
	return idle, reading
}

func (l *Listener) count(f func(*Stats)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(&l.stats)
}

func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}
