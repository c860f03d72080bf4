package link

import (
	"bytes"
	"fmt"
	"io"

	"jaywind"
)

const (
	maxHeadBytes = 32 << 10 // of a response, with all interim ones before it
	maxHeadLines = 512      // of the same; a parsed line takes far more memory than its bytes
)

// source reads from a connection, with a limit on what a head may be.
type source struct {
	conn   io.Reader
	inHead bool
	bytes  int // of the head that may still be read
	lines  int // the same, in lines
}

// beginHead sets the limits for the next head.
func (s *source) beginHead() { s.inHead, s.bytes, s.lines = true, maxHeadBytes, maxHeadLines }

// endHead ends the limits; what follows is the body.
func (s *source) endHead() { s.inHead = false }

// Read reads from the connection.
func (s *source) Read(p []byte) (int, error) {
	if !s.inHead {
		return s.conn.Read(p)
	}
	if s.bytes <= 0 || s.lines <= 0 {
		return 0, fmt.Errorf("%w: head is longer than %d bytes or %d lines", jaywind.ErrBadAnswer, maxHeadBytes, maxHeadLines)
	}
	n, err := s.conn.Read(p[:min(len(p), s.bytes)])
	s.bytes -= n
	s.lines -= bytes.Count(p[:n], []byte("\n"))
	return n, err
}
