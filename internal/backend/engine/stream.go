package engine

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"iter"

	"github.com/tmaxmax/go-sse"

	"jaywind"
)

// stream reads the frames of one attempt from its server-sent events.
type stream struct {
	body *frameBody
	call jaywind.Call
	next func() (sse.Event, error, bool)
	stop func()
}

// frameBody limits what is read for one frame, as comments and empty events don't form one.
type frameBody struct {
	io.ReadCloser
	left int
}

// Read reads up to the limit.
func (b *frameBody) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, fmt.Errorf("%w: %d bytes without a frame", jaywind.ErrBadFrame, maxFrameBytes)
	}
	n, err := b.ReadCloser.Read(p[:min(len(p), b.left)])
	b.left -= n
	return n, err
}

func newStream(response io.ReadCloser, call jaywind.Call) *stream {
	body := &frameBody{ReadCloser: response}
	events := sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes})
	next, stop := iter.Pull2(events)
	return &stream{body: body, call: call, next: next, stop: stop}
}

// Next returns the next frame.
func (s *stream) Next() (jaywind.Frame, error) {
	s.body.left = maxFrameBytes
	e, err, more := s.next()
	if err != nil {
		return jaywind.Frame{}, streamError(err)
	}
	if !more {
		return jaywind.Frame{}, io.EOF
	}
	var c chunk
	if err := json.Unmarshal([]byte(e.Data), &c); err != nil {
		return jaywind.Frame{}, fmt.Errorf("%w: %w", jaywind.ErrBadFrame, err)
	}
	f, err := c.frame()
	f.Request = s.requestOf(c.Request)
	return f, err
}

// requestOf returns the call's request if name is that of the call's work, and otherwise nothing. It never
// returns the name itself, as the name of other work may equal the call's request id.
func (s *stream) requestOf(name string) jaywind.RequestID {
	if name != workName(s.call.Work()) {
		return ""
	}
	return s.call.Request
}

// streamError wraps a read error, in ErrBadFrame for an event longer than maxEventBytes.
func streamError(err error) error {
	if errors.Is(err, bufio.ErrTooLong) {
		return fmt.Errorf("%w: event: longer than %d bytes", jaywind.ErrBadFrame, maxEventBytes)
	}
	return fmt.Errorf("stream: %w", err)
}

// Close closes the connection.
func (s *stream) Close() error {
	err := s.body.Close()
	s.stop()
	return err
}
