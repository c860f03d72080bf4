package tunnel_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind/internal/standin/socket"
)

const partOfAnswer = "HTTP/1.1 200 OK\r\n\r\na part of the answer"

// TestAnswerResetDuringUpload: an endpoint that is reached through another router answers a long upload at once, and resets the connection while
// the upload is still being sent. The test fails if the answer, which has no length, seems to end as it should.
func TestAnswerResetDuringUpload(t *testing.T) {
	for _, size := range []int{20_000, 100_000} {
		for _, wait := range []time.Duration{0, time.Millisecond} {
			t.Run(fmt.Sprintf("%d bytes, %v", size, wait), func(t *testing.T) {
				at := socket.Serve(t, func(c net.Conn) {
					_, _ = bufio.NewReaderSize(c, 600).Peek(600)
					_, _ = io.WriteString(c, partOfAnswer)
					time.Sleep(wait)
					socket.Reset(c)
				})
				fleet := startFleet(t, 2)
				fleet[0].link.Store(linkHangs)
				for range 60 {
					c, err := fleet[0].dial(at)
					is.New(t).NoErr(err)
					is.New(t).NoErr(c.SetDeadline(time.Now().Add(200 * time.Millisecond)))
					if _, err := c.Write(bytes.Repeat([]byte("x"), size)); err == nil {
						if b, err := io.ReadAll(c); err == nil {
							t.Fatalf("%q looks complete", b)
						}
					}
					_ = c.Close()
				}
			})
		}
	}
}

// endingConn is a connection to an endpoint that ends it after a part of an answer, as the kernel of the helper shows it.
type endingConn struct {
	net.Conn // nil; for the methods that are not called

	takes  int           // bytes of the request
	reset  bool          // the write after that gets the error of a reset; otherwise it waits until the connection is closed
	taken  atomic.Int64  // bytes so far
	ended  chan struct{} // closed once the endpoint has ended the connection
	closed chan struct{}
	once   sync.Once
	part   atomic.Bool // was read
}

func (c *endingConn) Write(b []byte) (int, error) {
	if n := c.taken.Add(int64(len(b))); n < int64(c.takes) {
		return len(b), nil
	} else if n == int64(c.takes) {
		close(c.ended)
		return len(b), nil
	}
	if c.reset {
		close(c.ended)
		return 0, syscall.ECONNRESET
	}
	close(c.ended)
	<-c.closed
	return 0, net.ErrClosed
}

func (c *endingConn) Read(b []byte) (int, error) {
	if !c.part.Swap(true) {
		return copy(b, partOfAnswer), nil
	}
	select {
	case <-c.ended:
		return 0, io.EOF
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

func (c *endingConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

func (c *endingConn) SetWriteDeadline(at time.Time) error {
	if !at.After(time.Now()) {
		return c.Close()
	}
	return nil
}

func (c *endingConn) SetLinger(int) error { return nil }

// TestEndOfAnswer: the kernel of a helper shows an end in several ways, and the helper's two directions see it in any order. The test fails if an
// end is clean although the endpoint has not got the whole request, or is not although it has.
func TestEndOfAnswer(t *testing.T) {
	const size = 3000
	tests := map[string]struct {
		takes int
		reset bool
		clean bool
	}{
		"request is whole":                                   {size, false, true},
		"reset, whose error the write gets":                  {100, true, false},
		"end while the write waits":                          {100, false, false},
		"reset at the last byte, whose error the write gets": {size - 1, true, false},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			for range 50 {
				is := is.New(t)
				fleet := startFleet(t, 2)
				fleet[0].link.Store(linkHangs)
				fleet[1].Direct = func(context.Context, string, string) (net.Conn, error) {
					return &endingConn{takes: c.takes, reset: c.reset, ended: make(chan struct{}), closed: make(chan struct{})}, nil
				}
				conn, err := fleet[0].dial("192.0.2.1:80")
				is.NoErr(err)
				is.NoErr(conn.SetDeadline(time.Now().Add(5 * time.Second)))
				_, err = conn.Write(bytes.Repeat([]byte("x"), size))
				is.NoErr(err) // it fits into one message
				b, err := io.ReadAll(conn)
				_ = conn.Close()
				is.Equal(err == nil, c.clean)
				if c.clean {
					is.Equal(string(b), partOfAnswer)
				} else {
					is.True(errors.Is(err, syscall.ECONNRESET)) // the endpoint's doing, not the helper's
				}
			}
		})
	}
}
