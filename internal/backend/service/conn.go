package service

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"jaywind"
)

var errSendTooLate = fmt.Errorf("%w: the send deadline has passed", jaywind.ErrNotSent)

// sendGuard records whether any byte of one request was sent, and rejects the first write after the send deadline.
type sendGuard struct {
	notAfter time.Time // zero for no limit
	clock    jaywind.Clock
	sent     atomic.Bool
}

// guardedConn is a connection whose writes are checked by a sendGuard.
type guardedConn struct {
	net.Conn
	guard *sendGuard
}

// Write fails if nothing was sent yet and the send deadline has passed.
func (c *guardedConn) Write(b []byte) (int, error) {
	if !c.guard.sent.Load() {
		if pastLimit(c.guard.clock.Now(), c.guard.notAfter) {
			return 0, errSendTooLate
		}
		c.guard.sent.Store(true)
	}
	return c.Conn.Write(b)
}

// pastLimit compares both the monotonic and the wall clock, since the monotonic clock stops while a VM is suspended.
func pastLimit(now, limit time.Time) bool {
	if limit.IsZero() {
		return false
	}
	return !now.Before(limit) || !now.Round(0).Before(limit.Round(0))
}

// dial opens the connection for the guard's one request.
func (g *sendGuard) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &guardedConn{Conn: conn, guard: g}, nil
}

// classify wraps the error in ErrNotSent if no byte was sent, so that the request certainly was not run.
func (g *sendGuard) classify(err error) error {
	if g.sent.Load() || errors.Is(err, jaywind.ErrNotSent) {
		return err
	}
	return fmt.Errorf("%w: %w", jaywind.ErrNotSent, err)
}
