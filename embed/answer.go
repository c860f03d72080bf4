package embed

import (
	"context"
	"sync"

	"jaywind"
	"jaywind/internal/core/table"
)

const answerBuffer = 4096 // events that may wait for a slow reader

// Event is one token of an answer, or its final word.
type Event struct {
	Token jaywind.Token
	Mark  jaywind.Bookmark     // the place after the token
	Tail  string               // the bytes of a cut rune before the token
	Final *table.FinishRequest // set in the last event only
}

// Answer is what a router hands to one caller.
type Answer struct {
	id       jaywind.RequestID
	listener table.Listener
	router   *Router

	mu     sync.Mutex
	events []Event
	read   int
	extra  int           // events that were there when the reader came
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
	if a.read == len(a.events) {
		a.events = a.events[:0]
		a.read = 0
		a.extra = 0
	}
	return e, true, false
}

// push adds an event; a reader that is too far behind is cut off and may come back with its bookmark.
func (a *Answer) push(e Event, again, last bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return
	}
	if again {
		a.extra++
	}
	a.events = append(a.events, e)
	a.closed = last
	if len(a.events)-a.read > answerBuffer+a.extra {
		a.events = nil
		a.read = 0
		a.closed = true
	}
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
		a.router.post(table.CallerGone{Request: a.id, Listener: a.listener})
	}
}

// Generate asks for a generation; the caller reads the answer and closes it.
func (r *Router) Generate(_ context.Context, ask table.GenerationRequest) (*Answer, error) {
	r.init()
	a := r.answers.add(r, ask.ID)
	ask.Listener = a.listener
	if !r.post(table.RequestArrived{Request: ask}) {
		return nil, ErrStopped
	}
	return a, nil
}

// answerSet holds the answers that callers read.
type answerSet struct {
	mu      sync.Mutex
	last    table.Listener
	open    map[table.Listener]*Answer
	current map[jaywind.RequestID]table.Listener // where the core's output goes
}

func (s *answerSet) add(r *Router, id jaywind.RequestID) *Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last++
	a := &Answer{id: id, listener: s.last, router: r, wake: make(chan struct{}, 1)}
	s.open[a.listener] = a
	return a
}

func (s *answerSet) join(c table.AttachListener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current[c.Request] = c.Listener
}

func (s *answerSet) remove(a *Answer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, open := s.open[a.listener]
	delete(s.open, a.listener)
	return open
}

func (s *answerSet) deliver(c table.DeliverToken) {
	s.mu.Lock()
	a := s.open[s.current[c.Bookmark.Request]]
	s.mu.Unlock()
	if a != nil {
		a.push(Event{Token: c.Token, Mark: c.Bookmark, Tail: c.PartialRune}, c.Replayed, false)
	}
}

func (s *answerSet) finish(c table.FinishRequest) {
	if a := s.take(c); a != nil {
		a.push(Event{Mark: c.Bookmark, Final: &c}, true, true)
	}
}

// take removes the answer that a final word is for.
func (s *answerSet) take(c table.FinishRequest) *Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	listener := c.Listener
	if listener == 0 {
		listener = s.current[c.Request]
		delete(s.current, c.Request)
	}
	a := s.open[listener]
	delete(s.open, listener)
	return a
}

func (s *answerSet) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.open {
		a.close()
	}
}
