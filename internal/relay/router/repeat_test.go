package router_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/internal/relay/router"
)

// repeatingUpstream is an Upstream whose first stream repeats its first events, after a pause each time.
type repeatingUpstream struct {
	fakeUpstream
	repeats int           // number of repeated events; negative for no end
	bytes   int           // of a repeated event
	pause   time.Duration // before each of them
}

func (u *repeatingUpstream) Open(ctx context.Context, s jaywind.UpstreamRequest, limit time.Duration) (jaywind.EventStream, jaywind.Reply, error) {
	events, reply, err := u.fakeUpstream.Open(ctx, s, limit)
	if u.opened == 1 && err == nil {
		events = &repeatingStream{EventStream: events, ctx: ctx, upstream: u}
	}
	return events, reply, err
}

// repeatingStream repeats the first event after the third.
type repeatingStream struct {
	jaywind.EventStream
	ctx      context.Context
	upstream *repeatingUpstream
	calls    int
	repeated int
}

func (e *repeatingStream) Next(limit time.Duration) (jaywind.Event, error) {
	e.calls++
	if e.calls <= 3 || e.repeated == e.upstream.repeats {
		return e.EventStream.Next(limit)
	}
	if limit <= e.upstream.pause {
		return jaywind.Event{}, jaywind.ErrIdleTimeout
	}
	select {
	case <-e.ctx.Done():
		return jaywind.Event{}, e.ctx.Err()
	case <-time.After(e.upstream.pause):
	}
	e.repeated++
	return jaywind.Event{ID: 1, Raw: make([]byte, e.upstream.bytes)}, nil
}

// TestRepeatedEvents guards against a stream that is held, at an endpoint which repeats old events, until its deadline.
func TestRepeatedEvents(t *testing.T) {
	tests := map[string]struct {
		repeats, bytes int
		pause          time.Duration
		opened         int
	}{
		"some":               {100, 100, 0, 1},
		"slowly, no end":     {-1, 100, 50 * time.Millisecond, 2},
		"at once, no end":    {-1, 100, 0, 2},
		"large ones, no end": {-1, 200 << 10, 0, 2},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u := &repeatingUpstream{fakeUpstream: fakeUpstream{events: 20}, repeats: c.repeats, bytes: c.bytes, pause: c.pause}
			who := &caller{reads: 20}
			start := time.Now()
			newRouter(u).Serve(context.Background(), &router.Request{ID: "q", Host: "a", Path: "/x", Arrived: start, Timeout: 6 * time.Second}, who)
			t.Logf("%v", time.Since(start))
			is.Equal(who.events, 20)
			is.Equal(u.opened, c.opened)
			is.True(!who.broken)
		})
	}
}
