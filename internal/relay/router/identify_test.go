package router_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"jaywind"
	"jaywind/internal/core/endpoint"
	"jaywind/internal/core/rollout"
	"jaywind/internal/core/route"
	"jaywind/internal/relay/router"
)

// restartedUpstream is an Upstream whose engines have all restarted with new ids at their old addresses.
type restartedUpstream struct {
	fakeUpstream
	models []jaywind.Model
	sent   []jaywind.EndpointID
}

func (u *restartedUpstream) Open(ctx context.Context, s jaywind.UpstreamRequest, limit time.Duration) (jaywind.EventStream, jaywind.Reply, error) {
	u.sent = append(u.sent, s.Endpoint.ID)
	if s.Endpoint.ID != "new-"+jaywind.EndpointID(s.Endpoint.Address) {
		return nil, jaywind.Reply{}, jaywind.ErrEndpointReplaced
	}
	return u.fakeUpstream.Open(ctx, s, limit)
}

func (u *restartedUpstream) Identify(_ context.Context, at jaywind.EndpointRef, health string) (jaywind.Identity, error) {
	if health != "/health" {
		return jaywind.Identity{}, jaywind.ErrBusy
	}
	return jaywind.Identity{ID: "new-" + jaywind.EndpointID(at.Address), Incarnation: 2, Models: u.models}, nil
}

// refusalRecorder records the reasons of the router's own responses.
type refusalRecorder struct {
	caller
	reasons []router.Reason
}

func (c *refusalRecorder) Refuse(f router.Refusal) { c.reasons = append(c.reasons, f.Reason) }

// TestEnginesRestartDuringRegistryOutage: many engines crash and restart at their addresses while the registry is
// unavailable and can't list them. The test fails if the router does not identify them, or identifies one whose service or
// version is uncertain.
func TestEnginesRestartDuringRegistryOutage(t *testing.T) {
	tests := map[string]struct {
		blind    bool
		models   []jaywind.Model // of the restarted engines
		services int             // services that serve the model
		order    bool            // a roll-out is in progress
		served   bool
	}{
		"registry unavailable":            {true, []jaywind.Model{"m"}, 1, false, true},
		"registry available":              {false, []jaywind.Model{"m"}, 1, false, false},
		"another model":                   {true, []jaywind.Model{"x"}, 1, false, false},
		"two services with the model":     {true, []jaywind.Model{"m"}, 2, false, false},
		"version unknown during roll-out": {true, []jaywind.Model{"m"}, 1, true, false},
		"not an engine":                   {true, nil, 1, false, false},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u := &restartedUpstream{fakeUpstream: fakeUpstream{events: 3}, models: c.models}
			r := newRouter(u)
			r.RegistryUnavailable = func() bool { return c.blind }
			pool := route.Engine{Models: []jaywind.Model{"m"}, Slots: 16, MemoryTokens: 55000}
			services := []route.Service{{Name: "pool", HealthPath: "/health", Engine: &pool}, {Name: "other", HealthPath: "/health", Engine: &pool}}
			r.SetConfig(route.NewSet(2, []route.Route{{Name: "s", Host: "a", Prefix: "/", Kind: route.KindStream, Resume: true, MaxAttempts: 5,
				Backends: []route.Backend{{Service: "pool", Weight: 1}}}}, services[:c.services], nil, route.Limits{}))
			for i, id := range []jaywind.EndpointID{"e1", "e2"} {
				r.UpdateEndpoint(endpoint.Entry{ID: id, Service: "pool", Address: jaywind.Address(id), Domain: jaywind.Domain(rune('a' + i)),
					Slots: 16, Models: []jaywind.Model{"m"}, Incarnation: 1})
			}
			if c.order {
				r.StartRollout(rollout.Order{Service: "pool", Target: "v2", Duration: time.Minute, ReceivedAt: time.Now()}, rollout.Bounds{Share: 0.1})
			}
			who := &refusalRecorder{caller: caller{reads: 3}}
			ask := router.Request{ID: "q", Host: "a", Path: "/x", Model: "m", Arrived: time.Now(), Timeout: time.Second}
			r.Serve(context.Background(), &ask, who)
			is.Equal(who.events == 3, c.served)
			is.Equal(len(who.reasons) == 0, c.served)
			if c.served {
				is.True(len(u.sent) <= 3) // one failed call identifies each restarted engine
				r.ExpireEndpoints(time.Now().Add(time.Second))
				is.Equal(metrics.GetOrRegisterGauge("endpoints", r.Metrics).Value(), int64(0)) // engines that the registry does not list expire
			}
		})
	}
}

// TestAddIdentified fails if a router adds an engine that another router has identified although it can read the registry,
// or other than in place of an older engine of the same service.
func TestAddIdentified(t *testing.T) {
	tests := map[string]struct {
		blind bool
		entry endpoint.Entry
		want  int64 // engines that were added
	}{
		"restarted":          {true, endpoint.Entry{ID: "e3", Service: "pool", Address: "e1", Incarnation: 9}, 1},
		"registry available": {false, endpoint.Entry{ID: "e3", Service: "pool", Address: "e1", Incarnation: 9}, 0},
		"older":              {true, endpoint.Entry{ID: "e3", Service: "pool", Address: "e1", Incarnation: -1}, 0},
		"unknown address":    {true, endpoint.Entry{ID: "e3", Service: "pool", Address: "e7", Incarnation: 9}, 0},
		"other service":      {true, endpoint.Entry{ID: "e3", Service: "desk", Address: "e1", Incarnation: 9}, 0},
		"known id":           {true, endpoint.Entry{ID: "e1", Service: "pool", Address: "e1", Incarnation: 9}, 0},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRouter(&fakeUpstream{events: 3})
			r.RegistryUnavailable = func() bool { return c.blind }
			r.AddIdentified(c.entry)
			is.New(t).Equal(metrics.GetOrRegisterCounter("endpoints.identified", r.Metrics).Count(), c.want)
		})
	}
}
