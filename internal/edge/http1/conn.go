package http1

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"jaywind/internal/core/memory"
)

const (
	maxDiscarded = 256 << 10 // bytes of requests that are not served, which are read to notice the end of the connection
	refusalWrite = 100 * time.Millisecond
	// refusal answers a request whose head there is no room for.
	refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1.000\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

// phase is what a connection is doing.
type phase int

const (
	phaseIdle    phase = iota // no byte of a request has come
	phaseReading              // a part of a request has come
	phaseServing              // the request has been passed on
)

// Conn is a connection of a Listener.
type Conn struct {
	net.Conn
	listener *Listener
	open     context.Context // ends when the connection is closed
	endOpen  context.CancelFunc

	// Used by the server's reads, of which there is one at a time.
	buffered []byte // received, and not yet passed on to the server
	scanned  int    // bytes at the begin of buffered that hold no whole head
	ready    int    // bytes at the begin of buffered that belong to a whole head
	tail     []byte // end of what was passed on as it came; the server may have kept it as the begin of the next head
	refused  bool   // the last head was

	mu        sync.Mutex
	through   bool // the server reads what comes as it comes, until the request ends
	http2     bool // or until the connection ends
	serving   bool // the server has read a head, and not yet ended its request
	full      bool // more was sent ahead than is kept, so the connection ends with the request that is served
	phase     phase
	idleSince time.Time
	charged   memory.Bytes
	parsing   memory.Bytes // of Listener.Heads
	closed    bool
}

// errShort ends a connection without an answer by the server, which gives one to all errors that are none of the network.
var errShort = &net.OpError{Op: "read", Err: memory.ErrShort}

// Read passes on whole heads, and then what follows them as it comes.
func (c *Conn) Read(p []byte) (int, error) {
	switch {
	case c.refused:
		return 0, errShort
	case c.ready > 0:
		return c.pass(p, c.ready), nil
	case !c.isThrough():
		return c.readHead(p)
	case len(p) == 1 && c.isServing(): // the server watches for the end of the connection; all its other reads are longer then
		return c.watch(p)
	}
	n, err := c.readThrough(p)
	c.tail = append(c.tail[:0], p[max(0, n-maxTail):n]...)
	return n, err
}

// readThrough passes on what has come.
func (c *Conn) readThrough(p []byte) (int, error) {
	if len(c.buffered) > 0 {
		return c.pass(p, len(c.buffered)), nil
	}
	return c.Conn.Read(p)
}

func (c *Conn) isThrough() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.through
}

func (c *Conn) isServing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.serving
}

// passThrough passes on all that comes, until the request ends, or the connection if it goes on in HTTP/2.
func (c *Conn) passThrough(http2 bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.through, c.http2, c.phase = true, http2, phaseServing
}

// pass copies at most n buffered bytes to p.
func (c *Conn) pass(p []byte, n int) int {
	n = copy(p, c.buffered[:n])
	c.buffered = c.buffered[n:]
	c.ready, c.scanned = max(0, c.ready-n), 0
	if len(c.buffered) == 0 {
		c.buffered = nil
	}
	return n
}

// readHead reads until a head is whole, or longer than the server takes.
func (c *Conn) readHead(p []byte) (int, error) {
	if c.EndsAfterRequest() {
		return 0, io.EOF
	}
	for {
		if err := c.findHead(); err != nil {
			return 0, err
		}
		if c.ready > 0 {
			return c.pass(p, c.ready), nil
		}
		n, err := c.Conn.Read(p)
		switch {
		case n > 0 && c.isWholeHead(p[:n]):
			if err := c.chargeHead(p[:n]); err != nil {
				return 0, err
			}
			return n, nil
		case n > 0:
			if err := c.receive(p[:n]); err != nil {
				return 0, err
			}
		case err != nil:
			return 0, err
		}
	}
}

// isWholeHead reports whether b is a head and nothing else, as it is for usual requests. It needs no copy then.
func (c *Conn) isWholeHead(b []byte) bool {
	return len(c.buffered) == 0 && len(c.tail) == 0 && headEnd(b, 0) == len(b) && !bytes.HasPrefix(b, []byte(prefaceHTTP2))
}

// findHead marks what may be passed on: a head that is whole, or one that is too long, which the server refuses.
func (c *Conn) findHead() error {
	if len(c.buffered) == 0 {
		return nil
	}
	end := blankLineEnd(c.tail, c.buffered)
	if end == 0 {
		end = headEnd(c.buffered, c.scanned)
	}
	c.scanned = len(c.buffered)
	if end == 0 && len(c.buffered) <= c.listener.MaxHead {
		return nil
	}
	if end == 0 || bytes.HasPrefix(c.buffered, []byte(prefaceHTTP2)) {
		c.passThrough(end > 0)
		c.ready = len(c.buffered)
		return nil
	}
	c.ready, c.scanned, c.tail = end, 0, nil
	return c.chargeHead(c.buffered[:end])
}

// receive buffers a part of a head.
func (c *Conn) receive(b []byte) error {
	if c.beginRequest() {
		if err := c.SetReadDeadline(time.Now().Add(c.listener.HeadTimeout)); err != nil {
			return err
		}
	}
	if !c.listener.charge(c, memory.Bytes(len(b))) {
		return c.refuse()
	}
	c.buffered = append(c.buffered, b...)
	return nil
}

// beginRequest records that a request has begun, and reports whether its first byte has only come now.
func (c *Conn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := c.phase == phaseIdle
	c.phase = phaseReading
	return first
}

// chargeHead charges a whole head: what is kept of it while the request is served, and until Parsed what the server makes of it.
func (c *Conn) chargeHead(head []byte) error {
	c.beginRequest() // bytes that were sent ahead may hold it all
	if !c.listener.charge(c, requestBytes+memory.Bytes(len(head))) {
		return c.refuse()
	}
	if c.listener.Heads == nil {
		return nil
	}
	n := min(memory.Bytes(len(head))+lineBytes*memory.Bytes(bytes.Count(head, []byte("\n"))), c.listener.Heads.Limit)
	ctx, cancel := context.WithTimeout(c.open, c.listener.HeadTimeout)
	defer cancel()
	if c.listener.Heads.Acquire(ctx, n) != nil {
		return c.refuse()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		c.listener.Heads.Release(n)
		return errShort
	}
	c.parsing += n
	return nil
}

// refuse answers that there is no room for the request, which has not been passed on.
func (c *Conn) refuse() error {
	c.refused = true
	c.listener.count(func(s *Stats) { s.Refused++ })
	if c.SetWriteDeadline(time.Now().Add(refusalWrite)) == nil {
		_, _ = io.WriteString(c.Conn, refusal) // a client that has left needs none
	}
	return errShort
}

// watch waits until the connection ends while a request is served, so that the request ends with it. What the client sends meanwhile is
// kept for the next request. A client that sends more than a whole head has to send it again on another connection.
func (c *Conn) watch(p []byte) (int, error) {
	part := make([]byte, 512)
	for discarded := 0; discarded < maxDiscarded; {
		n, err := c.Conn.Read(part)
		switch {
		case n > 0 && c.keepAhead(part[:n]):
		case n > 0:
			part = make([]byte, 4096)
			discarded += n
		case err != nil:
			return 0, err
		}
	}
	if err := c.awaitEnd(); err != nil {
		return 0, err
	}
	return copy(p, "\n"), nil // never used, as the connection ends with the request
}

// keepAhead buffers a part of the next request, or returns false if there is too much.
func (c *Conn) keepAhead(b []byte) bool {
	if c.EndsAfterRequest() {
		return false
	}
	if len(c.buffered)+len(b) <= c.listener.MaxHead && c.listener.charge(c, memory.Bytes(len(b))) {
		c.buffered = append(c.buffered, b...)
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.full = true
	return false
}

// EndsAfterRequest reports whether no further request is read from the connection.
func (c *Conn) EndsAfterRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.full
}

// awaitEnd waits until the client closes the connection, although there are bytes to read; it returns nil if it can't.
func (c *Conn) awaitEnd() error {
	inner, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := inner.SyscallConn()
	if err != nil {
		return err
	}
	known := true
	err = raw.Read(func(fd uintptr) bool {
		var open bool
		open, known = isOpen(int(fd))
		return !known || !open
	})
	switch {
	case err != nil:
		return err
	case known:
		return io.EOF
	}
	return nil
}

const tcpEstablished = 1 // state of a connection that neither side has closed

// isOpen reports whether neither side has closed a TCP connection, if the kernel tells.
func isOpen(fd int) (open, known bool) {
	state, err := syscall.GetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_INFO)
	return state&0xff == tcpEstablished, err == nil
}

// setState follows the server's state of the connection.
func (c *Conn) setState(s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch s {
	case http.StateActive: // the head is read
		c.through, c.serving = true, !c.http2
	case http.StateIdle:
		if c.http2 {
			return
		}
		c.through, c.serving = false, false
		c.phase, c.idleSince = phaseIdle, time.Now()
		c.endParsing()
		c.lower(connectionBytes + memory.Bytes(len(c.buffered)))
	}
}

// keepHead charges what the server has made of the head to the request.
func (c *Conn) keepHead() bool {
	c.mu.Lock()
	n := c.parsing
	c.mu.Unlock()
	kept := c.Charge(n)
	c.Parsed()
	return kept
}

// Parsed tells that nothing is needed any more of what the server has made of the head.
func (c *Conn) Parsed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endParsing()
}

// Charge takes n bytes for the request, or returns false if they are not free.
func (c *Conn) Charge(n memory.Bytes) bool {
	if c.listener.charge(c, n) {
		return true
	}
	c.listener.count(func(s *Stats) { s.Refused++ })
	return false
}

// Received tells that the whole request has come, and returns false if its connection was closed, so that it must not be passed on. From
// then on the connection is not closed to make room for others.
func (c *Conn) Received() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = phaseServing
	return !c.closed
}

// Close closes the connection and returns what it was charged. The server calls it when it uses nothing of the head any more.
func (c *Conn) Close() error {
	defer c.Parsed()
	if !c.end(func() bool { return true }) {
		return net.ErrClosed
	}
	return c.Conn.Close()
}

// closeIn closes the connection if it is in a phase, and reports whether it did. What the server is making of its head stays charged until
// the server calls Close, as it parses on.
func (c *Conn) closeIn(p phase) bool {
	if !c.end(func() bool { return c.phase == p }) {
		return false
	}
	_ = c.Conn.Close()
	return true
}

// end marks the connection as closed and returns what it was charged, unless it is closed already or ok, which is called with mu held,
// returns false.
func (c *Conn) end(ok func() bool) bool {
	c.mu.Lock()
	if c.closed || !ok() {
		c.mu.Unlock()
		return false
	}
	c.closed = true
	c.lower(0)
	c.mu.Unlock()
	c.endOpen()
	c.listener.remove(c)
	return true
}

// CloseWrite closes the sending side, so that the client reads an answer although it has sent more than was read.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// addCharge records that n bytes were taken, or returns them if the connection was closed meanwhile.
func (c *Conn) addCharge(n memory.Bytes) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		c.listener.Memory.Release(n)
		return false
	}
	c.charged += n
	return true
}

// lower returns what was charged beyond n; the caller holds mu.
func (c *Conn) lower(n memory.Bytes) {
	if c.charged > n {
		c.listener.Memory.Release(c.charged - n)
		c.charged = n
	}
}

func (c *Conn) endParsing() {
	c.listener.Heads.Release(c.parsing)
	c.parsing = 0
}

func (c *Conn) cost() memory.Bytes {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.charged
}

// standing returns what decides whether the connection makes room for another one.
func (c *Conn) standing() (p phase, idleSince time.Time, cost memory.Bytes) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase, c.idleSince, c.charged
}
