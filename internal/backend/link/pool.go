package link

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"jaywind"
	"jaywind/internal/core/memory"
)

const (
	dialTimeout        = 150 * time.Millisecond // several round trips between failure domains; TCP resends a lost SYN only after a second
	defaultIdleTimeout = 4 * time.Second        // short, since an idle connection may be dead without notice
	maxIdlePerAddress  = 16
	bufferSize         = 2048 // bytes; responses are small and many connections are open
	maxFailed          = 16   // requests that a connection remembers; then it is closed
)

// Pool keeps idle connections for reuse. Its zero value is ready to use.
type Pool struct {
	IdleTimeout time.Duration // after which an idle connection is closed; defaults to 4 s
	// DialContext opens the connections, within limits of its own; TCP over this VM's own links if nil.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
	// Answers bounds the memory of all long answers; defaults to 16 MiB.
	Answers *memory.Budget

	mu    sync.Mutex
	conns map[jaywind.Address][]*Conn

	start  sync.Once
	dialed atomic.Int64
	reused atomic.Int64
}

// Conn is a connection to an endpoint.
type Conn struct {
	// OnStall is called when nothing has come within the read timeout. It returns for how long the read waits on, or 0 if it does
	// not. May be nil, for never.
	OnStall func() time.Duration

	conn      net.Conn
	source    *source
	reader    *bufio.Reader // of source
	answers   *memory.Budget
	address   jaywind.Address
	idleSince time.Time // when it was put into the pool
	expiresAt time.Time // when the peer may close it; zero if it did not say
	sent      bool      // bytes of the current request may have been sent
	closed    atomic.Bool
	failed    []jaywind.RequestID // requests that got a failure on it
}

// Get returns an idle connection for a request, or a new one if there is none. A connection on which the request has failed before is not
// used: a late second copy of that failure could not be told from the answer. The error wraps jaywind.ErrNotSent.
func (p *Pool) Get(ctx context.Context, at jaywind.Address, request jaywind.RequestID) (*Conn, error) {
	for {
		c := p.popIdle(at, request)
		if c == nil {
			break
		}
		if p.usable(c) {
			p.reused.Add(1)
			c.sent = false
			return c, nil
		}
		_ = c.Close()
	}
	return p.Dial(ctx, at)
}

// Dial opens a new connection. The error wraps jaywind.ErrNotSent.
func (p *Pool) Dial(ctx context.Context, at jaywind.Address) (*Conn, error) {
	p.dialed.Add(1)
	dial := p.DialContext
	if dial == nil {
		dial = (&net.Dialer{KeepAlive: -1, Timeout: dialTimeout}).DialContext
	}
	conn, err := dial(ctx, "tcp", string(at))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", jaywind.ErrNotSent, err)
	}
	ResetOnClose(conn)
	p.start.Do(func() {
		if p.Answers == nil {
			p.Answers = &memory.Budget{Limit: budgetBytes}
		}
	})
	c := &Conn{conn: conn, answers: p.Answers, address: at}
	c.source = &source{conn: stallReader{c}}
	c.reader = bufio.NewReaderSize(c.source, bufferSize)
	return c, nil
}

// ResetOnClose lets the end of a TCP connection by this side, also by the end of the process, reset it. An endpoint that was paused then
// does not get the rest of a request that was left, and a run that was left ends with the next event that it writes.
func ResetOnClose(conn net.Conn) {
	if c, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = c.SetLinger(0) // fails only on a connection that has ended
	}
}

// Via returns the address of the router through which the connection goes; empty for none.
func (c *Conn) Via() jaywind.Address {
	if relayed, ok := c.conn.(interface{ Via() jaywind.Address }); ok {
		return relayed.Via()
	}
	return ""
}

// popIdle removes and returns the connection that was idle for the shortest time, of those on which the request has not failed.
func (p *Pool) popIdle(at jaywind.Address, request jaywind.RequestID) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.conns[at]
	for i := len(conns) - 1; i >= 0; i-- {
		if c := conns[i]; !slices.Contains(c.failed, request) {
			p.conns[at] = slices.Delete(conns, i, i+1)
			return c
		}
	}
	return nil
}

func (p *Pool) idleTimeout() time.Duration {
	if p.IdleTimeout > 0 {
		return p.IdleTimeout
	}
	return defaultIdleTimeout
}

// usable reports whether an idle connection can be reused: it has not expired, is open and has no bytes to read.
func (p *Pool) usable(c *Conn) bool {
	now := time.Now()
	if now.Sub(c.idleSince) > p.idleTimeout() || !c.expiresAt.IsZero() && !now.Before(c.expiresAt) {
		return false
	}
	return c.reader.Buffered() == 0 && openAndEmpty(c.conn)
}

// PutAnswered returns a connection to the pool after a complete response to a request, which names the request it answers unless answered is
// empty. Only responses that do can be told from each other if one of them comes twice, so without a name the connection is closed. failed
// tells whether the response is a failure.
func (p *Pool) PutAnswered(c *Conn, answered jaywind.RequestID, failed bool) {
	if failed {
		c.failed = append(c.failed, answered)
	}
	if answered == "" || len(c.failed) > maxFailed {
		_ = c.Close()
		return
	}
	p.Put(c)
}

// Put returns a connection to the pool on which nothing was sent since Get. One through another router is closed, as that router decides on
// each request whether it may be sent.
func (p *Pool) Put(c *Conn) {
	c.idleSince, c.OnStall = time.Now(), nil
	if c.closed.Load() || c.reader.Buffered() > 0 || c.Via() != "" {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns == nil {
		p.conns = map[jaywind.Address][]*Conn{}
	}
	if len(p.conns[c.address]) >= maxIdlePerAddress {
		_ = c.Close()
		return
	}
	p.conns[c.address] = append(p.conns[c.address], c)
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(at jaywind.Address) {
	p.mu.Lock()
	conns := p.conns[at]
	delete(p.conns, at)
	p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

// CloseExpired closes the connections that were idle for longer than the timeout.
func (p *Pool) CloseExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for at, conns := range p.conns {
		kept := conns[:0]
		for _, c := range conns {
			if now.Sub(c.idleSince) > p.idleTimeout() {
				_ = c.Close()
				continue
			}
			kept = append(kept, c)
		}
		if len(kept) == 0 {
			delete(p.conns, at)
			continue
		}
		p.conns[at] = kept
	}
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conns := range p.conns {
		for _, c := range conns {
			_ = c.Close()
		}
	}
	p.conns = nil
}

// Counts returns how many connections were opened, and how often one was reused.
func (p *Pool) Counts() (dialed, reused int64) {
	return p.dialed.Load(), p.reused.Load()
}
