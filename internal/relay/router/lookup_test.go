package router_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/internal/core/endpoint"
	"jaywind/internal/core/rollout"
	"jaywind/internal/relay/router"
)

// cachingUpstream is an Upstream whose engines answer cache lookups after a delay, or never if it is negative.
type cachingUpstream struct {
	fakeUpstream
	delays map[jaywind.Address]time.Duration
	tokens map[jaywind.Address]int // cached tokens of part p
	sent   []jaywind.EndpointID
}

func (u *cachingUpstream) Open(ctx context.Context, s jaywind.UpstreamRequest, limit time.Duration) (jaywind.EventStream, jaywind.Reply, error) {
	u.sent = append(u.sent, s.Endpoint.ID)
	return u.fakeUpstream.Open(ctx, s, limit)
}

func (u *cachingUpstream) CachedParts(ctx context.Context, at jaywind.EndpointRef) ([]jaywind.CachedPart, error) {
	if u.delays[at.Address] < 0 {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	select {
	case <-time.After(u.delays[at.Address]):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return []jaywind.CachedPart{{Part: "p", Tokens: u.tokens[at.Address]}}, nil
}

// TestCallerReconnectsWithSlowEngines: callers reconnect after the loss of a router while engines are slow or gone. The test
// fails if a stream does not resume at the engine that has its prompt cached, or waits for an engine that does not matter.
func TestCallerReconnectsWithSlowEngines(t *testing.T) {
	const slow = 250 * time.Millisecond // longer than an earlier time limit for all engines together
	tests := map[string]struct {
		first, second time.Duration // delays of the answers
		cached        [2]int
		at            jaywind.EndpointID // expected engine; empty for either
		within        time.Duration
	}{
		"other engine never answers":     {0, -1, [2]int{5000, 0}, "e1", 200 * time.Millisecond},
		"engine with the prompt is slow": {slow, 0, [2]int{5000, 0}, "e1", time.Second},
		"other engine has more cached":   {0, slow, [2]int{1000, 5000}, "e2", time.Second},
		"not cached":                     {0, 0, [2]int{}, "", 200 * time.Millisecond},
		"no engine answers":              {-1, -1, [2]int{}, "", 1200 * time.Millisecond},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u := &cachingUpstream{
				fakeUpstream: fakeUpstream{events: 12},
				delays:       map[jaywind.Address]time.Duration{"e1": c.first, "e2": c.second},
				tokens:       map[jaywind.Address]int{"e1": c.cached[0], "e2": c.cached[1]},
			}
			r := newRouter(u)
			who := &caller{reads: 2}
			begun := time.Now()
			r.Serve(context.Background(), &router.Request{ID: "q", Host: "a", Path: "/x", Arrived: begun, Timeout: 5 * time.Second,
				LastEventID: 10, Resumed: true, PromptTokens: 5000, LastPart: "p"}, who)
			is.Equal(who.events, 2)
			is.Equal(len(u.sent), 1)
			is.True(c.at == "" || u.sent[0] == c.at)
			is.True(time.Since(begun) < c.within+300*time.Millisecond) // slack for a loaded machine
		})
	}
}

// TestResumedStreamAvoidsBarredVersion: a caller reconnects, and the engine that has its prompt cached runs a version that may not run requests.
// The test fails if the stream goes on there, or if it does not go on there while the version may run its share.
func TestResumedStreamAvoidsBarredVersion(t *testing.T) {
	order := func(v jaywind.Version) rollout.Order {
		return rollout.Order{Service: "pool", Target: v, Duration: time.Minute, ReceivedAt: time.Now()}
	}
	bounds := rollout.Bounds{Share: 0.1, ExtraRequests: 50}
	state := func(p rollout.Phase) rollout.State {
		return rollout.State{Target: "v2", Phase: p, Share: 0.04, Step: 1}
	}
	tests := map[string]struct {
		play func(r *router.Router)
		at   jaywind.EndpointID
	}{
		"on trial": {func(r *router.Router) { r.StartRollout(order("v2"), bounds) }, "e1"},
		"completed": {func(r *router.Router) {
			r.StartRollout(order("v2"), bounds)
			r.SetRolloutState("pool", state(rollout.PhaseDone))
		}, "e1"},
		"rolled back": {func(r *router.Router) {
			r.StartRollout(order("v2"), bounds)
			r.SetRolloutState("pool", state(rollout.PhaseRolledBack))
		}, "e2"},
		"withdrawn": {func(r *router.Router) { r.StartRollout(order("v2"), bounds); r.StartRollout(order("v1"), bounds) }, "e2"},
		"rolled back before the present order": {func(r *router.Router) {
			r.StartRollout(order("v2"), bounds)
			r.SetRolloutState("pool", state(rollout.PhaseRolledBack))
			r.StartRollout(order("v3"), bounds)
		}, "e2"},
		"found bad by the leader, not stored yet": {func(r *router.Router) {
			r.StartRollout(order("v2"), bounds)
			r.FollowRolloutLeader("pool", rollout.Reply{Load: rollout.LoadNone}, time.Now())
		}, "e2"},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			u := &cachingUpstream{fakeUpstream: fakeUpstream{events: 12}, tokens: map[jaywind.Address]int{"e1": 5000}}
			r := newRouter(u)
			for i, id := range []jaywind.EndpointID{"e2", "e1"} { // e1 is of the new version
				r.RemoveEndpoint(id, false)
				r.UpdateEndpoint(endpoint.Entry{ID: id, Service: "pool", Address: jaywind.Address(id), Domain: jaywind.Domain(rune('a' + i)), Slots: 16, Version: jaywind.Version(fmt.Sprint("v", i+1))})
			}
			c.play(r)
			r.Serve(context.Background(), &router.Request{ID: "q", Host: "a", Path: "/x", Arrived: time.Now(), Timeout: 5 * time.Second,
				LastEventID: 10, Resumed: true, PromptTokens: 5000, LastPart: "p"}, &caller{reads: 2})
			is.New(t).Equal(u.sent, []jaywind.EndpointID{c.at})
		})
	}
}
