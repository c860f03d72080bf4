package tunnel

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
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
	var group conc.WaitGroup
	defer group.Wait()
	group.Go(func() { sendUpward(s, conn) })
	return sendDownward(s, conn)
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

// sendUpward forwards what the router that asks sends, until it ends the tunnel.
func sendUpward(s *connect.BidiStream[upward, downward], conn net.Conn) {
	defer func() { _ = conn.Close() }()
	for {
		m, err := s.Receive()
		if err != nil {
			return
		}
		if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return
		}
		if _, err := conn.Write(m.Data); err != nil {
			return
		}
	}
}

// sendDownward forwards what the endpoint sends, and how it ends the connection.
func sendDownward(s *connect.BidiStream[upward, downward], conn net.Conn) error {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := conn.Read(buffer)
		m := downward{Data: buffer[:n]}
		switch {
		case errors.Is(err, io.EOF):
			m.End = endingClosed
		case errors.Is(err, net.ErrClosed), errors.Is(err, os.ErrDeadlineExceeded):
			return nil // this router has closed it
		case err != nil:
			m.End = endingReset
		}
		if sendErr := s.Send(&m); sendErr != nil || err != nil {
			return sendErr
		}
	}
}
