package router_test

import (
	"context"
	"fmt"
	"net/http"
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

// versionRouter is a router with a plain service "desk", whose endpoints' ids begin with their versions.
type versionRouter struct {
	*router.Router
	upstream *versionCounter
}

// versionCounter is an Upstream that counts calls by version.
type versionCounter struct {
	fakeUpstream
	calls map[jaywind.Version]int
	fails jaywind.Version // whose calls fail
}

func (u *versionCounter) Do(_ context.Context, q jaywind.UpstreamRequest) (jaywind.Reply, error) {
	u.mu.Lock()
	v := jaywind.Version(q.Endpoint.ID[:2])
	u.calls[v]++
	fails := v == u.fails
	u.mu.Unlock()
	time.Sleep(200 * time.Millisecond) // so that calls overlap, and go to several endpoints
	if fails {
		return jaywind.Reply{Status: http.StatusInternalServerError}, nil
	}
	return jaywind.Reply{Status: http.StatusOK}, nil
}

func newVersionRouter() *versionRouter {
	u := &versionCounter{calls: map[jaywind.Version]int{}}
	r := &versionRouter{&router.Router{Self: "vm1", Upstream: u}, u}
	r.SetConfig(route.NewSet(1, []route.Route{{Name: "g", Host: "a", Prefix: "/", Kind: route.KindUnsafe, MaxAttempts: 1, Backends: []route.Backend{{Service: "desk", Weight: 1}}}},
		[]route.Service{{Name: "desk"}}, nil, route.Limits{}))
	return r
}

// add adds two endpoints of each version.
func (r *versionRouter) add(versions ...jaywind.Version) {
	for _, v := range versions {
		for i := range 2 {
			id := jaywind.EndpointID(fmt.Sprint(v, "-", i))
			r.UpdateEndpoint(endpoint.Entry{ID: id, Service: "desk", Address: jaywind.Address(id), Domain: jaywind.Domain(rune('a' + i)), Slots: 16, Version: v})
		}
	}
}

// remove removes the endpoints of a version.
func (r *versionRouter) remove(v jaywind.Version) {
	for i := range 2 {
		r.RemoveEndpoint(jaywind.EndpointID(fmt.Sprint(v, "-", i)), false)
	}
}

// order gives an order for a version.
func (r *versionRouter) order(v jaywind.Version, d time.Duration) {
	r.StartRollout(rollout.Order{Service: "desk", Target: v, Duration: d, ReceivedAt: time.Now()}, rollout.Bounds{Share: 0.1, ExtraRequests: 50})
}

// lead makes the router decide as the leader of a fleet of one, and returns the state that it stores.
func (r *versionRouter) lead() rollout.State {
	if totals, running := r.RolloutTotals()["desk"]; running {
		r.ReportRollout("vm1", "desk", totals)
		r.FollowRolloutLeader("desk", r.ReportRollout("vm1", "desk", totals), time.Now())
	}
	state := r.DecideRollouts(time.Now())["desk"]
	if state.Target != "" {
		r.SetRolloutState("desk", state)
	}
	return state
}

// serveFor sends 100 requests a second for a time, while the router leads, and returns the calls of each version in it and the last state.
func (r *versionRouter) serveFor(d time.Duration) (calls map[jaywind.Version]int, state rollout.State) {
	r.upstream.mu.Lock()
	r.upstream.calls = map[jaywind.Version]int{}
	r.upstream.mu.Unlock()
	var group conc.WaitGroup
	defer group.Wait()
	for i := range int(d / (10 * time.Millisecond)) {
		group.Go(func() {
			r.Serve(context.Background(), &router.Request{ID: "q", Host: "a", Path: "/x", Arrived: time.Now(), Timeout: time.Second}, &caller{})
		})
		time.Sleep(10 * time.Millisecond)
		if i%40 == 39 {
			state = r.lead()
		}
	}
	r.upstream.mu.Lock()
	defer r.upstream.mu.Unlock()
	return r.upstream.calls, state
}

// TestOnlyVersionLeft: a router starts and finds a store that has come back from an older copy, or the endpoints of a version stop. The test
// fails if requests are kept from the only version that is left, or if one that another version could stand in for gets more than its share.
func TestOnlyVersionLeft(t *testing.T) {
	const length = 30 * time.Second
	const bound = 350 // a tenth of the 3,000 requests in that time, and 50
	state := func(p rollout.Phase) rollout.State {
		return rollout.State{Target: "v2", Phase: p, Share: 0.05, Step: 3}
	}
	tests := map[string]struct {
		phase  rollout.Phase // in the copy; empty for no state
		left   []jaywind.Version
		fails  jaywind.Version
		least  int // requests to v2 from the sixth second to the twelfth, of about 600
		most   int
		phase2 rollout.Phase // by then
	}{
		"completed, canary in the copy":             {rollout.PhaseCanary, []jaywind.Version{"v2"}, "", 590, 600, rollout.PhaseDone},
		"completed, full load in the copy":          {rollout.PhaseShift, []jaywind.Version{"v2"}, "", 590, 600, rollout.PhaseDone},
		"completed, no order in the copy":           {"", []jaywind.Version{"v2"}, "", 590, 600, rollout.PhaseDone},
		"completed in the copy":                     {rollout.PhaseDone, []jaywind.Version{"v2"}, "", 590, 600, rollout.PhaseDone},
		"rolled back in the copy, only version":     {rollout.PhaseRolledBack, []jaywind.Version{"v2"}, "", 590, 600, rollout.PhaseRolledBack},
		"rolled back, canary in the copy":           {rollout.PhaseCanary, []jaywind.Version{"v1", "v2"}, "v2", 0, 30, rollout.PhaseRolledBack},
		"rolled back, full load in the copy":        {rollout.PhaseShift, []jaywind.Version{"v1", "v2"}, "v2", 0, 30, rollout.PhaseRolledBack},
		"rolled back in the copy":                   {rollout.PhaseRolledBack, []jaywind.Version{"v1", "v2"}, "v2", 0, 0, rollout.PhaseRolledBack},
		"running, canary in the copy":               {rollout.PhaseCanary, []jaywind.Version{"v1", "v2"}, "", 1, bound, rollout.PhaseCanary},
		"running, full load in the copy":            {rollout.PhaseShift, []jaywind.Version{"v1", "v2"}, "", 1, bound, rollout.PhaseShift},
		"running, only the old version is left":     {rollout.PhaseCanary, []jaywind.Version{"v1"}, "", 0, 0, rollout.PhaseCanary},
		"completed, and the only version is faulty": {rollout.PhaseCanary, []jaywind.Version{"v2"}, "v2", 590, 600, rollout.PhaseCanary},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				r := newVersionRouter()
				if c.phase != "" {
					r.SetRolloutState("desk", state(c.phase))
				}
				r.order("v2", length)
				r.add(c.left...)
				r.upstream.fails = c.fails
				r.serveFor(6 * time.Second)
				calls, last := r.serveFor(6 * time.Second)
				t.Logf("%v, %+v", calls, last)
				is := is.New(t)
				is.True(calls["v2"] >= c.least)
				is.True(calls["v2"] <= c.most)
				is.Equal(last.Phase, c.phase2)
			})
		})
	}
}

// TestOldVersionCrashes: all endpoints of the old version crash during a roll-out and come back. The test fails if the new version, of which
// little is known, gets their load, or if it never gets it when they stay away.
func TestOldVersionCrashes(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newVersionRouter()
		r.add("v1")
		r.order("v2", time.Minute)
		r.add("v2")
		r.serveFor(5 * time.Second)
		r.remove("v1")
		calls, state := r.serveFor(4 * time.Second)
		is.True(calls["v2"] < 60)
		is.Equal(state.Phase, rollout.PhaseCanary)
		r.add("v1")
		calls, state = r.serveFor(4 * time.Second)
		is.True(calls["v1"] > 300)
		is.Equal(state.Phase, rollout.PhaseCanary)
		r.remove("v1")
		r.serveFor(6 * time.Second)
		calls, state = r.serveFor(time.Second)
		is.True(calls["v2"] > 95)
		is.Equal(state.Phase, rollout.PhaseDone)
	})
}

// TestOrders: orders follow each other, also before the one before has ended. The test fails if a version that was on trial or was rolled back
// gets requests as if it were an old one, or if requests are kept from the version in use.
func TestOrders(t *testing.T) {
	const length = 30 * time.Second
	bad := func(r *versionRouter, v jaywind.Version) { r.upstream.fails = v }
	tests := map[string]struct {
		play  func(r *versionRouter)
		most  map[jaywind.Version]int // of 500 requests in the next 5 s
		least map[jaywind.Version]int
		state rollout.State // by then; target and phase
	}{
		"the old version, during the trial": {
			play: func(r *versionRouter) { r.order("v1", length) },
			most: map[jaywind.Version]int{"v2": 0}, least: map[jaywind.Version]int{"v1": 500},
			state: rollout.State{Target: "v1", Phase: rollout.PhaseShift},
		},
		"the old version, whose order ends": {
			play: func(r *versionRouter) { r.order("v1", 4*time.Second); r.serveFor(4 * time.Second) },
			most: map[jaywind.Version]int{"v2": 0}, least: map[jaywind.Version]int{"v1": 500},
			state: rollout.State{Target: "v1", Phase: rollout.PhaseDone},
		},
		"a third one, during the trial": {
			play: func(r *versionRouter) { r.order("v3", length); r.add("v3") },
			most: map[jaywind.Version]int{"v2": 0, "v3": 100}, least: map[jaywind.Version]int{"v1": 400, "v3": 1},
			state: rollout.State{Target: "v3", Phase: rollout.PhaseCanary},
		},
		"the next one, after a roll-back": {
			play: func(r *versionRouter) {
				bad(r, "v2")
				r.serveFor(4 * time.Second)
				r.order("v3", length)
				r.add("v3")
			},
			most: map[jaywind.Version]int{"v2": 0, "v3": 100}, least: map[jaywind.Version]int{"v1": 400, "v3": 1},
			state: rollout.State{Target: "v3", Phase: rollout.PhaseCanary},
		},
		"the same one, after a roll-back": {
			play: func(r *versionRouter) {
				bad(r, "v2")
				r.serveFor(4 * time.Second)
				r.order("v2", length)
			},
			most: map[jaywind.Version]int{"v2": 0}, least: map[jaywind.Version]int{"v1": 500},
			state: rollout.State{Target: "v2", Phase: rollout.PhaseRolledBack},
		},
		"A, B, A, of which A was rolled back": {
			play: func(r *versionRouter) {
				bad(r, "v2")
				r.serveFor(4 * time.Second)
				r.order("v3", length)
				r.add("v3")
				r.serveFor(time.Second)
				r.order("v2", length)
			},
			most: map[jaywind.Version]int{"v2": 0, "v3": 0}, least: map[jaywind.Version]int{"v1": 500},
			state: rollout.State{Target: "v2", Phase: rollout.PhaseRolledBack},
		},
		"A, B, A, of which A was replaced": {
			play: func(r *versionRouter) { r.order("v3", length); r.add("v3"); r.order("v2", length) },
			most: map[jaywind.Version]int{"v2": 100, "v3": 0}, least: map[jaywind.Version]int{"v1": 400, "v2": 1},
			state: rollout.State{Target: "v2", Phase: rollout.PhaseCanary},
		},
		"the old version and the next one": {
			play: func(r *versionRouter) {
				r.order("v1", length)
				r.serveFor(time.Second)
				r.order("v3", length)
				r.add("v3")
			},
			most: map[jaywind.Version]int{"v2": 0, "v3": 100}, least: map[jaywind.Version]int{"v1": 400},
			state: rollout.State{Target: "v3", Phase: rollout.PhaseCanary},
		},
		"a version without endpoints": {
			play: func(r *versionRouter) { r.order("v3", 4*time.Second); r.serveFor(4 * time.Second) },
			most: map[jaywind.Version]int{"v2": 0}, least: map[jaywind.Version]int{"v1": 500},
			state: rollout.State{Target: "v3", Phase: rollout.PhaseRolledBack},
		},
		"all versions that may run calls are gone": {
			play: func(r *versionRouter) {
				r.order("v1", length)
				r.serveFor(time.Second)
				r.remove("v1")
				r.serveFor(5 * time.Second)
			},
			least: map[jaywind.Version]int{"v2": 490},
			state: rollout.State{Target: "v1", Phase: rollout.PhaseShift},
		},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				r := newVersionRouter()
				r.add("v1")
				r.order("v2", length)
				r.add("v2")
				r.serveFor(4 * time.Second)
				c.play(r)
				calls, state := r.serveFor(5 * time.Second)
				t.Logf("%v, %+v", calls, state)
				is := is.New(t)
				for v, n := range c.most {
					is.True(calls[v] <= n)
				}
				for v, n := range c.least {
					is.True(calls[v] >= n)
				}
				is.Equal(state.Target, c.state.Target)
				is.Equal(state.Phase, c.state.Phase)
			})
		})
	}
}

// TestOrdersSeenLate: a router starts, or reads late, while orders follow each other. The test fails if it does not learn from the state that a
// version may not run requests.
func TestOrdersSeenLate(t *testing.T) {
	const length = 30 * time.Second
	trial := rollout.State{Target: "v2", Phase: rollout.PhaseCanary, Share: 0.05, Step: 2, Ledger: rollout.Ledger{{Version: "v1", Standing: rollout.StandingInUse}}}
	back := rollout.State{Target: "v1", Phase: rollout.PhaseShift, Step: 1, Ledger: rollout.Ledger{
		{Version: "v1", Standing: rollout.StandingInUse}, {Version: "v2", Standing: rollout.StandingWithdrawn}}}
	next := rollout.State{Target: "v3", Phase: rollout.PhaseCanary, Share: 0.05, Step: 1, Ledger: rollout.Ledger{
		{Version: "v1", Standing: rollout.StandingInUse}, {Version: "v2", Standing: rollout.StandingRejected}}}
	tests := map[string]struct {
		read func(r *versionRouter)
	}{
		"starts during the trial, before the order":   {func(r *versionRouter) { r.SetRolloutState("desk", trial); r.order("v1", length) }},
		"starts after the order":                      {func(r *versionRouter) { r.SetRolloutState("desk", back); r.order("v1", length) }},
		"reads the state after the order":             {func(r *versionRouter) { r.order("v1", length); r.SetRolloutState("desk", back) }},
		"starts after the next order":                 {func(r *versionRouter) { r.SetRolloutState("desk", next); r.order("v3", length) }},
		"sees the first order only after its end":     {func(r *versionRouter) { r.order("v3", length); r.SetRolloutState("desk", next) }},
		"has the trial, and sees the state before it": {func(r *versionRouter) { r.order("v2", length); r.SetRolloutState("desk", back); r.order("v1", length) }},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				r := newVersionRouter()
				c.read(r)
				r.add("v1", "v2")
				calls, _ := r.serveFor(5 * time.Second)
				is := is.New(t)
				is.Equal(calls["v2"], 0)
				is.True(calls["v1"] >= 400)
			})
		})
	}
}

// TestCallsOfBeforeTheOrder: calls wait or are repeated while an order comes. The test fails if they go to its version beyond the share.
func TestCallsOfBeforeTheOrder(t *testing.T) {
	const calls = 200
	bubble.Test(t, func(t *testing.T) {
		u := &versionCounter{calls: map[jaywind.Version]int{}, fails: "v1"}
		r := &versionRouter{&router.Router{Self: "vm1", Upstream: u, RetryBudget: retry.Budget{Ratio: 1, Reserve: calls, Window: 10 * time.Second}}, u}
		r.SetConfig(route.NewSet(1, []route.Route{{Name: "g", Host: "a", Prefix: "/", Kind: route.KindSafe, MaxAttempts: 2, Backends: []route.Backend{{Service: "desk", Weight: 1}}}},
			[]route.Service{{Name: "desk"}}, nil, route.Limits{}))
		r.add("v1")
		var group conc.WaitGroup
		for range calls {
			group.Go(func() {
				r.Serve(context.Background(), &router.Request{ID: "q", Host: "a", Path: "/x", Arrived: time.Now(), Timeout: time.Second}, &caller{})
			})
		}
		time.Sleep(100 * time.Millisecond) // their first attempts are under way, and fail
		r.order("v2", time.Minute)
		r.add("v2")
		group.Wait()
		is := is.New(t)
		is.Equal(u.calls["v1"]+u.calls["v2"], 2*calls)
		is.True(u.calls["v2"] < calls/5)
	})
}

// TestOrderBeforeOldEndpointsAreKnown: a router knows only the endpoints of the new version when its order comes, as those of the old one were
// gone for a moment. The test fails if it takes the new version for the one in use.
func TestOrderBeforeOldEndpointsAreKnown(t *testing.T) {
	for _, wait := range []time.Duration{0, 3 * time.Second} {
		t.Run(wait.String(), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				r := newVersionRouter()
				r.upstream.fails = "v2"
				r.add("v2")
				r.order("v2", 30*time.Second)
				r.serveFor(wait)
				r.add("v1")
				calls, _ := r.serveFor(4 * time.Second)
				_, state := r.serveFor(time.Second)
				is := is.New(t)
				is.True(calls["v2"] < 80)
				is.Equal(state.Phase, rollout.PhaseRolledBack)
			})
		})
	}
}
