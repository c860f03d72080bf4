package link

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"sync/atomic"
	"time"

	"jaywind"
)

// EventReader reads the events of a text/event-stream from a connection.
type EventReader struct {
	Conn *Conn
	Body io.Reader
	// Unframed says that the body has neither a length nor chunks and ends with its connection. Without an event it has broken.
	Unframed bool

	head     jaywind.Reply
	begun    bool // an event was read
	lines    *bufio.Reader
	event    []byte
	limit    time.Duration // of the current call of Next
	reserved atomic.Int64  // bytes that the current event holds of the budget
}

// NewEventReader returns a reader of the events in a response body.
func NewEventReader(c *Conn, body io.Reader, head jaywind.Reply) *EventReader {
	return &EventReader{Conn: c, Body: body, head: head, lines: bufio.NewReaderSize(body, bufferSize)}
}

// Head returns the status and header of the response.
func (s *EventReader) Head() jaywind.Reply { return s.head }

// Close closes the connection. It must be called after the last call of Next; it may be called before it too.
func (s *EventReader) Close() error {
	s.release()
	return s.Conn.Close()
}

// Next returns the next event once it is complete, that is, once its blank line was read. The error wraps
// jaywind.ErrBadAnswer if the event, with the blank lines before it, is too long or has no id.
func (s *EventReader) Next(limit time.Duration) (jaywind.Event, error) {
	if err := s.Conn.SetReadTimeout(limit); err != nil {
		return jaywind.Event{}, err
	}
	s.limit = limit
	if cap(s.event) > unreservedBytes {
		s.event = nil
	}
	s.release()
	s.event = s.event[:0]
	id, found := int64(0), false
	for start, blank := 0, 0; ; start = len(s.event) {
		if err := s.readLine(); err != nil {
			if errors.Is(err, io.EOF) && s.Unframed && !s.begun {
				err = io.ErrUnexpectedEOF
			}
			return jaywind.Event{}, err
		}
		if len(s.event)+blank > maxEventBytes {
			return jaywind.Event{}, errLongEvent
		}
		line := bytes.TrimRight(s.event[start:], "\r\n")
		if len(line) == 0 && start == 0 {
			blank += len(s.event)
			s.event = s.event[:0] // blank lines between events
			continue
		}
		if len(line) == 0 && !found {
			return jaywind.Event{}, fmt.Errorf("%w: event has no id", jaywind.ErrBadAnswer)
		}
		if len(line) == 0 {
			s.begun = true
			return jaywind.Event{ID: id, Raw: s.event}, nil
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		if !bytes.Equal(name, []byte("id")) {
			continue
		}
		var err error
		if id, err = strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err != nil {
			return jaywind.Event{}, fmt.Errorf("%w: %w", jaywind.ErrBadAnswer, err)
		}
		found = true
	}
}

// reserve waits for the memory of a long event.
func (s *EventReader) reserve() error {
	ctx, cancel := context.WithTimeout(context.Background(), s.limit)
	defer cancel()
	if err := s.Conn.reserve(ctx, maxEventBytes); err != nil {
		return err
	}
	s.reserved.Store(maxEventBytes)
	return nil
}

// release returns the memory of the last event.
func (s *EventReader) release() {
	if n := s.reserved.Swap(0); n > 0 {
		s.Conn.release(n)
	}
}

var errLongEvent = fmt.Errorf("%w: event is longer than %d bytes", jaywind.ErrBadAnswer, maxEventBytes)

// readLine appends the next line to the event, also if it is longer than the read buffer.
func (s *EventReader) readLine() error {
	for {
		part, err := s.lines.ReadSlice('\n')
		if len(s.event)+len(part) > unreservedBytes && s.reserved.Load() == 0 {
			if err := s.reserve(); err != nil {
				return err
			}
		}
		s.event = append(s.event, part...)
		switch {
		case err == nil:
			return nil
		case len(s.event) > maxEventBytes:
			return errLongEvent
		case errors.Is(err, io.EOF) && len(s.event) > 0:
			return io.ErrUnexpectedEOF
		case !errors.Is(err, bufio.ErrBufferFull):
			return timeoutError(err)
		}
	}
}
