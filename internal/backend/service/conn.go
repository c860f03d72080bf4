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

var errLate = fmt.Errorf("%w: the time to send has passed", jaywind.ErrNotSent)

// gate notes whether bytes of one call have left and keeps them back when it is late.
type gate struct {
	notAfter time.Time // zero for no limit
	clock    jaywind.Clock
	sent     atomic.Bool
}

// gatedConn passes its writes through a gate.
type gatedConn struct {
	net.Conn
	gate *gate
}

// Write sends unless nothing has been sent and the time to do so has passed.
func (c *gatedConn) Write(b []byte) (int, error) {
	if !c.gate.sent.Load() {
		if late(c.gate.clock.Now(), c.gate.notAfter) {
			return 0, errLate
		}
		c.gate.sent.Store(true)
	}
	return c.Conn.Write(b)
}

// late compares the monotonic readings and the wall clocks, as the first stand still while a VM is suspended.
func late(now, limit time.Time) bool {
	if limit.IsZero() {
		return false
	}
	return !now.Before(limit) || !now.Round(0).Before(limit.Round(0))
}

// dial connects for the one call that the gate belongs to.
func (g *gate) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{Timeout: dialLimit}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &gatedConn{Conn: conn, gate: g}, nil
}

// explain says whether the call may have been run.
func (g *gate) explain(err error) error {
	if g.sent.Load() || errors.Is(err, jaywind.ErrNotSent) {
		return err
	}
	return fmt.Errorf("%w: %w", jaywind.ErrNotSent, err)
}
