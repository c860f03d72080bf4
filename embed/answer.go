package embed

import (
	"context"
	"sync"

	"jaywind"
	"jaywind/internal/core/table"
)

// Event is one token of an answer, or its final word.
type Event struct {
	Token jaywind.Token
	Mark  jaywind.Bookmark // the place after the token
	Final *table.Finish    // set in the last event only
}

// Answer is what a router hands to one caller.
type Answer struct {
	id     jaywind.RequestID
	router *Router

	mu     sync.Mutex
	events []Event
	read   int
	wake   chan struct{} // holds a value while there may be something to read
	closed bool
}

// Next waits for the next event; after the final one it returns ErrStopped.
func (a *Answer) Next(ctx context.Context) (Event, error) {
	for {
		e, ok, closed := a.pop()
		if ok {
			return e, nil
		}
		if closed {
			return Event{}, ErrStopped
		}
		select {
		case <-a.wake:
		case <-ctx.Done():
			return Event{}, ctx.Err()
		}
	}
}

func (a *Answer) pop() (e Event, ok, closed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.read == len(a.events) {
		return Event{}, false, a.closed
	}
	e = a.events[a.read]
	a.events[a.read] = Event{}
	a.read++
	return e, true, false
}

func (a *Answer) push(e Event, last bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return
	}
	a.events = append(a.events, e)
	a.closed = last
	a.signal()
}

func (a *Answer) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	a.signal()
}

// signal wakes the reader; the caller holds mu.
func (a *Answer) signal() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Close tells the router that the caller is gone, unless the answer has ended.
func (a *Answer) Close() {
	if a.router.answers.remove(a) {
		a.router.post(table.Gone{Request: a.id})
	}
}

// Generate asks for a generation; the caller reads the answer and closes it.
func (r *Router) Generate(_ context.Context, ask table.Ask) (*Answer, error) {
	r.init()
	a := &Answer{id: ask.ID, router: r, wake: make(chan struct{}, 1)}
	r.answers.add(a)
	if !r.post(table.Arrived{Ask: ask}) {
		return nil, ErrStopped
	}
	return a, nil
}

// answerSet holds the answers that callers read.
type answerSet struct {
	mu   sync.Mutex
	open map[jaywind.RequestID]*Answer
}

// add replaces an older answer to the same request, which then ends.
func (s *answerSet) add(a *Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.open[a.id]; old != nil {
		old.close()
	}
	s.open[a.id] = a
}

func (s *answerSet) remove(a *Answer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open[a.id] != a {
		return false
	}
	delete(s.open, a.id)
	return true
}

func (s *answerSet) deliver(c table.Deliver) {
	s.mu.Lock()
	a := s.open[c.Mark.Request]
	s.mu.Unlock()
	if a != nil {
		a.push(Event{Token: c.Token, Mark: c.Mark}, false)
	}
}

func (s *answerSet) finish(c table.Finish) {
	s.mu.Lock()
	a := s.open[c.Request]
	delete(s.open, c.Request)
	s.mu.Unlock()
	if a != nil {
		a.push(Event{Mark: c.Mark, Final: &c}, true)
	}
}

func (s *answerSet) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.open {
		a.close()
	}
}
