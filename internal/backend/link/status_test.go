package link_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/internal/backend/link"
)

// TestStatusThatIsNoAnswer: a faulty endpoint sends a status that HTTP does not know, or one that would end the protocol. The test fails if it
// is passed on, or if what follows it is taken for the answer.
func TestStatusThatIsNoAnswer(t *testing.T) {
	const hidden = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nhidden"
	tests := map[string]struct {
		answer string
		status int // 0 for an error
	}{
		"000":                     {"HTTP/1.1 000 \r\nContent-Length: 47\r\n\r\n" + hidden, 0},
		"099":                     {"HTTP/1.1 099 Odd\r\n\r\n" + hidden, 0},
		"101":                     {"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n" + hidden, 0},
		"600":                     {"HTTP/1.1 600 Odd\r\nContent-Length: 2\r\n\r\nok", 0},
		"999":                     {"HTTP/1.1 999 Odd\r\nContent-Length: 2\r\n\r\nok", 0},
		"no digits":               {"HTTP/1.1 abc OK\r\nContent-Length: 2\r\n\r\nok", 0},
		"four digits":             {"HTTP/1.1 2000 OK\r\nContent-Length: 2\r\n\r\nok", 0},
		"negative":                {"HTTP/1.1 -20 OK\r\nContent-Length: 2\r\n\r\nok", 0},
		"interim, and an answer":  {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + whole, 200},
		"interim, and no answer":  {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 \r\n\r\n" + whole, 0},
		"the largest":             {"HTTP/1.1 599 Odd\r\nContent-Length: 2\r\n\r\nok", 599},
		"the smallest final one":  {whole, 200},
		"interim of another kind": {"HTTP/1.1 199 Odd\r\n\r\n" + whole, 200},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			at := startPeer(t, false, c.answer)
			p := &link.Pool{}
			defer p.Close()
			conn, err := p.Get(context.Background(), at, "q")
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			is.NoErr(conn.Send([]byte(request)))
			response, err := conn.ReadResponse("GET", time.Now().Add(time.Second))
			is.Equal(err == nil, c.status != 0)
			if err == nil {
				is.Equal(response.StatusCode, c.status)
			}
			is.True(!errors.Is(err, jaywind.ErrNotSent))     // it may have run
			is.True(!errors.Is(err, jaywind.ErrIdleTimeout)) // it waited for a further answer
		})
	}
}
