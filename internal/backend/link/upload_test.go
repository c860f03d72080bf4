package link_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/internal/backend/link"
	"jaywind/internal/standin/socket"
)

// TestAnswerResetDuringUpload: an endpoint answers a long upload at once, without a length, and resets the connection while the upload is still being
// sent. The test fails if the part of the answer that has come is taken for the whole.
func TestAnswerResetDuringUpload(t *testing.T) {
	for _, size := range []int{20_000, 4 << 20} {
		for _, wait := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond} {
			t.Run(fmt.Sprintf("%d bytes, %v", size, wait), func(t *testing.T) {
				at := socket.Serve(t, func(c net.Conn) {
					_, _ = bufio.NewReaderSize(c, 600).Peek(600)
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\na part of the answer")
					time.Sleep(wait)
					socket.Reset(c)
				})
				for range 60 {
					p := &link.Pool{}
					conn, err := p.Dial(context.Background(), jaywind.Address(at))
					is.New(t).NoErr(err)
					body, err := sendLong(conn, bytes.Repeat([]byte("x"), size))
					_ = conn.Close()
					if err == nil {
						t.Fatalf("%q looks complete", body)
					}
				}
			})
		}
	}
}

// sendLong sends a request and reads the answer, as the platform's client does.
func sendLong(c *link.Conn, request []byte) ([]byte, error) {
	if err := c.Send(request); err != nil {
		return nil, err
	}
	response, err := c.ReadResponse("POST", time.Now().Add(time.Second))
	if err != nil {
		return nil, err
	}
	body, _, err := c.ReadBody(context.Background(), response, maxBody)
	return body, err
}
