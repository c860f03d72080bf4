package router_test

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/internal/relay/router"
)

// stuck are engines whose streams have one event and then nothing until they are closed, and that say what they keep.
type stuck struct {
	engines
	mu    sync.Mutex
	asked int
}

func (u *stuck) Open(context.Context, jaywind.UpstreamRequest, time.Duration) (jaywind.EventStream, jaywind.Reply, error) {
	return &stuckEvents{closed: make(chan struct{})}, jaywind.Reply{}, nil
}

func (u *stuck) CachedParts(context.Context, jaywind.Address) ([]jaywind.CachedPart, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.asked++
	return nil, nil
}

type stuckEvents struct {
	events
	once   sync.Once
	closed chan struct{}
	sent   bool
}

func (e *stuckEvents) Next(time.Duration) (jaywind.Event, error) {
	if !e.sent {
		e.sent = true
		return jaywind.Event{ID: 1, Raw: []byte("x")}, nil
	}
	<-e.closed
	return jaywind.Event{}, io.ErrUnexpectedEOF
}

func (e *stuckEvents) Close() error {
	e.once.Do(func() { close(e.closed) })
	return nil
}

// leaver leaves with its first event.
type leaver struct {
	caller
	leave func()
}

func (c *leaver) Event([]byte) error {
	time.AfterFunc(0, c.leave) // as the server does, from elsewhere
	return nil
}

// TestLeavingBlamesNoEngine: when a caller leaves, its connection to the engine is closed, which is no failure of the
// engine's: the next caller may go there, and it is asked what it keeps.
func TestLeavingBlamesNoEngine(t *testing.T) {
	is := is.New(t)
	for range 3000 { // it depends on the order in which contexts end
		u := &stuck{}
		r := newRouter(u)
		ctx, leave := context.WithCancel(context.Background())
		r.Serve(ctx, &router.Ask{ID: "q1", Host: "a", Path: "/x", Arrived: time.Now(), Within: time.Second}, &leaver{leave: leave})
		ctx, leave = context.WithCancel(context.Background())
		r.Serve(ctx, &router.Ask{ID: "q2", Host: "a", Path: "/x", Arrived: time.Now(), Within: time.Second, Resumed: true, Subject: "p"}, &leaver{leave: leave})
		is.Equal(u.asked, 2) // both engines
	}
}
