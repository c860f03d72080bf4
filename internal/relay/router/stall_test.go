package router_test

import (
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"jaywind"
	"jaywind/internal/core/endpoint"
	"jaywind/internal/core/retry"
	"jaywind/internal/core/route"
	"jaywind/internal/relay/router"
)

// scriptedUpstream is an Upstream whose streams are made by a function.
type scriptedUpstream struct {
	fakeUpstream
	open func(s jaywind.UpstreamRequest) (jaywind.EventStream, error)
	mu   sync.Mutex
	sent []jaywind.UpstreamRequest
}

func (u *scriptedUpstream) Open(_ context.Context, s jaywind.UpstreamRequest, _ time.Duration) (jaywind.EventStream, jaywind.Reply, error) {
	u.mu.Lock()
	u.sent = append(u.sent, s)
	u.mu.Unlock()
	e, err := u.open(s)
	return e, jaywind.Reply{}, err
}

// brokenStream sends events up to an id, and then breaks.
type brokenStream struct{ next, last int64 }

func (e *brokenStream) Head() jaywind.Reply { return jaywind.Reply{Status: http.StatusOK} }
func (e *brokenStream) Close() error        { return nil }
func (e *brokenStream) Next(time.Duration) (jaywind.Event, error) {
	if e.next > e.last {
		return jaywind.Event{}, io.ErrUnexpectedEOF
	}
	e.next++
	return jaywind.Event{ID: e.next - 1, Raw: []byte("x")}, nil
}

// TestStandbyLeavesDuringWait: a stream waits for a retry. The test fails if it then goes on at its standby although that has begun to
// leave or is gone.
func TestStandbyLeavesDuringWait(t *testing.T) {
	tests := map[string]func(r *router.Router, standby endpoint.Entry){
		"leaves": func(r *router.Router, standby endpoint.Entry) {
			standby.Leaving = true
			r.UpdateEndpoint(standby)
		},
		"is removed": func(r *router.Router, standby endpoint.Entry) { r.RemoveEndpoint(standby.ID, false) },
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u := &scriptedUpstream{}
			u.open = func(s jaywind.UpstreamRequest) (jaywind.EventStream, error) {
				if len(u.sent) == 1 {
					return &brokenStream{next: 1, last: 3}, nil
				}
				return &fakeStream{next: s.LastEventID + 1, last: 6}, nil
			}
			r := &router.Router{Self: "vm1", Upstream: u, RetryBudget: retry.Budget{Window: 10 * time.Second}}
			r.SetConfig(route.NewSet(1,
				[]route.Route{{Name: "s", Host: "a", Prefix: "/", Kind: route.KindStream, Resume: true, MaxAttempts: 5, EventTimeout: time.Second,
					Backends: []route.Backend{{Service: "pool", Weight: 1}}}},
				[]route.Service{{Name: "pool", Engine: &route.Engine{Slots: 16, MemoryTokens: 55000, CopiesMemory: true}}}, nil, route.Limits{}))
			entries := map[jaywind.Address]endpoint.Entry{}
			for i, id := range []jaywind.EndpointID{"e1", "e2", "e3"} {
				e := endpoint.Entry{ID: id, Service: "pool", Address: jaywind.Address(id), Domain: jaywind.Domain(rune('a' + i)), Slots: 16}
				entries[e.Address] = e
				r.UpdateEndpoint(e)
			}
			lent := false
			r.BorrowRetry = func(context.Context, jaywind.ServiceName) bool {
				if !lent { // the first time, the standby leaves while the stream waits
					lent = true
					change(r, entries[u.sent[0].Standby])
					return false
				}
				return true
			}
			who := &caller{reads: 6}
			r.Serve(context.Background(), &router.Request{ID: "q", Host: "a", Path: "/x", Arrived: time.Now(), Timeout: 5 * time.Second}, who)
			is.Equal(who.events, 6)
			is.Equal(len(u.sent), 2)
			is.True(u.sent[1].Endpoint.Address != u.sent[0].Standby)
			is.Equal(u.sent[1].Copy.Name, "")
		})
	}
}

// stallingStream sends events up to an id. It is silent before one of them, and goes on if its reader waits.
type stallingStream struct {
	fakeStream
	stallAt int64
	stalls  int // calls of onStall in one silence
	onStall func() time.Duration
	waited  *bool
}

func (e *stallingStream) Next(limit time.Duration) (jaywind.Event, error) {
	if e.next == e.stallAt {
		for range e.stalls {
			if e.onStall() == 0 {
				return jaywind.Event{}, jaywind.ErrIdleTimeout
			}
		}
		*e.waited = true
	}
	return e.fakeStream.Next(limit)
}

// TestLeavesOnlyForRoom fails if a stream leaves a silent engine for one that has no room by the router's own count, or that has
// failed the stream before.
func TestLeavesOnlyForRoom(t *testing.T) {
	tests := map[string]struct {
		slots int // of the other engine
		waits bool
	}{
		"room":    {16, false},
		"no room": {0, true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			waited := false
			u := &scriptedUpstream{}
			u.open = func(s jaywind.UpstreamRequest) (jaywind.EventStream, error) {
				if s.Endpoint.ID == "e2" {
					return &fakeStream{next: s.LastEventID + 1, last: 6}, nil
				}
				return &stallingStream{fakeStream: fakeStream{next: 1, last: 6}, stallAt: 4, stalls: 3, onStall: s.OnStall, waited: &waited}, nil
			}
			r := newRouter(u)
			r.UpdateEndpoint(endpoint.Entry{ID: "e2", Service: "pool", Address: "e2", Domain: "b", Slots: c.slots})
			r.UpdateEndpoint(endpoint.Entry{ID: "e1", Service: "pool", Address: "e1", Domain: "a", Slots: 64})
			who := &caller{reads: 6}
			r.Serve(context.Background(), &router.Request{ID: "q", Host: "a", Path: "/x", Arrived: time.Now(), Timeout: 5 * time.Second}, who)
			is.Equal(who.events, 6)
			if u.sent[0].Endpoint.ID == "e1" {
				is.Equal(waited, c.waits)
			}
		})
	}
}

// hookedCaller calls a function at its nth event.
type hookedCaller struct {
	caller
	at   int
	hook func()
}

func (c *hookedCaller) WriteEvent(raw []byte) error {
	err := c.caller.WriteEvent(raw)
	if c.events == c.at {
		c.hook()
	}
	return err
}

// TestEngineGoesOnAfterSilence fails if an engine that was silent gets no new work although it has gone on.
func TestEngineGoesOnAfterSilence(t *testing.T) {
	is := is.New(t)
	waited := false
	u := &scriptedUpstream{}
	u.open = func(s jaywind.UpstreamRequest) (jaywind.EventStream, error) {
		if s.Request != "q1" {
			return &fakeStream{next: 1, last: 6}, nil
		}
		return &stallingStream{fakeStream: fakeStream{next: 1, last: 6}, stallAt: 4, stalls: 3, onStall: s.OnStall, waited: &waited}, nil
	}
	r := newRouter(u)
	r.UpdateEndpoint(endpoint.Entry{ID: "e2", Service: "pool", Address: "e2", Domain: "b", Slots: 0}) // without room
	serve := func(id jaywind.RequestID, who router.ResponseWriter) {
		r.Serve(context.Background(), &router.Request{ID: id, Host: "a", Path: "/x", Arrived: time.Now(), Timeout: 5 * time.Second}, who)
	}
	serve("q1", &hookedCaller{caller: caller{reads: 6}, at: 5, hook: func() { serve("q2", &caller{reads: 6}) }})
	is.True(waited)
	is.Equal(len(u.sent), 2)
	is.Equal(u.sent[1].Endpoint.ID, jaywind.EndpointID("e1"))
}

// TestWaitSparesRetryBudget fails if a stream that waits spends retries at the rate of a stream that is sent on, or counts each look for
// a retry as a request over the budget.
func TestWaitSparesRetryBudget(t *testing.T) {
	is := is.New(t)
	u := &scriptedUpstream{}
	u.open = func(jaywind.UpstreamRequest) (jaywind.EventStream, error) {
		if len(u.sent) == 1 {
			return &brokenStream{next: 1, last: 3}, nil
		}
		return nil, jaywind.ErrBusy
	}
	r := newRouter(u)
	who := &caller{reads: 6}
	r.Serve(context.Background(), &router.Request{ID: "q", Host: "a", Path: "/x", Arrived: time.Now(), Timeout: 8 * time.Second}, who)
	is.True(who.broken)         // at its deadline
	is.True(len(u.sent) <= 6+8) // some at once, and then about one a second

	waited := false
	u = &scriptedUpstream{}
	u.open = func(s jaywind.UpstreamRequest) (jaywind.EventStream, error) {
		return &stallingStream{fakeStream: fakeStream{next: 1, last: 6}, stallAt: 4, stalls: 14, onStall: s.OnStall, waited: &waited}, nil
	}
	r = newRouter(u)
	r.RetryBudget = retry.Budget{Window: 10 * time.Second}
	r.Serve(context.Background(), &router.Request{ID: "q", Host: "a", Path: "/x", Arrived: time.Now(), Timeout: 8 * time.Second}, &caller{reads: 6})
	is.True(waited)
	is.Equal(metrics.GetOrRegisterCounter("repeats.over_budget", r.Metrics).Count(), int64(1))
}
