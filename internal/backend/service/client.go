package service

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"jaywind"
	"jaywind/internal/backend/answer"
)

const (
	dialTimeout        = time.Second
	maxReplyBytes      = 4 << 20
	maxHeadBytes       = 64 << 10 // of a reply
	idleTimeout        = 30 * time.Second
	maxIdlePerEndpoint = 16
)

// ErrTooLarge is returned for a reply longer than the limit. The request was run.
var ErrTooLarge = errors.New("reply is too large")

// Client implements jaywind.Service over HTTP.
type Client struct {
	Clock jaywind.Clock // defaults to the system clock
}

var _ jaywind.Service = (*Client)(nil)

// pool sends idempotent requests.
var pool = answer.Wrap(&http.Transport{
	DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
	IdleConnTimeout:     idleTimeout,
	MaxIdleConnsPerHost: maxIdlePerEndpoint,

	MaxResponseHeaderBytes: maxHeadBytes,
})

// Do sends the request. An error wraps jaywind.ErrNotSent if no byte of it was sent.
func (c *Client) Do(ctx context.Context, at jaywind.Address, e jaywind.ServiceRequest) (jaywind.Reply, error) {
	request, err := http.NewRequestWithContext(ctx, e.Method, string(at)+e.Path, bytes.NewReader(e.Body))
	if err != nil {
		return jaywind.Reply{}, fmt.Errorf("%w: %w", jaywind.ErrNotSent, err)
	}
	request.Header = endToEnd(e.Header)
	if e.ReuseConnection {
		return readReply(pool.RoundTrip(request))
	}
	return c.doUnpooled(request, e.SendBefore)
}

// doUnpooled sends a request once, over a new connection.
func (c *Client) doUnpooled(request *http.Request, notAfter time.Time) (jaywind.Reply, error) {
	g := &sendGuard{notAfter: notAfter, clock: c.Clock}
	if g.clock == nil {
		g.clock = jaywind.SystemClock{}
	}
	transport := answer.Wrap(&http.Transport{DialContext: g.dial, DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeadBytes})
	defer transport.CloseIdleConnections()
	reply, err := readReply(transport.RoundTrip(request))
	if err != nil {
		return jaywind.Reply{}, g.classify(err)
	}
	return reply, nil
}

func readReply(response *http.Response, err error) (jaywind.Reply, error) {
	if err != nil {
		return jaywind.Reply{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes+1))
	if err != nil {
		return jaywind.Reply{}, fmt.Errorf("reply: %w", err)
	}
	if len(body) > maxReplyBytes {
		return jaywind.Reply{}, ErrTooLarge
	}
	return jaywind.Reply{Status: response.StatusCode, Header: endToEnd(response.Header), Body: body}, nil
}

// hopHeaders are the headers that apply to one connection only, and Content-Length, which net/http sets.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length",
}

// endToEnd returns a copy of h without hopHeaders.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = http.Header{}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}
