package router_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/internal/core/endpoint"
	"jaywind/internal/core/rollout"
	"jaywind/internal/relay/router"
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
