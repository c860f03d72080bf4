package link

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"jaywind"
)

const (
	sendTimeout   = 2 * time.Second // for a write to a peer that does not read
	maxBodyBytes  = 8 << 20         // of a response that is not a stream
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
// that is too long.
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
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

// ReadBody reads the body of a response and reports whether the connection may be reused.
func (c *Conn) ReadBody(response *http.Response) (body []byte, reusable bool, err error) {
	body, err = io.ReadAll(io.LimitReader(response.Body, maxBodyBytes+1))
	if err != nil {
		return nil, false, timeoutError(err)
	}
	if len(body) > maxBodyBytes {
		return nil, false, fmt.Errorf("%w: body is longer than %d bytes", jaywind.ErrBadAnswer, maxBodyBytes)
	}
	framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	if !framed || response.Close {
		return body, false, nil
	}
	c.recordKeepAlive(response.Header.Get("Keep-Alive"))
	return body, true, nil
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
	if err == nil {
		return nil
	}
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return jaywind.ErrIdleTimeout
	}
	return err
}
