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
	sendLimit = 2 * time.Second // for a peer that does not read
	maxAnswer = 8 << 20         // bytes of a plain answer
	maxLine   = 256 << 10       // bytes of one event
)

// quiet tells whether a connection that rests is open and holds no bytes, without waiting.
func quiet(conn net.Conn) bool {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = control.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && silent
}

// Send writes a call; the error wraps jaywind.ErrNotSent when no byte of it left.
func (l *Link) Send(b []byte) error {
	if err := l.conn.SetWriteDeadline(time.Now().Add(sendLimit)); err != nil {
		return fmt.Errorf("%w: %w", jaywind.ErrNotSent, err)
	}
	n, err := l.conn.Write(b)
	l.sent = l.sent || n > 0
	if err != nil && !l.sent {
		return fmt.Errorf("%w: %w", jaywind.ErrNotSent, err)
	}
	return err
}

// Read returns the head of the answer; its body reads on from the link. It returns jaywind.ErrSilent once deadline is over.
func (l *Link) Read(method string, deadline time.Time) (*http.Response, error) {
	if err := l.conn.SetReadDeadline(deadline); err != nil {
		return nil, err
	}
	for {
		answer, err := http.ReadResponse(l.reader, &http.Request{Method: method})
		if err != nil {
			return nil, silence(err)
		}
		if answer.StatusCode >= http.StatusOK {
			return answer, nil
		}
	}
}

// Whole reads the rest of an answer, and says whether the link may carry another call.
func (l *Link) Whole(answer *http.Response) (body []byte, reusable bool, err error) {
	body, err = io.ReadAll(io.LimitReader(answer.Body, maxAnswer+1))
	if err != nil {
		return nil, false, silence(err)
	}
	if len(body) > maxAnswer {
		return nil, false, fmt.Errorf("%w: more than %d bytes", jaywind.ErrBadAnswer, maxAnswer)
	}
	framed := answer.ContentLength >= 0 || len(answer.TransferEncoding) > 0
	if !framed || answer.Close {
		return body, false, nil
	}
	l.noteIdle(answer.Header.Get("Keep-Alive"))
	return body, true, nil
}

// noteIdle keeps the time that the peer gives an idle connection, less the way there.
func (l *Link) noteIdle(text string) {
	l.till = time.Time{}
	for field := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			l.till = time.Now().Add(time.Duration(seconds)*time.Second - 100*time.Millisecond)
		}
	}
}

// Peek waits until there are bytes to read, or returns jaywind.ErrSilent once limit is over.
func (l *Link) Peek(limit time.Duration) error {
	if err := l.Wait(limit); err != nil {
		return err
	}
	_, err := l.reader.Peek(1)
	return silence(err)
}

// Wait sets how long the next read from the link may take.
func (l *Link) Wait(limit time.Duration) error {
	return l.conn.SetReadDeadline(time.Now().Add(limit))
}

// Close closes the connection; calls after the first do nothing.
func (l *Link) Close() error {
	if l.closed.Swap(true) {
		return nil
	}
	return l.conn.Close()
}

// silence turns a timeout of the connection into jaywind.ErrSilent.
func silence(err error) error {
	if err == nil {
		return nil
	}
	var late net.Error
	if errors.As(err, &late) && late.Timeout() {
		return jaywind.ErrIdleTimeout
	}
	return err
}
