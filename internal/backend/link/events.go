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

// Series reads the events of a text/event-stream from a link.
type Series struct {
	Link *Link
	Body io.Reader
	head jaywind.Reply

	lines *bufio.Reader
	event []byte
}

// NewSeries returns the events of an answer's body.
func NewSeries(l *Link, body io.Reader, head jaywind.Reply) *Series {
	return &Series{Link: l, Body: body, head: head, lines: bufio.NewReaderSize(body, bufferSize)}
}

// Head returns the status and header of the answer.
func (s *Series) Head() jaywind.Reply { return s.head }

// Close ends the connection.
func (s *Series) Close() error { return s.Link.Close() }

// Next returns the next event once its blank line has come; an event that is cut is never returned.
func (s *Series) Next(limit time.Duration) (jaywind.Event, error) {
	if err := s.Link.Wait(limit); err != nil {
		return jaywind.Event{}, err
	}
	s.event = s.event[:0]
	id, found := int64(0), false
	for start := 0; ; start = len(s.event) {
		if err := s.readLine(); err != nil {
			return jaywind.Event{}, err
		}
		line := bytes.TrimRight(s.event[start:], "\r\n")
		if len(line) == 0 && start == 0 {
			s.event = s.event[:0] // blank lines between events
			continue
		}
		if len(line) == 0 && !found {
			return jaywind.Event{}, fmt.Errorf("%w: an event without an id", jaywind.ErrBadAnswer)
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

// readLine adds the next line to the event, whatever its length.
func (s *Series) readLine() error {
	for {
		part, err := s.lines.ReadSlice('\n')
		s.event = append(s.event, part...)
		switch {
		case err == nil:
			return nil
		case len(s.event) > maxLine:
			return fmt.Errorf("%w: an event of more than %d bytes", jaywind.ErrBadAnswer, maxLine)
		case errors.Is(err, io.EOF) && len(s.event) > 0:
			return io.ErrUnexpectedEOF
		case !errors.Is(err, bufio.ErrBufferFull):
			return silence(err)
		}
	}
}
