package answer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
)

// errCut is returned at the end of a body that may be cut.
var errCut = fmt.Errorf("%w: the connection has ended before the request was written", io.ErrUnexpectedEOF)

// Transport is an http.RoundTripper. A status that is no final answer is an error; a body that may be cut ends with io.ErrUnexpectedEOF.
type Transport struct {
	base *http.Transport
}

// Wrap returns a Transport that sends requests by base, whose DialContext it replaces.
func Wrap(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
	return &Transport{base: base}
}

// RoundTrip sends a request.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	u := &upload{}
	trace := &httptrace.ClientTrace{GotConn: u.begin, WroteRequest: u.end}
	ctx := request.Context()
	response, err := t.base.RoundTrip(request.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		return nil, err
	}
	if err := CheckStatus(response.StatusCode); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		response.Body = &body{ReadCloser: response.Body, ctx: ctx, upload: u}
	}
	return response, nil
}

// Default returns a Transport like http.DefaultTransport.
func Default() *Transport {
	return Wrap(http.DefaultTransport.(*http.Transport).Clone()) //nolint:forcetypeassert // documented by net/http
}

// CloseIdleConnections closes the connections that are not in use.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// conn is a connection that remembers whether a write has failed.
type conn struct {
	net.Conn

	mu     sync.Mutex // held during a write
	failed bool
}

// Write writes to the connection.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(b)
	c.failed = c.failed || err != nil
	return n, err
}

// hasFailed reports whether a write has failed. It waits for the one in progress.
func (c *conn) hasFailed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failed
}

// upload is the state of writing one request, on the last connection that was tried.
type upload struct {
	mu   sync.Mutex
	conn *conn
	done chan struct{} // closed when the request was written, or that has failed
	err  error         // valid once done is closed
}

func (u *upload) begin(info httptrace.GotConnInfo) {
	u.mu.Lock()
	defer u.mu.Unlock()
	inner := info.Conn
	if secure, ok := inner.(*tls.Conn); ok {
		inner = secure.NetConn()
	}
	u.conn, _ = inner.(*conn)
	u.done, u.err = make(chan struct{}), nil
}

func (u *upload) end(info httptrace.WroteRequestInfo) {
	u.mu.Lock()
	defer u.mu.Unlock()
	select {
	case <-u.done: // of an earlier connection, whose write has ended late
	default:
		u.err = info.Err
		close(u.done)
	}
}

// isWhole reports whether the request was written to its end without an error. The transport closes the connection at the end of the
// answer, so a write that is still in progress ends soon.
func (u *upload) isWhole(ctx context.Context) bool {
	u.mu.Lock()
	c, done := u.conn, u.done
	u.mu.Unlock()
	select {
	case <-done:
	case <-ctx.Done():
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.err == nil && c != nil && !c.hasFailed()
}

// body is the body of an answer that ends with its connection.
type body struct {
	io.ReadCloser

	ctx    context.Context //nolint:containedctx // of the request, which the body belongs to
	upload *upload
}

// Read reads from the body. Its end is clean only if the request was written whole.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !b.upload.isWhole(b.ctx) {
		return n, errCut
	}
	return n, err
}
