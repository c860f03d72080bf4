package service_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"jaywind"
	"jaywind/internal/backend/service"
)

// TestReplyCutShort fails if a reply that the endpoint cuts off, at any byte of its head or body, is taken for whole.
func TestReplyCutShort(t *testing.T) {
	const body = "the whole body"
	tests := map[string]string{
		"length": "HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 14\r\n\r\n" + body,
		"chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nA: b\r\n\r\ne\r\n" + body + "\r\n0\r\n\r\n",
	}
	for name, answer := range tests {
		for _, pooled := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, pooled %t", name, pooled), func(t *testing.T) {
				is := is.New(t)
				l, err := net.Listen("tcp", "127.0.0.1:0")
				is.NoErr(err)
				var cutAt atomic.Int64
				var group conc.WaitGroup
				defer group.Wait()
				defer func() { _ = l.Close() }()
				group.Go(func() {
					for {
						conn, err := l.Accept()
						if err != nil {
							return
						}
						if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
							_, _ = io.WriteString(conn, answer[:cutAt.Load()])
						}
						_ = conn.Close()
					}
				})
				for at := range answer {
					cutAt.Store(int64(at))
					reply, err := (&service.Client{}).Do(context.Background(), jaywind.Address("http://"+l.Addr().String()),
						jaywind.ServiceRequest{Method: http.MethodPost, Path: "/x", ReuseConnection: pooled})
					is.True(err != nil || string(reply.Body) == body)
				}
			})
		}
	}
}
