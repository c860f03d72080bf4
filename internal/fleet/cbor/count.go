package cbor

import (
	"net"

	"github.com/rcrowley/go-metrics"
)

// TrafficCounter counts the bytes read from and written to connections. Both counters must be set;
// they may be the same.
type TrafficCounter struct {
	In  metrics.Counter
	Out metrics.Counter
}

// Listener returns a listener whose connections are counted.
func (t TrafficCounter) Listener(l net.Listener) net.Listener {
	return &countingListener{Listener: l, traffic: t}
}

// Conn returns a connection whose bytes are counted.
func (t TrafficCounter) Conn(c net.Conn) net.Conn {
	return &countingConn{Conn: c, traffic: t}
}

type countingListener struct {
	net.Listener
	traffic TrafficCounter
}

// Accept returns the next connection.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.traffic.Conn(c), nil
}

type countingConn struct {
	net.Conn
	traffic TrafficCounter
}

// Read reads from the connection and counts the bytes.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.In.Inc(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.Out.Inc(int64(n))
	return n, err
}
