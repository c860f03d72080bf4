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

// restarted are engines that have all come back under new ids at their old addresses.
type restarted struct {
	engines
	models []jaywind.Model
	sent   []jaywind.EndpointID
}

func (u *restarted) Open(ctx context.Context, s jaywind.UpstreamRequest, limit time.Duration) (jaywind.EventStream, jaywind.Reply, error) {
	u.sent = append(u.sent, s.Endpoint)
	if s.Endpoint != "new-"+jaywind.EndpointID(s.Address) {
		return nil, jaywind.Reply{}, jaywind.ErrEndpointReplaced
	}
	return u.engines.Open(ctx, s, limit)
}

func (u *restarted) Identify(_ context.Context, at jaywind.Address, health string) (jaywind.Identity, error) {
	if health != "/health" {
		return jaywind.Identity{}, jaywind.ErrBusy
	}
	return jaywind.Identity{ID: "new-" + jaywind.EndpointID(at), Incarnation: 2, Models: u.models}, nil
}

// refusals counts the router's own answers.
type refusals struct {
	caller
	reasons []router.Reason
}

func (c *refusals) Refuse(f router.Refusal) { c.reasons = append(c.reasons, f.Reason) }

// TestEnginesRestartWhileRegistryIsAway: the pattern is engines that crash by the dozen and come back at their
// addresses while the registry can't say so.
func TestEnginesRestartWhileRegistryIsAway(t *testing.T) {
	tests := map[string]struct {
		blind    bool
		models   []jaywind.Model // of the engines that came back
		services int             // that serve the model
		order    bool            // a roll-out goes on
		served   bool
	}{
		"registry is away":                 {true, []jaywind.Model{"m"}, 1, false, true},
		"registry is there and will tell":  {false, []jaywind.Model{"m"}, 1, false, false},
		"another model":                    {true, []jaywind.Model{"x"}, 1, false, false},
		"two services could be meant":      {true, []jaywind.Model{"m"}, 2, false, false},
		"version can't be told, roll-out":  {true, []jaywind.Model{"m"}, 1, true, false},
		"no engine, so it serves no model": {true, nil, 1, false, false},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u := &restarted{engines: engines{events: 3}, models: c.models}
			r := newRouter(u)
			r.Blind = func() bool { return c.blind }
			pool := route.Engine{Models: []jaywind.Model{"m"}, Slots: 16, MemoryTokens: 55000}
			services := []route.Service{{Name: "pool", HealthPath: "/health", Engine: &pool}, {Name: "other", HealthPath: "/health", Engine: &pool}}
			r.Adopt(route.NewSet(2, []route.Route{{Name: "s", Host: "a", Prefix: "/", Kind: route.KindStream, Resume: true, MaxAttempts: 5,
				Backends: []route.Backend{{Service: "pool", Weight: 1}}}}, services[:c.services], nil, route.Limits{}))
			for i, id := range []jaywind.EndpointID{"e1", "e2"} {
				r.Learn(endpoint.Entry{ID: id, Service: "pool", Address: jaywind.Address(id), Domain: jaywind.Domain(rune('a' + i)),
					Slots: 16, Models: []jaywind.Model{"m"}, Incarnation: 1})
			}
			if c.order {
				r.Order(rollout.Order{Service: "pool", Target: "v2", Duration: time.Minute, ReceivedAt: time.Now()}, rollout.Bounds{Share: 0.1})
			}
			who := &refusals{caller: caller{reads: 3}}
			ask := router.Ask{ID: "q", Host: "a", Path: "/x", Model: "m", Arrived: time.Now(), Within: time.Second}
			r.Serve(context.Background(), &ask, who)
			is.Equal(who.events == 3, c.served)
			is.Equal(len(who.reasons) == 0, c.served)
			if c.served {
				is.True(len(u.sent) <= 3) // each engine that has come back is found out by one call
				r.Expire(time.Now().Add(time.Second))
				is.Equal(metrics.GetOrRegisterGauge("endpoints", r.Metrics).Value(), int64(0)) // what the registry does not confirm lapses
			}
		})
	}
}

// TestHearOf: what another router has identified is taken only by one that can't read the registry, and only in place
// of an older engine of the same service.
func TestHearOf(t *testing.T) {
	tests := map[string]struct {
		blind bool
		entry endpoint.Entry
		want  int64 // engines that are identified
	}{
		"came back":          {true, endpoint.Entry{ID: "e3", Service: "pool", Address: "e1", Incarnation: 9}, 1},
		"registry is there":  {false, endpoint.Entry{ID: "e3", Service: "pool", Address: "e1", Incarnation: 9}, 0},
		"older":              {true, endpoint.Entry{ID: "e3", Service: "pool", Address: "e1", Incarnation: -1}, 0},
		"address is unknown": {true, endpoint.Entry{ID: "e3", Service: "pool", Address: "e7", Incarnation: 9}, 0},
		"other service":      {true, endpoint.Entry{ID: "e3", Service: "desk", Address: "e1", Incarnation: 9}, 0},
		"known":              {true, endpoint.Entry{ID: "e1", Service: "pool", Address: "e1", Incarnation: 9}, 0},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRouter(&engines{events: 3})
			r.Blind = func() bool { return c.blind }
			r.HearOf(c.entry)
			is.New(t).Equal(metrics.GetOrRegisterCounter("endpoints.identified", r.Metrics).Count(), c.want)
		})
	}
}
