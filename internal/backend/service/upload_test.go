package service_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"jaywind"
	"jaywind/internal/backend/service"
	"jaywind/internal/standin/socket"
)

// TestAnswerResetDuringUpload: an endpoint answers a long upload at once, sends a part of the body and resets the connection while the upload
// is still being written. The test fails if the part is taken for the whole answer, which it looks like when the write takes the error
// of the reset and the read gets a clean end.
func TestAnswerResetDuringUpload(t *testing.T) {
	const part = "a part of the answer"
	tests := map[string]struct {
		head  string
		whole bool // the endpoint reads the request to its end, and closes the connection without a reset
		ok    bool
	}{
		"no length":                     {"HTTP/1.1 200 OK\r\n\r\n", false, false},
		"no length, HTTP/1.0":           {"HTTP/1.0 200 OK\r\n\r\n", false, false},
		"a length":                      {"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n", false, false},
		"chunks":                        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n14\r\n", false, false},
		"no length, request read whole": {"HTTP/1.1 200 OK\r\n\r\n", true, true},
	}
	for name, c := range tests {
		for _, pooled := range []bool{false, true} {
			for _, wait := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s, pooled %t, %v", name, pooled, wait), func(t *testing.T) {
					at := socket.Serve(t, func(conn net.Conn) {
						r := bufio.NewReaderSize(conn, 600)
						request, err := http.ReadRequest(r)
						if err != nil {
							return
						}
						if c.whole {
							_, _ = io.Copy(io.Discard, request.Body)
						}
						_, _ = io.WriteString(conn, c.head+part)
						time.Sleep(wait)
						if !c.whole {
							socket.Reset(conn)
						}
					})
					for range 30 {
						reply, err := (&service.Client{}).Do(context.Background(), jaywind.Address("http://"+at), jaywind.ServiceRequest{
							Method: http.MethodPost, Path: "/x", Body: bytes.Repeat([]byte("x"), 4<<20), ReuseConnection: pooled})
						if (err == nil) != c.ok || err == nil && string(reply.Body) != part {
							t.Fatalf("%+v, %v", reply, err)
						}
						if errors.Is(err, jaywind.ErrNotSent) {
							t.Fatalf("the request may have run: %v", err)
						}
					}
				})
			}
		}
	}
}
