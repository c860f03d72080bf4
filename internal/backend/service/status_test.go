package service_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/internal/backend/service"
	"jaywind/internal/standin/socket"
)

// TestStatusThatIsNoAnswer fails if a status that HTTP does not know as a final one is passed on as an answer.
func TestStatusThatIsNoAnswer(t *testing.T) {
	tests := map[string]bool{
		"000": false, "099": false, "101": false, "600": false, "999": false, "abc": false, "2000": false, "-10": false, "20": false,
		"200": true, "299": true, "404": true, "599": true,
	}
	for status, ok := range tests {
		for _, pooled := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, pooled %t", status, pooled), func(t *testing.T) {
				at := socket.Serve(t, func(conn net.Conn) {
					if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
						_, _ = io.WriteString(conn, "HTTP/1.1 "+status+" X\r\nContent-Length: 45\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabcdefg\n")
					}
				})
				is := is.New(t)
				_, err := (&service.Client{}).Do(context.Background(), jaywind.Address("http://"+at), jaywind.ServiceRequest{Method: http.MethodPost, Path: "/x", ReuseConnection: pooled})
				is.Equal(err == nil, ok)
				is.True(!errors.Is(err, jaywind.ErrNotSent)) // it may have run
			})
		}
	}
}
