package router_test

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"jaywind"
	"jaywind/internal/core/endpoint"
	"jaywind/internal/core/retry"
	"jaywind/internal/core/rollout"
	"jaywind/internal/core/route"
	"jaywind/internal/relay/router"
	"jaywind/internal/standin/bubble"
)

// TestStateBeforeOrder: a router that has just started reads the state of a roll-out before its order, as the store lists
// its keys by name. The test fails if it does not follow that state: after the end, all endpoints have the new version.
func TestStateBeforeOrder(t *testing.T) {
	order := rollout.Order{Service: "pool", Target: "v2", Duration: time.Minute, ReceivedAt: time.Now()}
	done := rollout.State{Target: "v2", Phase: rollout.PhaseDone}
	tests := map[string]struct {
		read   func(r *router.Router)
		served bool
	}{
		"order first": {func(r *router.Router) { r.StartRollout(order, rollout.Bounds{}); r.SetRolloutState("pool", done) }, true},
		"state first": {func(r *router.Router) { r.SetRolloutState("pool", done); r.StartRollout(order, rollout.Bounds{}) }, true},
		"state of another order": {func(r *router.Router) {
			r.SetRolloutState("pool", rollout.State{Target: "v1", Phase: rollout.PhaseDone})
			r.StartRollout(order, rollout.Bounds{})
		}, false}, // the new version gets no request yet
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			u := &fakeUpstream{events: 3}
			r := newRouter(u)
			for i, id := range []jaywind.EndpointID{"e1", "e2"} {
				r.UpdateEndpoint(endpoint.Entry{ID: id, Service: "pool", Address: jaywind.Address(id), Domain: jaywind.Domain(rune('a' + i)), Slots: 16, Version: "v2"})
			}
			c.read(r)
			served := 0
			for range 20 {
				who := &caller{reads: 3}
				r.Serve(context.Background(), &router.Request{ID: "q", Host: "a", Path: "/x", Arrived: time.Now(), Timeout: time.Second}, who)
				served += who.events / 3
			}
			is.New(t).Equal(served == 20, c.served)
		})
	}
}

// versionedUpstream is an Upstream of engines of two versions; an engine's id begins with its version.
type versionedUpstream struct {
	fakeUpstream
	slowShare float64 // share of the answers of v2 that are slow
	factor    float64 // times the usual duration that a slow answer takes
	random    *rand.Rand
	newStarts int // of streams at v2
}

const (
	usualFirstEvent  = 1200 * time.Millisecond // median
	usualEventGap    = 40 * time.Millisecond
	eventsOfStream   = 100
	firstEventLimit  = 5500 * time.Millisecond // until an engine that sends no event is given up
	rolloutLength    = 15 * time.Second
	newEnginesDelay  = 2 * time.Second // from the order to the first engine of the new version
	enginesOfVersion = 12
)

func (u *versionedUpstream) Open(_ context.Context, s jaywind.UpstreamRequest, _ time.Duration) (jaywind.EventStream, jaywind.Reply, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	x := 1.0
	if s.Endpoint.ID[:2] == "v2" {
		u.newStarts++
		if u.random.Float64() < u.slowShare {
			x = u.factor
		}
	}
	first := x * float64(usualFirstEvent) * math.Exp(0.3*u.random.NormFloat64())
	return &timedStream{
		fakeStream: fakeStream{next: s.LastEventID + 1, last: eventsOfStream}, first: time.Duration(first),
		gap: time.Duration(x * float64(usualEventGap)), closed: make(chan struct{}),
	}, jaywind.Reply{}, nil
}

// timedStream is a stream whose events take time.
type timedStream struct {
	fakeStream
	first, gap time.Duration
	closed     chan struct{}
	once       sync.Once
}

func (e *timedStream) Close() error {
	e.once.Do(func() { close(e.closed) })
	return nil
}

func (e *timedStream) Next(limit time.Duration) (jaywind.Event, error) {
	wait, limit := e.gap, max(limit, time.Second)
	if e.first > 0 {
		wait, limit, e.first = e.first, firstEventLimit, 0
	}
	t := time.NewTimer(min(wait, limit))
	defer t.Stop()
	select {
	case <-e.closed:
		return jaywind.Event{}, io.ErrUnexpectedEOF
	case <-t.C:
	}
	if wait > limit {
		return jaywind.Event{}, jaywind.ErrIdleTimeout
	}
	return e.fakeStream.Next(limit)
}

// rolloutCase is a roll-out to v2 in a fleet.
type rolloutCase struct {
	routers   int
	perSecond float64 // requests of the fleet
	routes    int
	slowShare float64
	factor    float64
}

// play plays a roll-out and returns the leader's last state, the number of requests that were sent to v2 and that of all.
func (c rolloutCase) play(t *testing.T, seed uint64) (state rollout.State, newStarts, requests int) {
	t.Helper()
	bubble.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(seed, 1))
		u := &versionedUpstream{slowShare: c.slowShare, factor: c.factor, random: rand.New(rand.NewPCG(seed, 2))}
		var routers []*router.Router
		for range c.routers {
			routers = append(routers, c.newRouter(u))
		}
		addEngines := func(v jaywind.Version) {
			for _, r := range routers {
				for i := range enginesOfVersion {
					id := jaywind.EndpointID(fmt.Sprintf("%s-%d", v, i))
					r.UpdateEndpoint(endpoint.Entry{ID: id, Service: "pool", Address: jaywind.Address(id), Domain: jaywind.Domain(rune('a' + i%3)), Slots: 16, Version: v})
				}
			}
		}
		addEngines("v1")
		ctx, cancel := context.WithCancel(t.Context())
		var calls conc.WaitGroup
		defer calls.Wait()
		defer cancel()
		const tick = 10 * time.Millisecond
		serve := func() {
			if random.Float64() >= c.perSecond*tick.Seconds() {
				return
			}
			requests++
			r, path := routers[random.IntN(c.routers)], fmt.Sprintf("/%d/", random.IntN(c.routes))
			calls.Go(func() {
				r.Serve(ctx, &router.Request{ID: "q", Host: "a", Path: path, Arrived: time.Now(), Timeout: 25 * time.Second}, &caller{reads: eventsOfStream})
			})
		}
		for range int(4 * time.Second / tick) {
			serve()
			time.Sleep(tick)
		}
		requests = 0
		order := rollout.Order{Service: "pool", Target: "v2", Duration: rolloutLength, ReceivedAt: time.Now()}
		for _, r := range routers {
			r.StartRollout(order, rollout.Bounds{Share: 0.1, ExtraRequests: 50})
		}
		for i := range int(rolloutLength / tick) {
			if i == int(newEnginesDelay/tick) {
				addEngines("v2")
			}
			serve()
			time.Sleep(tick)
			if i%40 != 0 {
				continue
			}
			lead := routers[0]
			for n, r := range routers {
				r.FollowRolloutLeader("pool", lead.ReportRollout(jaywind.VM(fmt.Sprint(n)), "pool", r.RolloutTotals()["pool"]), time.Now())
			}
			if state.Phase.Final() {
				continue
			}
			state = lead.DecideRollouts(time.Now())["pool"]
			for _, r := range routers {
				r.SetRolloutState("pool", state)
			}
		}
		u.mu.Lock()
		defer u.mu.Unlock()
		newStarts = u.newStarts
	})
	return state, newStarts, requests
}

func (c rolloutCase) newRouter(u jaywind.Upstream) *router.Router {
	r := &router.Router{Upstream: u, RetryBudget: retry.Budget{Ratio: 1, Reserve: 100, Window: 10 * time.Second}}
	var routes []route.Route
	for i := range c.routes {
		routes = append(routes, route.Route{Name: jaywind.Route(fmt.Sprint(i)), Host: "a", Prefix: fmt.Sprintf("/%d/", i), Kind: route.KindStream, Resume: true,
			MaxAttempts: 5, EventTimeout: time.Second, Backends: []route.Backend{{Service: "pool", Weight: 1}}})
	}
	r.SetConfig(route.NewSet(1, routes, []route.Service{{Name: "pool", Engine: &route.Engine{Slots: 16, MemoryTokens: 55000}}}, nil, route.Limits{}))
	return r
}

// TestSlowVersion: with thin traffic each router sees too few answers to tell how long they usually take. The test fails if a
// version that answers several times slower is kept, or a good one is rolled back.
func TestSlowVersion(t *testing.T) {
	tests := map[string]struct {
		rolloutCase
		want rollout.Phase
	}{
		"good":                 {rolloutCase{routers: 9, perSecond: 8, routes: 2}, rollout.PhaseDone},
		"good, many routes":    {rolloutCase{routers: 9, perSecond: 8, routes: 12}, rollout.PhaseDone},
		"good, more traffic":   {rolloutCase{routers: 9, perSecond: 40, routes: 2}, rollout.PhaseDone},
		"slow":                 {rolloutCase{routers: 9, perSecond: 8, routes: 2, slowShare: 1, factor: 6}, rollout.PhaseRolledBack},
		"slow, many routes":    {rolloutCase{routers: 9, perSecond: 8, routes: 12, slowShare: 1, factor: 6}, rollout.PhaseRolledBack},
		"slow, more traffic":   {rolloutCase{routers: 9, perSecond: 40, routes: 2, slowShare: 1, factor: 6}, rollout.PhaseRolledBack},
		"half of them slow":    {rolloutCase{routers: 9, perSecond: 8, routes: 2, slowShare: 0.5, factor: 8}, rollout.PhaseRolledBack},
		"slower than any wait": {rolloutCase{routers: 9, perSecond: 8, routes: 2, slowShare: 1, factor: 100}, rollout.PhaseRolledBack},
		"three times slower":   {rolloutCase{routers: 9, perSecond: 8, routes: 2, slowShare: 1, factor: 3}, rollout.PhaseRolledBack},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			takenBack := 0
			for seed := range uint64(10) {
				state, newStarts, requests := c.play(t, seed)
				if c.want == rollout.PhaseDone && state.Phase == rollout.PhaseRolledBack {
					// A good version may be taken back by chance, which its operator sees and can repeat.
					if takenBack++; takenBack == 1 {
						continue
					}
				}
				if state.Phase != c.want {
					t.Fatalf("seed %d: %+v with %d of %d requests at the new version, want %s", seed, state, newStarts, requests, c.want)
				}
				if c.want == rollout.PhaseRolledBack && float64(newStarts) > 0.1*float64(requests)+50 {
					t.Fatalf("seed %d: %d of %d requests at the new version", seed, newStarts, requests)
				}
			}
		})
	}
}

// shortUpstream is an Upstream whose first stream breaks after its first event, and whose engine e1 has part p cached.
type shortUpstream struct {
	fakeUpstream
	breaks bool
}

func (u *shortUpstream) Open(ctx context.Context, s jaywind.UpstreamRequest, limit time.Duration) (jaywind.EventStream, jaywind.Reply, error) {
	events, reply, err := u.fakeUpstream.Open(ctx, s, limit)
	if u.breaks {
		u.breaks = false
		return &shortStream{EventStream: events}, reply, err
	}
	return events, reply, err
}

func (u *shortUpstream) CachedParts(_ context.Context, at jaywind.EndpointRef) ([]jaywind.CachedPart, error) {
	if at.ID != "e1" {
		return nil, jaywind.ErrBusy
	}
	return []jaywind.CachedPart{{Part: "p", Tokens: 100}}, nil
}

// shortStream is a stream that breaks after its first event.
type shortStream struct {
	jaywind.EventStream
	events int
}

func (e *shortStream) Next(limit time.Duration) (jaywind.Event, error) {
	if e.events++; e.events > 1 {
		return jaywind.Event{}, io.ErrUnexpectedEOF
	}
	return e.EventStream.Next(limit)
}

// TestRequestsOfRollout fails if a request that reaches the new version, or one for its service, is missing from the counts
// that keep a bad version within its bound.
func TestRequestsOfRollout(t *testing.T) {
	tests := map[string]struct {
		version          jaywind.Version // of the engines
		breaks           bool
		request          router.Request
		starts, requests int
	}{
		"at once":                      {"v2", false, router.Request{}, 1, 1},
		"goes on from a copy":          {"v2", true, router.Request{}, 2, 1},
		"resumed at the cached prompt": {"v2", false, router.Request{Resumed: true, LastEventID: 1, LastPart: "p", PromptTokens: 100}, 1, 1},
		"no engine of the new version": {"v1", false, router.Request{}, 0, 1},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRouter(&shortUpstream{fakeUpstream: fakeUpstream{events: 3}, breaks: c.breaks})
			for i, id := range []jaywind.EndpointID{"e1", "e2"} {
				r.UpdateEndpoint(endpoint.Entry{ID: id, Service: "pool", Address: jaywind.Address(id), Domain: jaywind.Domain(rune('a' + i)), Slots: 16, Version: c.version})
			}
			r.StartRollout(rollout.Order{Service: "pool", Target: "v2", Duration: time.Minute, ReceivedAt: time.Now()}, rollout.Bounds{})
			r.SetRolloutState("pool", rollout.State{Target: "v2", Phase: rollout.PhaseShift})
			q := c.request
			q.ID, q.Host, q.Path, q.Arrived, q.Timeout = "q", "a", "/x", time.Now(), time.Second
			r.Serve(context.Background(), &q, &caller{reads: 3})
			totals := r.RolloutTotals()["pool"]
			is.Equal(totals.Starts, c.starts)
			is.Equal(totals.Requests, c.requests)
		})
	}
}

// TestRolloutEndsDuringStream: a roll-out ends while a stream runs that was bound to a version before. The test fails if the stream, when
// it loses its engine, has no engine to go on at although those of the remaining version are there, or goes to a version that was
// taken back.
func TestRolloutEndsDuringStream(t *testing.T) {
	tests := map[string]struct {
		end   rollout.Phase
		share float64 // of streams that are bound to the new version
		gone  jaywind.EndpointID
		want  jaywind.EndpointID
	}{
		"done, bound to the old version":       {rollout.PhaseDone, 0, "old1", "new1"},
		"taken back, bound to the new version": {rollout.PhaseRolledBack, 1, "new1", "old1"},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u := &scriptedUpstream{}
			r := newRouter(u)
			for i, id := range []jaywind.EndpointID{"e1", "e2"} {
				r.RemoveEndpoint(id, false)
				version, name := jaywind.Version("v1"), jaywind.EndpointID("old")
				if i == 1 {
					version, name = "v2", "new"
				}
				for n, domain := range []jaywind.Domain{"a", "b"} {
					at := name + jaywind.EndpointID(rune('1'+n))
					r.UpdateEndpoint(endpoint.Entry{ID: at, Service: "pool", Address: jaywind.Address(at), Domain: domain, Slots: 16, Version: version})
				}
			}
			r.StartRollout(rollout.Order{Service: "pool", Target: "v2", Duration: time.Minute, ReceivedAt: time.Now()}, rollout.Bounds{Share: 0.1})
			r.SetRolloutState("pool", rollout.State{Target: "v2", Phase: rollout.PhaseCanary, Share: c.share, Step: 1})
			prefix := c.want[:3]
			u.open = func(s jaywind.UpstreamRequest) (jaywind.EventStream, error) {
				if len(u.sent) > 1 {
					return &fakeStream{next: s.LastEventID + 1, last: 6}, nil
				}
				r.SetRolloutState("pool", rollout.State{Target: "v2", Phase: c.end, Step: 2})
				if c.end == rollout.PhaseDone { // the old engines are stopped
					r.RemoveEndpoint("old1", false)
					r.RemoveEndpoint("old2", false)
				}
				return &brokenStream{next: 1, last: 3}, nil
			}
			who := &caller{reads: 6}
			r.Serve(context.Background(), &router.Request{ID: "q", Host: "a", Path: "/x", Arrived: time.Now(), Timeout: 2 * time.Second}, who)
			is.Equal(who.events, 6)
			is.True(u.sent[0].Endpoint.ID[:3] == c.gone[:3])
			is.Equal(u.sent[len(u.sent)-1].Endpoint.ID[:3], prefix)
		})
	}
}
