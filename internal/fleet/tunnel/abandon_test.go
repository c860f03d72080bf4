package tunnel_test

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind/internal/standin/socket"
)

// TestAbandonedRun: a router leaves a run at an endpoint that is paused. It guards against a run that begins, or goes on, once the endpoint
// wakes: against a request whose bytes still come then, and against an end that the endpoint does not notice with its first event.
func TestAbandonedRun(t *testing.T) {
	const taken = 10           // bytes that the endpoint reads before its pause
	const request = 512 << 10  // bytes; more than the endpoint's buffer holds, less than those of all connections
	const inTransit = 50 << 10 // bytes that may lie in the endpoint's buffer
	tests := map[string]struct {
		relayed bool
		size    int
		end     func(fleet []*node, c net.Conn)
	}{
		"over its own link":                                    {false, taken, func(_ []*node, c net.Conn) { _ = c.Close() }},
		"over its own link, bytes not taken":                   {false, request, func(_ []*node, c net.Conn) { _ = c.Close() }},
		"through another router":                               {true, taken, func(_ []*node, c net.Conn) { _ = c.Close() }},
		"through another router, bytes not taken":              {true, request, func(_ []*node, c net.Conn) { _ = c.Close() }},
		"through another router that ends":                     {true, taken, func(fleet []*node, _ net.Conn) { fleet[1].server.CloseClientConnections() }},
		"through another router that ends, bytes not taken":    {true, request, func(fleet []*node, _ net.Conn) { fleet[1].server.CloseClientConnections() }},
		"through another router, leaving and its end together": {true, request, func(fleet []*node, c net.Conn) { fleet[1].server.CloseClientConnections(); _ = c.Close() }},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ready, wake, read, wrote := make(chan struct{}), make(chan struct{}), make(chan int, 1), make(chan error, 1)
			at := socket.Serve(t, func(conn net.Conn) {
				_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
				close(ready)
				_, _ = io.ReadFull(conn, make([]byte, taken))
				<-wake
				_, err := conn.Write([]byte("event"))
				wrote <- err
				n, _ := io.Copy(io.Discard, conn)
				read <- int(n)
			})
			fleet := startFleet(t, 2)
			if c.relayed {
				fleet[0].link.Store(linkHangs)
			}
			conn, err := fleet[0].dial(at)
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			is.Equal(via(conn) != "", c.relayed)
			<-ready // the kernel keeps what has come to a larger buffer
			is.NoErr(conn.SetWriteDeadline(time.Now().Add(time.Second)))
			n, err := conn.Write(bytes.Repeat([]byte("r"), c.size))
			is.True(err == nil || n > taken)
			time.Sleep(100 * time.Millisecond) // until the bytes have gone as far as they can
			c.end(fleet, conn)
			time.Sleep(200 * time.Millisecond)
			close(wake)
			is.True(<-wrote != nil)
			is.True(<-read < inTransit)
		})
	}
}
