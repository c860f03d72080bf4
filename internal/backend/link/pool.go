package link

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"jaywind"
)

const (
	dialLimit   = 150 * time.Millisecond // several round trips between failure domains; a first packet that is lost is repeated only after a second
	defaultIdle = 4 * time.Second        // a connection may have gone silent, so old ones are not kept
	maxIdle     = 16                     // connections kept for one address
	bufferSize  = 2048                   // bytes; the answers are small and many connections are open
)

// Pool keeps connections that may carry another call; its zero value works.
type Pool struct {
	Idle time.Duration // that a connection may rest before it is closed; 4 s when zero

	mu    sync.Mutex
	links map[jaywind.Address][]*Link

	dialed atomic.Int64
	reused atomic.Int64
}

// Link is one connection to an endpoint.
type Link struct {
	conn   net.Conn
	reader *bufio.Reader
	at     jaywind.Address
	rested time.Time // since then
	till   time.Time // the peer may close it from then on; zero if it says nothing
	sent   bool      // bytes of the current call may have left
	closed atomic.Bool
}

// Get returns a connection that rests, or a new one; the error wraps jaywind.ErrNotSent.
func (p *Pool) Get(ctx context.Context, at jaywind.Address) (*Link, error) {
	for {
		l := p.take(at)
		if l == nil {
			break
		}
		if p.sound(l) {
			p.reused.Add(1)
			l.sent = false
			return l, nil
		}
		_ = l.Close()
	}
	return p.Dial(ctx, at)
}

// Dial returns a new connection; the error wraps jaywind.ErrNotSent.
func (p *Pool) Dial(ctx context.Context, at jaywind.Address) (*Link, error) {
	p.dialed.Add(1)
	conn, err := (&net.Dialer{Timeout: dialLimit, KeepAlive: -1}).DialContext(ctx, "tcp", string(at))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", jaywind.ErrNotSent, err)
	}
	return &Link{conn: conn, reader: bufio.NewReaderSize(conn, bufferSize), at: at}, nil
}

func (p *Pool) take(at jaywind.Address) *Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := p.links[at]
	if len(all) == 0 {
		return nil
	}
	l := all[len(all)-1]
	p.links[at] = all[:len(all)-1]
	return l
}

func (p *Pool) idle() time.Duration {
	if p.Idle > 0 {
		return p.Idle
	}
	return defaultIdle
}

// sound tells whether a connection that rested can carry a call: nothing has come on it, and it isn't closed.
func (p *Pool) sound(l *Link) bool {
	now := time.Now()
	if now.Sub(l.rested) > p.idle() || !l.till.IsZero() && !now.Before(l.till) {
		return false
	}
	return l.reader.Buffered() == 0 && quiet(l.conn)
}

// Put keeps a connection whose call has ended with a whole answer.
func (p *Pool) Put(l *Link) {
	l.rested = time.Now()
	if l.closed.Load() || l.reader.Buffered() > 0 {
		_ = l.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.links == nil {
		p.links = map[jaywind.Address][]*Link{}
	}
	if len(p.links[l.at]) >= maxIdle {
		_ = l.Close()
		return
	}
	p.links[l.at] = append(p.links[l.at], l)
}

// Forget closes the connections to an address that rest.
func (p *Pool) Forget(at jaywind.Address) {
	p.mu.Lock()
	all := p.links[at]
	delete(p.links, at)
	p.mu.Unlock()
	for _, l := range all {
		_ = l.Close()
	}
}

// Sweep closes connections that have rested for too long.
func (p *Pool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for at, all := range p.links {
		kept := all[:0]
		for _, l := range all {
			if now.Sub(l.rested) > p.idle() {
				_ = l.Close()
				continue
			}
			kept = append(kept, l)
		}
		if len(kept) == 0 {
			delete(p.links, at)
			continue
		}
		p.links[at] = kept
	}
}

// Close closes all connections that rest.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, all := range p.links {
		for _, l := range all {
			_ = l.Close()
		}
	}
	p.links = nil
}

// Counts returns how many connections were opened, and how often one was used again.
func (p *Pool) Counts() (dialed, reused int64) {
	return p.dialed.Load(), p.reused.Load()
}
