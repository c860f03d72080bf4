package socket

import (
	"net"
	"testing"

	"github.com/sourcegraph/conc"
)

// Serve calls serve with each connection to a new address until the test ends, and closes the connection after it. It returns the address as
// host:port.
func Serve(t testing.TB, serve func(c net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group conc.WaitGroup
	t.Cleanup(func() { _ = l.Close(); group.Wait() })
	group.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			group.Go(func() {
				defer func() { _ = c.Close() }()
				serve(c)
			})
		}
	})
	return l.Addr().String()
}

// Reset closes a connection of Serve with a reset.
func Reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
