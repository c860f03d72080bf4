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
)

const (
	dialLimit  = time.Second
	replyLimit = 4 << 20 // bytes of a reply
	idleLimit  = 30 * time.Second
	idleConns  = 16 // kept for each endpoint
)

// ErrTooLarge is returned for a reply beyond the size limit; the call has been run.
var ErrTooLarge = errors.New("reply is too large")

// Client is the jaywind.Service that speaks to services over HTTP.
type Client struct {
	Clock jaywind.Clock // the machine's when nil
}

var _ jaywind.Service = (*Client)(nil)

// pool carries idempotent calls.
var pool = &http.Transport{
	DialContext:         (&net.Dialer{Timeout: dialLimit}).DialContext,
	IdleConnTimeout:     idleLimit,
	MaxIdleConnsPerHost: idleConns,
}

// Do sends the call once; an error wraps jaywind.ErrNotSent when no byte of it left.
func (c *Client) Do(ctx context.Context, at jaywind.Address, e jaywind.ServiceRequest) (jaywind.Reply, error) {
	request, err := http.NewRequestWithContext(ctx, e.Method, string(at)+e.Path, bytes.NewReader(e.Body))
	if err != nil {
		return jaywind.Reply{}, fmt.Errorf("%w: %w", jaywind.ErrNotSent, err)
	}
	request.Header = endToEnd(e.Header)
	if e.ReuseConnection {
		return read(pool.RoundTrip(request))
	}
	return c.doAlone(request, e.SendBefore)
}

// doAlone sends over a connection that no other call uses.
func (c *Client) doAlone(request *http.Request, notAfter time.Time) (jaywind.Reply, error) {
	g := &gate{notAfter: notAfter, clock: c.Clock}
	if g.clock == nil {
		g.clock = jaywind.SystemClock{}
	}
	transport := &http.Transport{DialContext: g.dial, DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	reply, err := read(transport.RoundTrip(request))
	if err != nil {
		return jaywind.Reply{}, g.explain(err)
	}
	return reply, nil
}

func read(response *http.Response, err error) (jaywind.Reply, error) {
	if err != nil {
		return jaywind.Reply{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, replyLimit+1))
	if err != nil {
		return jaywind.Reply{}, fmt.Errorf("reply: %w", err)
	}
	if len(body) > replyLimit {
		return jaywind.Reply{}, ErrTooLarge
	}
	return jaywind.Reply{Status: response.StatusCode, Header: endToEnd(response.Header), Body: body}, nil
}

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length",
}

// endToEnd returns a copy without the headers of one connection.
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
