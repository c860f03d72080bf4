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

// stream reads the events of one attempt.
type stream struct {
	body io.ReadCloser
	call jaywind.Call
	next func() (sse.Event, error, bool)
	stop func()
}

func newStream(body io.ReadCloser, call jaywind.Call) *stream {
	events := sse.Read(body, &sse.ReadConfig{MaxEventSize: frameLimit})
	next, stop := iter.Pull2(events)
	return &stream{body: body, call: call, next: next, stop: stop}
}

// Next returns the next frame.
func (s *stream) Next() (jaywind.Frame, error) {
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
	f.Request = s.owner(c.Request)
	return f, err
}

// owner returns the call's request for the name of its work. Other work has
// none: its name may be equal to the call's request id.
func (s *stream) owner(name string) jaywind.RequestID {
	if name != nameOf(s.call.Work()) {
		return ""
	}
	return s.call.Request
}

// streamError marks an event that is longer than frameLimit.
func streamError(err error) error {
	if errors.Is(err, bufio.ErrTooLong) {
		return fmt.Errorf("%w: event: longer than %d bytes", jaywind.ErrBadFrame, frameLimit)
	}
	return fmt.Errorf("stream: %w", err)
}

// Close ends the connection.
func (s *stream) Close() error {
	err := s.body.Close()
	s.stop()
	return err
}
