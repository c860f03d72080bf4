package router_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/internal/core/endpoint"
	"jaywind/internal/core/retry"
	"jaywind/internal/core/route"
	"jaywind/internal/relay/router"
)

// fakeUpstream is an Upstream whose streams have a given number of events. It counts the streams opened.
type fakeUpstream struct {
	events int
	mu     sync.Mutex
	opened int
}

func (u *fakeUpstream) Do(context.Context, jaywind.UpstreamRequest) (jaywind.Reply, error) {
	return jaywind.Reply{Status: http.StatusOK}, nil
}

func (u *fakeUpstream) Open(_ context.Context, s jaywind.UpstreamRequest, _ time.Duration) (jaywind.EventStream, jaywind.Reply, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.opened++
	return &fakeStream{next: s.LastEventID + 1, last: int64(u.events)}, jaywind.Reply{}, nil
}

func (u *fakeUpstream) HasEnded(context.Context, jaywind.EndpointRef, string) bool { return true }

func (u *fakeUpstream) Answers(context.Context, jaywind.EndpointRef) bool { return true }

func (u *fakeUpstream) CachedParts(context.Context, jaywind.EndpointRef) ([]jaywind.CachedPart, error) {
	return nil, nil
}

func (u *fakeUpstream) CopyMemory(context.Context, jaywind.EndpointRef, jaywind.RequestID, jaywind.Address) (jaywind.MemoryCopy, error) {
	return jaywind.MemoryCopy{}, jaywind.ErrBusy
}

func (u *fakeUpstream) Identify(context.Context, jaywind.EndpointRef, string) (jaywind.Identity, error) {
	return jaywind.Identity{}, jaywind.ErrBusy
}

// fakeStream is a stream of numbered events.
type fakeStream struct{ next, last int64 }

func (e *fakeStream) Head() jaywind.Reply { return jaywind.Reply{Status: http.StatusOK} }
func (e *fakeStream) Close() error        { return nil }
func (e *fakeStream) Next(time.Duration) (jaywind.Event, error) {
	if e.next > e.last {
		return jaywind.Event{}, io.EOF
	}
	e.next++
	return jaywind.Event{ID: e.next - 1, Raw: []byte("x")}, nil
}

// caller reads a number of events; further writes fail, while the context of its request is not cancelled.
type caller struct {
	reads  int
	events int
	broken bool
}

var errBrokenPipe = errors.New("broken pipe")

func (c *caller) Reply(jaywind.Reply)       {}
func (c *caller) Refuse(router.Refusal)     {}
func (c *caller) BeginStream(jaywind.Reply) {}
func (c *caller) AbortStream()              { c.broken = true }
func (c *caller) WriteEvent([]byte) error {
	if c.events == c.reads {
		return errBrokenPipe
	}
	c.events++
	return nil
}

// newRouter returns a router with one route for streams and two engines in different domains.
func newRouter(u jaywind.Upstream) *router.Router {
	r := &router.Router{Self: "vm1", Upstream: u, RetryBudget: retry.Budget{Ratio: 1, Reserve: 100, Window: 10 * time.Second}}
	r.SetConfig(route.NewSet(1,
		[]route.Route{{Name: "s", Host: "a", Prefix: "/", Kind: route.KindStream, Resume: true, MaxAttempts: 5, EventTimeout: time.Second,
			Backends: []route.Backend{{Service: "pool", Weight: 1}}}},
		[]route.Service{{Name: "pool", Engine: &route.Engine{Slots: 16, MemoryTokens: 55000, CopiesMemory: true}}},
		nil, route.Limits{}))
	for i, id := range []jaywind.EndpointID{"e1", "e2"} {
		r.UpdateEndpoint(endpoint.Entry{ID: id, Service: "pool", Address: jaywind.Address(id), Domain: jaywind.Domain(rune('a' + i)), Slots: 16})
	}
	return r
}

// TestCallerLeavesDuringEvent: a write to a caller that has disconnected may fail before the server cancels the request. The
// test fails if the router then sends the request to another engine.
func TestCallerLeavesDuringEvent(t *testing.T) {
	tests := map[string]struct {
		reads, opened int
	}{
		"stays to the end":          {20, 1},
		"leaves at the first event": {0, 1},
		"leaves in the middle":      {10, 1},
		"leaves at the last event":  {19, 1},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u := &fakeUpstream{events: 20}
			r := newRouter(u)
			who := &caller{reads: c.reads}
			r.Serve(context.Background(), &router.Request{ID: "q", Host: "a", Path: "/x", Arrived: time.Now(), Timeout: time.Second}, who)
			is.Equal(u.opened, c.opened) // no new attempt for a caller that has disconnected
			is.Equal(who.events, c.reads)
		})
	}
}

// unreachableUpstream is an Upstream whose first attempt finds no connection.
type unreachableUpstream struct {
	fakeUpstream
	attempts int
}

func (u *unreachableUpstream) Open(ctx context.Context, s jaywind.UpstreamRequest, limit time.Duration) (jaywind.EventStream, jaywind.Reply, error) {
	u.attempts++
	if u.attempts == 1 {
		return nil, jaywind.Reply{}, jaywind.ErrNotSent
	}
	return u.fakeUpstream.Open(ctx, s, limit)
}

// TestUnsentAttemptIsNoRetry fails if an attempt that did not reach an engine takes a retry from the budget.
func TestUnsentAttemptIsNoRetry(t *testing.T) {
	is := is.New(t)
	u := &unreachableUpstream{fakeUpstream: fakeUpstream{events: 3}}
	r := newRouter(u)
	r.RetryBudget = retry.Budget{Window: time.Second} // allows no retry
	who := &caller{reads: 3}
	r.Serve(context.Background(), &router.Request{ID: "q", Host: "a", Path: "/x", Arrived: time.Now(), Timeout: time.Second}, who)
	is.Equal(who.events, 3)
	is.Equal(u.attempts, 2)
}
