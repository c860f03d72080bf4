package tunnel

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"syscall"

	"connectrpc.com/connect"

	"jaywind"
)

const bufferBytes = 8 << 10 // for one message

// stream is a tunnel as the router that asks sees it.
type stream = connect.BidiStreamForClient[upward, downward]

// Conn is a connection to an endpoint through a helper.
type Conn struct {
	net.Conn // the near end of a pipe; the far end is forwarded

	helper jaywind.Address
	cancel context.CancelFunc // ends the tunnel
	ended  atomic.Pointer[error]
	sent   atomic.Int64 // bytes that the user has written
}

// Via returns the address of the helper.
func (c *Conn) Via() jaywind.Address { return c.helper }

// Read reads what the endpoint has sent. The error is that of a connection which the endpoint has closed or reset, or wraps
// jaywind.ErrRelayLost.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	return n, c.cause(err)
}

// Write sends bytes to the endpoint.
func (c *Conn) Write(b []byte) (int, error) {
	c.sent.Add(int64(len(b)))
	n, err := c.Conn.Write(b)
	return n, c.cause(err)
}

// Close ends the tunnel, and with it the endpoint's connection.
func (c *Conn) Close() error {
	c.cancel()
	return c.Conn.Close()
}

// cause returns why the tunnel has ended, if it has and that is why a call has failed.
func (c *Conn) cause(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrClosedPipe) {
		if ended := c.ended.Load(); ended != nil {
			return *ended
		}
	}
	return err
}

// forward carries the bytes of a connection until the tunnel ends.
func (c *Conn) forward(far net.Conn, s *stream) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := far.Read(buffer)
		if n > 0 && s.Send(&upward{Data: buffer[:n]}) != nil {
			err = io.ErrClosedPipe // receive learns the cause
		}
		if err != nil {
			_ = s.CloseRequest()
			return
		}
	}
}

// receive carries the bytes of the endpoint until the tunnel ends.
func (c *Conn) receive(far net.Conn, s *stream) {
	defer c.cancel()
	defer func() { _ = far.Close() }()
	for {
		m, err := s.Receive()
		if err != nil {
			lost := fmt.Errorf("%w: %s: %w", jaywind.ErrRelayLost, c.helper, err)
			c.ended.Store(&lost)
			return
		}
		if len(m.Data) > 0 {
			if _, err := far.Write(m.Data); err != nil {
				return // closed by its user
			}
		}
		switch {
		case m.End == endingClosed && (m.Written == nil || *m.Written == c.sent.Load()):
			err = io.EOF
		case m.End != endingNone: // also a clean end before the endpoint has got all that was sent
			err = fmt.Errorf("through %s: %w", c.helper, syscall.ECONNRESET)
		default:
			continue
		}
		c.ended.Store(&err)
		return
	}
}
