package tunnel

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"jaywind"
	"jaywind/internal/fleet/cbor"
)

const (
	maxTunnels   = 256 // that a router carries for others at the same time
	writeTimeout = 2 * time.Second
)

var errNoMember = errors.New("only routers of the fleet may ask for tunnels")

// Handler returns the handler of tunnels for other routers.
func (d *Dialer) Handler() http.Handler {
	d.init()
	return connect.NewBidiStreamHandler(Path, d.serve, cbor.HandlerOptions()...)
}

// Active returns the number of tunnels that this router carries for others.
func (d *Dialer) Active() int { return int(d.carried.Load()) }

// serve carries one tunnel.
func (d *Dialer) serve(ctx context.Context, s *connect.BidiStream[upward, downward]) error {
	host, _, err := net.SplitHostPort(s.Peer().Addr)
	if err != nil || d.IsMember != nil && !d.IsMember(host) {
		return connect.NewError(connect.CodePermissionDenied, errNoMember)
	}
	first, err := s.Receive()
	if err != nil {
		return err
	}
	defer d.carried.Add(-1)
	conn, opened := d.openFor(ctx, jaywind.Address(first.Endpoint), d.carried.Add(1))
	if conn != nil {
		defer func() { _ = conn.Close() }()
	}
	d.Log.Debug("tunnel: asked for", zap.String("by", host), zap.String("endpoint", first.Endpoint), zap.Stringer("outcome", opened))
	if err := s.Send(&downward{Opened: opened}); err != nil || conn == nil {
		return err
	}
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	c := &carried{conn: conn}
	var group conc.WaitGroup
	defer group.Wait()
	group.Go(func() { c.sendUpward(s) })
	return c.sendDownward(s)
}

// openFor connects to an endpoint for another router.
func (d *Dialer) openFor(ctx context.Context, at jaywind.Address, carried int64) (net.Conn, outcome) {
	if carried > maxTunnels || d.Accepts != nil && !d.Accepts(at) {
		d.declined.Inc(1)
		return nil, outcomeUnavailable
	}
	if d.isLost(at) {
		d.declined.Inc(1)
		return nil, outcomeLinkLost
	}
	conn, err := d.direct(ctx, at, d.ownLimit(helpTimeout))
	switch {
	case err == nil:
		d.helped.Inc(1)
		return conn, outcomeConnected
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, outcomeRefused
	}
	return nil, outcomeUnreachable
}

// carried is a connection to an endpoint that this router carries for another one.
type carried struct {
	conn net.Conn

	mu      sync.Mutex // held during a write
	written int64      // bytes that the connection has taken
	reset   bool       // a write has failed because the endpoint has ended the connection
}

// sendUpward forwards what the router that asks sends, until it ends the tunnel.
func (c *carried) sendUpward(s *connect.BidiStream[upward, downward]) {
	defer func() { _ = c.conn.Close() }()
	for {
		m, err := s.Receive()
		if err != nil || c.write(m.Data) != nil {
			return
		}
	}
}

func (c *carried) write(b []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	n, err := c.conn.Write(b)
	c.written += int64(n)
	c.reset = c.reset || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
	return err
}

// sendDownward forwards what the endpoint sends, and how it ends the connection.
func (c *carried) sendDownward(s *connect.BidiStream[upward, downward]) error {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := c.conn.Read(buffer)
		m := downward{Data: buffer[:n]}
		if err != nil {
			m.End, m.Written = c.ending(err)
		}
		if err != nil && m.End == endingNone {
			return nil // this router has closed it
		}
		if sendErr := s.Send(&m); sendErr != nil || err != nil {
			return sendErr
		}
	}
}

// ending returns how the endpoint has ended the connection, given the error of a read, and the bytes that the connection has taken by then. The
// kernel may have given the error of a reset to a write, so the read sees a clean end, or the end that followed the write.
func (c *carried) ending(err error) (ending, *int64) {
	if errors.Is(err, io.EOF) {
		_ = c.conn.SetWriteDeadline(time.Now()) // ends a write that waits for the endpoint to read
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	written := c.written
	switch {
	case c.reset:
		return endingReset, &written
	case errors.Is(err, io.EOF):
		return endingClosed, &written
	case errors.Is(err, net.ErrClosed), errors.Is(err, os.ErrDeadlineExceeded):
		return endingNone, nil
	}
	return endingReset, &written
}
