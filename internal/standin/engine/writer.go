package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
)

// streamWriter writes the chunks of one stream and applies the faults to them.
type streamWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	engine     *Engine
	number     int // of the stream, in the order in which the engine opened them
}

// write sends one chunk and reports whether the stream goes on.
func (s *streamWriter) write(r *http.Request, c chunk) bool {
	e := s.engine
	e.waitWhilePaused()
	if e.isSilenced(s.number) {
		<-r.Context().Done()
		return false
	}
	switch {
	case e.takeFault(&e.faults.Cut, c.Position):
		panic(http.ErrAbortHandler)
	case e.takeFault(&e.faults.Crash, c.Position):
		e.crash()
		panic(http.ErrAbortHandler)
	case e.takeFault(&e.faults.StaleFrame, c.Position):
		earlier := c
		earlier.Attempt--
		s.send(earlier)
	case e.takeFault(&e.faults.ForeignFrame, c.Position):
		other := c
		other.Request = "other-" + c.Request
		s.send(other)
	case e.takeFault(&e.faults.Repeat, c.Position):
		s.send(c)
	case e.takeFault(&e.faults.Skip, c.Position):
		return true
	}
	return s.send(c)
}

func (s *streamWriter) send(c chunk) bool {
	text, err := json.Marshal(c)
	if err != nil {
		return false
	}
	if _, err := fmt.Fprintf(s.w, "data: %s\n\n", text); err != nil {
		return false
	}
	return s.flush()
}

func (s *streamWriter) flush() bool { return s.controller.Flush() == nil }
