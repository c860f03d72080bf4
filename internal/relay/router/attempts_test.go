package router_test

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/internal/core/endpoint"
	"jaywind/internal/core/retry"
	"jaywind/internal/core/route"
	"jaywind/internal/relay/router"
	"jaywind/internal/standin/bubble"
)

// failingStream is a stream whose connection breaks after a time.
type failingStream struct {
	fakeStream
	breaks <-chan time.Time
	cause  error
}

func (e *failingStream) Next(limit time.Duration) (jaywind.Event, error) {
	select {
	case <-e.breaks:
		return jaywind.Event{}, e.cause
	case <-time.After(eventTime):
	}
	return e.fakeStream.Next(limit)
}

// TestConnectionsBreakInARow: the connections of a stream break one after the other, for longer than its attempts last. It guards against a
// stream that is broken off with time left while an endpoint that it has run at could go on with it, and against one that reaches more
// endpoints than its route allows, or that tries without pauses.
func TestConnectionsBreakInARow(t *testing.T) {
	tests := map[string]struct {
		attempts int           // that the route allows
		trouble  time.Duration // in which connections break
		gone     bool          // no endpoint that has run the stream is left then
		cause    error
		whole    bool
	}{
		"connections through other routers": {attempts: 5, trouble: 3 * time.Second, cause: jaywind.ErrRelayLost, whole: true},
		"resets":                            {attempts: 5, trouble: 3 * time.Second, cause: io.ErrUnexpectedEOF, whole: true},
		"two attempts":                      {attempts: 2, trouble: 3 * time.Second, cause: io.ErrUnexpectedEOF, whole: true},
		"until the deadline":                {attempts: 5, trouble: 20 * time.Second, cause: io.ErrUnexpectedEOF},
		"the endpoints end":                 {attempts: 2, trouble: time.Second, gone: true, cause: io.ErrUnexpectedEOF},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				is := is.New(t)
				start, u := time.Now(), &scriptedUpstream{}
				var r *router.Router
				u.open = func(s jaywind.UpstreamRequest) (jaywind.EventStream, error) {
					if time.Since(start) >= c.trouble {
						return &fakeStream{next: s.LastEventID + 1, last: streamEnd}, nil
					}
					if c.gone {
						time.AfterFunc(100*time.Millisecond, func() { r.RemoveEndpoint(s.Endpoint.ID, false) })
					}
					return &failingStream{fakeStream: fakeStream{next: s.LastEventID + 1, last: streamEnd}, breaks: time.After(250 * time.Millisecond), cause: c.cause}, nil
				}
				r = &router.Router{Self: "vm1", Upstream: u, RetryBudget: retry.Budget{Ratio: 1, Reserve: 1000, Window: 10 * time.Second}}
				r.SetConfig(route.NewSet(1,
					[]route.Route{{Name: "s", Host: "a", Prefix: "/", Kind: route.KindStream, Resume: true, MaxAttempts: c.attempts, EventTimeout: 700 * time.Millisecond,
						Backends: []route.Backend{{Service: "pool", Weight: 1}}}},
					[]route.Service{{Name: "pool", Engine: &route.Engine{Slots: 16, MemoryTokens: 55000, CopiesMemory: true}}}, nil, route.Limits{}))
				for i := range 12 {
					id := jaywind.EndpointID(fmt.Sprint("e", i))
					r.UpdateEndpoint(endpoint.Entry{ID: id, Service: "pool", Address: jaywind.Address(id), Domain: jaywind.Domain(rune('a' + i%3)), Slots: 16})
				}
				who := &caller{reads: streamEnd}
				r.Serve(context.Background(), &router.Request{ID: "q", Host: "a", Path: "/x", Arrived: start, Timeout: 12 * time.Second, PromptTokens: 800, MaxTokens: 200}, who)
				ran := map[jaywind.EndpointID]bool{}
				for _, s := range u.sent {
					ran[s.Endpoint.ID] = true
				}
				t.Logf("%d events, %d runs at %d endpoints, %v", who.events, len(u.sent), len(ran), time.Since(start))
				is.Equal(who.broken, !c.whole)
				is.True(len(ran) <= c.attempts)
				is.True(len(u.sent) <= 16)
				is.True(!c.gone || time.Since(start) < 2*time.Second) // no endpoint can go on with it
				is.True(c.whole || c.gone || time.Since(start) > 11*time.Second)
			})
		})
	}
}
