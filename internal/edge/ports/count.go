package ports

import (
	"net"

	"github.com/rcrowley/go-metrics"
)

// countingListener counts the bytes of its connections.
type countingListener struct {
	net.Listener
	in  metrics.Counter
	out metrics.Counter
}

func newCountingListener(l net.Listener, r metrics.Registry) *countingListener {
	return &countingListener{
		Listener: l,
		in:       metrics.GetOrRegisterCounter("fleet.bytes.in", r),
		out:      metrics.GetOrRegisterCounter("fleet.bytes.out", r),
	}
}

// Accept returns the next connection.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c, listener: l}, nil
}

type countingConn struct {
	net.Conn
	listener *countingListener
}

// Read counts what it reads.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.listener.in.Inc(int64(n))
	return n, err
}

// Write counts what it writes.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.listener.out.Inc(int64(n))
	return n, err
}
