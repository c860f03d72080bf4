package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
)

// writer sends the chunks of one stream and applies the faults to them.
type writer struct {
	w       http.ResponseWriter
	control *http.ResponseController
	engine  *Engine
	number  int // counts the streams that the engine has opened
}

// write sends one chunk and returns whether the stream goes on.
func (s *writer) write(r *http.Request, c chunk) bool {
	e := s.engine
	e.waitWhilePaused()
	if e.silences(s.number) {
		<-r.Context().Done()
		return false
	}
	switch {
	case e.once(&e.faults.Cut, c.Position):
		panic(http.ErrAbortHandler)
	case e.once(&e.faults.Die, c.Position):
		e.die()
		panic(http.ErrAbortHandler)
	case e.once(&e.faults.Late, c.Position):
		earlier := c
		earlier.Attempt--
		s.send(earlier)
	case e.once(&e.faults.Cross, c.Position):
		other := c
		other.Request = "other-" + c.Request
		s.send(other)
	case e.once(&e.faults.Repeat, c.Position):
		s.send(c)
	case e.once(&e.faults.Skip, c.Position):
		return true
	}
	return s.send(c)
}

func (s *writer) send(c chunk) bool {
	text, err := json.Marshal(c)
	if err != nil {
		return false
	}
	if _, err := fmt.Fprintf(s.w, "data: %s\n\n", text); err != nil {
		return false
	}
	return s.flush()
}

func (s *writer) flush() bool { return s.control.Flush() == nil }
