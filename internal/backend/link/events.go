package link

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"jaywind"
)

// EventReader reads the events of a text/event-stream from a connection.
type EventReader struct {
	Conn *Conn
	Body io.Reader
	head jaywind.Reply

	lines *bufio.Reader
	event []byte
}

// NewEventReader returns a reader of the events in a response body.
func NewEventReader(c *Conn, body io.Reader, head jaywind.Reply) *EventReader {
	return &EventReader{Conn: c, Body: body, head: head, lines: bufio.NewReaderSize(body, bufferSize)}
}

// Head returns the status and header of the response.
func (s *EventReader) Head() jaywind.Reply { return s.head }

// Close closes the connection.
func (s *EventReader) Close() error { return s.Conn.Close() }

// Next returns the next event once it is complete, that is, once its blank line was read. The error wraps
// jaywind.ErrBadAnswer if the event, with the blank lines before it, is too long or has no id.
func (s *EventReader) Next(limit time.Duration) (jaywind.Event, error) {
	if err := s.Conn.SetReadTimeout(limit); err != nil {
		return jaywind.Event{}, err
	}
	s.event = s.event[:0]
	id, found := int64(0), false
	for start, blank := 0, 0; ; start = len(s.event) {
		if err := s.readLine(); err != nil {
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

var errLongEvent = fmt.Errorf("%w: event is longer than %d bytes", jaywind.ErrBadAnswer, maxEventBytes)

// readLine appends the next line to the event, also if it is longer than the read buffer.
func (s *EventReader) readLine() error {
	for {
		part, err := s.lines.ReadSlice('\n')
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
