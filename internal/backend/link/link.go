package link

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"jaywind"
	"jaywind/internal/backend/answer"
)

const (
	sendTimeout   = 2 * time.Second // for a write to a peer that does not read
	maxEventBytes = 256 << 10
)

// openAndEmpty reports, without blocking, whether an idle connection is open and has no bytes to read.
func openAndEmpty(conn net.Conn) bool {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = control.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && empty
}

// Send writes a request. The error wraps jaywind.ErrNotSent if no byte of it was sent.
func (c *Conn) Send(b []byte) error {
	if err := c.conn.SetWriteDeadline(time.Now().Add(sendTimeout)); err != nil {
		return fmt.Errorf("%w: %w", jaywind.ErrNotSent, err)
	}
	n, err := c.conn.Write(b)
	c.sent = c.sent || n > 0
	if err != nil && !c.sent {
		return fmt.Errorf("%w: %w", jaywind.ErrNotSent, err)
	}
	return err
}

// ReadResponse reads the head of the response, after any interim ones. The response's body reads from the connection.
// ReadResponse returns jaywind.ErrIdleTimeout once deadline has passed, and an error that wraps jaywind.ErrBadAnswer for a head
// that is too long or whose status is none.
func (c *Conn) ReadResponse(method string, deadline time.Time) (*http.Response, error) {
	if err := c.conn.SetReadDeadline(deadline); err != nil {
		return nil, err
	}
	c.source.beginHead()
	defer c.source.endHead()
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, timeoutError(err)
		}
		if isInterim(response.StatusCode) {
			continue
		}
		if err := answer.CheckStatus(response.StatusCode); err != nil {
			return nil, err
		}
		return response, nil
	}
}

// isInterim reports whether a response with a status precedes the final one. It has no body. After 101 the connection would speak another
// protocol, which no request asks for.
func isInterim(status int) bool { return status/100 == 1 && status != http.StatusSwitchingProtocols }

// ReadBody reads the body of a response, of maxBytes at most, and reports whether the connection may be reused. If many long
// bodies are being read, it waits until ctx ends.
func (c *Conn) ReadBody(ctx context.Context, response *http.Response, maxBytes int64) (body []byte, reusable bool, err error) {
	if body, err = c.readBody(ctx, response, maxBytes); err != nil {
		return nil, false, timeoutError(err)
	}
	framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	if !framed || response.Close {
		return body, false, nil
	}
	c.recordKeepAlive(response.Header.Get("Keep-Alive"))
	return body, true, nil
}

func (c *Conn) readBody(ctx context.Context, response *http.Response, maxBytes int64) ([]byte, error) {
	errLong := fmt.Errorf("%w: body is longer than %d bytes", jaywind.ErrBadAnswer, maxBytes)
	if response.Body == http.NoBody {
		return nil, nil // Content-Length, if any, is that of another answer
	}
	if response.ContentLength > maxBytes {
		return nil, errLong
	}
	size := maxBytes + 1 // the most that is read
	if response.ContentLength >= 0 {
		size = response.ContentLength
	}
	first, err := io.ReadAll(io.LimitReader(response.Body, unreservedBytes))
	rest := size - int64(len(first))
	switch {
	case err != nil:
		return nil, err
	case int64(len(first)) > maxBytes:
		return nil, errLong
	case len(first) < unreservedBytes || rest <= 0:
		return first, nil
	}
	if err := c.reserve(ctx, rest); err != nil {
		return nil, err
	}
	body, err := c.readLong(response, first, rest)
	if err != nil {
		c.release(rest)
		return nil, err
	}
	c.keep(ctx, rest, max(0, int64(len(body)-len(first))))
	return body, nil
}

// readLong reads the rest of a body, of which first has been read; it fails if that is as long as rest and has no length.
func (c *Conn) readLong(response *http.Response, first []byte, rest int64) ([]byte, error) {
	if response.ContentLength >= 0 {
		body := make([]byte, response.ContentLength)
		_, err := io.ReadFull(response.Body, body[copy(body, first):])
		return body, err
	}
	parts, err := readParts(response.Body, rest)
	if errors.Is(err, errNoEnd) {
		return nil, fmt.Errorf("%w: body is longer than %d bytes", jaywind.ErrBadAnswer, int64(len(first))+rest-1)
	}
	return bytes.Join(append([][]byte{first}, parts...), nil), err
}

var errNoEnd = errors.New("no end before the limit")

// readParts reads to the end, in parts that grow, or returns errNoEnd after limit bytes. A body without a length is only
// copied to one slice once it is complete, as most of those that are so long never are.
func readParts(r io.Reader, limit int64) (parts [][]byte, err error) {
	for size := int64(unreservedBytes); limit > 0; size *= 2 {
		part := make([]byte, min(size, limit))
		n := 0
		for n < len(part) && err == nil {
			var m int
			m, err = r.Read(part[n:])
			n += m
		}
		parts = append(parts, part[:n])
		limit -= int64(n)
		switch {
		case err == nil || limit == 0:
		case errors.Is(err, io.EOF):
			return parts, nil
		default:
			return nil, err
		}
	}
	return nil, errNoEnd
}

// recordKeepAlive sets the expiry of an idle connection from the peer's Keep-Alive header.
//
// It is 100 ms earlier than the header says, so that a request sent before it reaches the peer in time.
func (c *Conn) recordKeepAlive(text string) {
	c.expiresAt = time.Time{}
	for field := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			c.expiresAt = time.Now().Add(time.Duration(seconds)*time.Second - 100*time.Millisecond)
		}
	}
}

// WaitReadable blocks until there are bytes to read, or returns jaywind.ErrIdleTimeout after limit.
func (c *Conn) WaitReadable(limit time.Duration) error {
	if err := c.SetReadTimeout(limit); err != nil {
		return err
	}
	_, err := c.reader.Peek(1)
	return timeoutError(err)
}

// stallReader reads from a connection. It waits on beneath the readers of chunks and lines, which can't continue after a timeout.
type stallReader struct{ conn *Conn }

// Read reads from the connection, and waits for as long as its OnStall allows.
func (r stallReader) Read(b []byte) (int, error) {
	c := r.conn
	for {
		n, err := c.conn.Read(b)
		if n > 0 || !isTimeout(err) || c.OnStall == nil {
			return n, err
		}
		if n, err = r.readWithin(lookTime, b); n > 0 || !isTimeout(err) { // it came in time, but this process did not run
			return n, err
		}
		wait := c.OnStall()
		if wait <= 0 {
			return r.readWithin(lastLookTime, b)
		}
		if err := c.SetReadTimeout(wait); err != nil {
			return 0, err
		}
	}
}

const (
	lookTime     = time.Millisecond      // for what has arrived already
	lastLookTime = 20 * time.Millisecond // for a peer that has gone on while OnStall decided
)

func (r stallReader) readWithin(limit time.Duration, b []byte) (int, error) {
	if err := r.conn.conn.SetReadDeadline(time.Now().Add(limit)); err != nil {
		return 0, err
	}
	return r.conn.conn.Read(b)
}

// SetReadTimeout sets how long the next read from the connection may take.
func (c *Conn) SetReadTimeout(limit time.Duration) error {
	return c.conn.SetReadDeadline(time.Now().Add(limit))
}

// Close closes the connection. Calls after the first do nothing.
func (c *Conn) Close() error {
	if c.closed.Swap(true) {
		return nil
	}
	return c.conn.Close()
}

// timeoutError converts a timeout of the connection to jaywind.ErrIdleTimeout.
func timeoutError(err error) error {
	if isTimeout(err) {
		return jaywind.ErrIdleTimeout
	}
	return err
}

// isTimeout reports whether an error is that of a read deadline. A connection that the kernel has given up is no timeout.
func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// IsConnectionEnd reports whether an error says that the peer closed or reset the connection.
func IsConnectionEnd(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
