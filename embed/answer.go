package embed

import (
	"context"
	"sync"

	"jaywind"
	"jaywind/internal/core/table"
)

const maxUnread = 4096 // events that are buffered for a slow reader

// Event is a token of an answer, or its end.
type Event struct {
	Token       jaywind.Token
	Bookmark    jaywind.Bookmark     // position after the token
	PartialRune string               // bytes before the token that end in the middle of a rune
	Final       *table.FinishRequest // set only in the last event
}

// Answer is the stream of events that one caller reads.
type Answer struct {
	id       jaywind.RequestID
	listener table.Listener
	router   *Router

	mu       sync.Mutex
	events   []Event
	next     int           // index in events of the next one to read
	replayed int           // buffered events from before the reader attached; they don't count towards maxUnread
	wake     chan struct{} // has a value if there may be an event to read
	closed   bool
}

// Next waits for the next event. It returns ErrStopped after the last one, and if the
// answer was cut off because the reader was too slow or the router has stopped.
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
	if a.next == len(a.events) {
		return Event{}, false, a.closed
	}
	e = a.events[a.next]
	a.events[a.next] = Event{}
	a.next++
	if a.next == len(a.events) {
		a.events = a.events[:0]
		a.next = 0
		a.replayed = 0
	}
	return e, true, false
}

// push buffers an event. A reader that is too far behind is disconnected; it can resume from its bookmark.
func (a *Answer) push(e Event, replayed, last bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return
	}
	if replayed {
		a.replayed++
	}
	a.events = append(a.events, e)
	a.closed = last
	if len(a.events)-a.next > maxUnread+a.replayed {
		a.events = nil
		a.next = 0
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

// signal wakes the reader. The caller must hold mu.
func (a *Answer) signal() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Close tells the router that the caller has disconnected, unless the answer has ended.
func (a *Answer) Close() {
	if a.router.answers.remove(a) {
		a.router.post(table.CallerGone{Request: a.id, Listener: a.listener})
	}
}

// Generate starts a generation. Read the answer with Next and close it.
func (r *Router) Generate(_ context.Context, request table.GenerationRequest) (*Answer, error) {
	r.init()
	a := r.answers.add(r, request.ID)
	request.Listener = a.listener
	if !r.post(table.RequestArrived{Request: request}) {
		return nil, ErrStopped
	}
	return a, nil
}

// answerSet holds the answers that callers are reading.
type answerSet struct {
	mu           sync.Mutex
	lastListener table.Listener
	open         map[table.Listener]*Answer
	listeners    map[jaywind.RequestID]table.Listener // the listener that receives a request's events
}

func (s *answerSet) add(r *Router, id jaywind.RequestID) *Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastListener++
	a := &Answer{id: id, listener: s.lastListener, router: r, wake: make(chan struct{}, 1)}
	s.open[a.listener] = a
	return a
}

func (s *answerSet) attach(c table.AttachListener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners[c.Request] = c.Listener
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
	a := s.open[s.listeners[c.Bookmark.Request]]
	s.mu.Unlock()
	if a != nil {
		a.push(Event{Token: c.Token, Bookmark: c.Bookmark, PartialRune: c.PartialRune}, c.Replayed, false)
	}
}

func (s *answerSet) finish(c table.FinishRequest) {
	if a := s.takeFinished(c); a != nil {
		a.push(Event{Bookmark: c.Bookmark, Final: &c}, true, true)
	}
}

// takeFinished removes and returns the answer that c ends, or nil if it is closed.
func (s *answerSet) takeFinished(c table.FinishRequest) *Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	listener := c.Listener
	if listener == 0 {
		listener = s.listeners[c.Request]
		delete(s.listeners, c.Request)
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
