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

// stuckUpstream is an Upstream whose streams send one event and then nothing until they are closed. It counts the calls of
// CachedParts.
type stuckUpstream struct {
	fakeUpstream
	mu    sync.Mutex
	asked int
}

func (u *stuckUpstream) Open(context.Context, jaywind.UpstreamRequest, time.Duration) (jaywind.EventStream, jaywind.Reply, error) {
	return &stuckStream{closed: make(chan struct{})}, jaywind.Reply{}, nil
}

func (u *stuckUpstream) CachedParts(context.Context, jaywind.EndpointRef) ([]jaywind.CachedPart, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.asked++
	return nil, nil
}

type stuckStream struct {
	fakeStream
	once   sync.Once
	closed chan struct{}
	sent   bool
}

func (e *stuckStream) Next(time.Duration) (jaywind.Event, error) {
	if !e.sent {
		e.sent = true
		return jaywind.Event{ID: 1, Raw: []byte("x")}, nil
	}
	<-e.closed
	return jaywind.Event{}, io.ErrUnexpectedEOF
}

func (e *stuckStream) Close() error {
	e.once.Do(func() { close(e.closed) })
	return nil
}

// leavingCaller disconnects at its first event.
type leavingCaller struct {
	caller
	leave func()
}

func (c *leavingCaller) WriteEvent([]byte) error {
	time.AfterFunc(0, c.leave) // in another goroutine, as in the server
	return nil
}

// TestCallerLeavingIsNoEngineFailure: when a caller disconnects, the router closes its connection to the engine. The test
// fails if that counts as a failure of the engine, after which the next caller's cache lookup would leave it out.
func TestCallerLeavingIsNoEngineFailure(t *testing.T) {
	is := is.New(t)
	for range 3000 { // the failure depends on the order in which contexts are cancelled
		u := &stuckUpstream{}
		r := newRouter(u)
		ctx, leave := context.WithCancel(context.Background())
		r.Serve(ctx, &router.Request{ID: "q1", Host: "a", Path: "/x", Arrived: time.Now(), Timeout: time.Second}, &leavingCaller{leave: leave})
		ctx, leave = context.WithCancel(context.Background())
		r.Serve(ctx, &router.Request{ID: "q2", Host: "a", Path: "/x", Arrived: time.Now(), Timeout: time.Second, Resumed: true, LastPart: "p"}, &leavingCaller{leave: leave})
		is.Equal(u.asked, 2) // both engines
	}
}
