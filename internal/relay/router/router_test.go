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

// engines is an Upstream whose streams are as long as told, and which counts what is sent.
type engines struct {
	events int
	mu     sync.Mutex
	opened int
}

func (u *engines) Do(context.Context, jaywind.UpstreamRequest) (jaywind.Reply, error) {
	return jaywind.Reply{Status: http.StatusOK}, nil
}

func (u *engines) Open(_ context.Context, s jaywind.UpstreamRequest, _ time.Duration) (jaywind.EventStream, jaywind.Reply, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.opened++
	return &events{next: s.LastEventID + 1, last: int64(u.events)}, jaywind.Reply{}, nil
}

func (u *engines) CachedParts(context.Context, jaywind.Address) ([]jaywind.CachedPart, error) {
	return nil, nil
}

func (u *engines) CopyMemory(context.Context, jaywind.Address, jaywind.RequestID, jaywind.Address) (jaywind.MemoryCopy, error) {
	return jaywind.MemoryCopy{}, jaywind.ErrBusy
}

func (u *engines) Identify(context.Context, jaywind.Address, string) (jaywind.Identity, error) {
	return jaywind.Identity{}, jaywind.ErrBusy
}

// events is a stream that numbers its events.
type events struct{ next, last int64 }

func (e *events) Head() jaywind.Reply { return jaywind.Reply{Status: http.StatusOK} }
func (e *events) Close() error        { return nil }
func (e *events) Next(time.Duration) (jaywind.Event, error) {
	if e.next > e.last {
		return jaywind.Event{}, io.EOF
	}
	e.next++
	return jaywind.Event{ID: e.next - 1, Raw: []byte("x")}, nil
}

// caller reads so many events and is then gone, as its connection says before anybody else does.
type caller struct {
	reads  int
	events int
	broken bool
}

var errGone = errors.New("broken pipe")

func (c *caller) Reply(jaywind.Reply)   {}
func (c *caller) Refuse(router.Refusal) {}
func (c *caller) Begin(jaywind.Reply)   {}
func (c *caller) Break()                { c.broken = true }
func (c *caller) Event([]byte) error {
	if c.events == c.reads {
		return errGone
	}
	c.events++
	return nil
}

// newRouter returns a router with one route for streams and two engines in different domains.
func newRouter(u jaywind.Upstream) *router.Router {
	r := &router.Router{Self: "vm1", Upstream: u, Repeats: retry.Budget{Ratio: 1, Reserve: 100, Window: 10 * time.Second}}
	r.Adopt(route.NewSet(1,
		[]route.Route{{Name: "s", Host: "a", Prefix: "/", Kind: route.KindStream, Resume: true, MaxAttempts: 5, EventTimeout: time.Second,
			Backends: []route.Backend{{Service: "pool", Weight: 1}}}},
		[]route.Service{{Name: "pool", Engine: &route.Engine{Slots: 16, MemoryTokens: 55000, CopiesMemory: true}}},
		nil, route.Limits{}))
	for i, id := range []jaywind.EndpointID{"e1", "e2"} {
		r.Learn(endpoint.Entry{ID: id, Service: "pool", Address: jaywind.Address(id), Domain: jaywind.Domain(rune('a' + i)), Slots: 16})
	}
	return r
}

// TestCallerLeavesInAnEvent: the caller's end of the connection may fail before the server notices that it is gone.
func TestCallerLeavesInAnEvent(t *testing.T) {
	tests := map[string]struct {
		reads, opened int
	}{
		"stays to the end":       {20, 1},
		"leaves at the first":    {0, 1},
		"leaves in the middle":   {10, 1},
		"leaves at the last one": {19, 1},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u := &engines{events: 20}
			r := newRouter(u)
			who := &caller{reads: c.reads}
			r.Serve(context.Background(), &router.Ask{ID: "q", Host: "a", Path: "/x", Arrived: time.Now(), Within: time.Second}, who)
			is.Equal(u.opened, c.opened) // nothing is sent for a caller that is gone
			is.Equal(who.events, c.reads)
		})
	}
}

// unsent are engines of which one takes no connection.
type unsent struct {
	engines
	tried int
}

func (u *unsent) Open(ctx context.Context, s jaywind.UpstreamRequest, limit time.Duration) (jaywind.EventStream, jaywind.Reply, error) {
	u.tried++
	if u.tried == 1 {
		return nil, jaywind.Reply{}, jaywind.ErrNotSent
	}
	return u.engines.Open(ctx, s, limit)
}

// TestUnsentIsNoRepeat: an attempt that reached no engine leaves the budget as it was.
func TestUnsentIsNoRepeat(t *testing.T) {
	is := is.New(t)
	u := &unsent{engines: engines{events: 3}}
	r := newRouter(u)
	r.Repeats = retry.Budget{Window: time.Second} // no repeat at all
	who := &caller{reads: 3}
	r.Serve(context.Background(), &router.Ask{ID: "q", Host: "a", Path: "/x", Arrived: time.Now(), Within: time.Second}, who)
	is.Equal(who.events, 3)
	is.Equal(u.tried, 2)
}
