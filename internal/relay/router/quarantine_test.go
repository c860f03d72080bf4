package router_test

import (
	"context"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/internal/core/suspect"
	"jaywind/internal/relay/router"
)

// lateUpstream is an Upstream whose next attempts find no connection.
type lateUpstream struct {
	fakeUpstream
	failures int // number of those
}

func (u *lateUpstream) Open(ctx context.Context, s jaywind.UpstreamRequest, limit time.Duration) (jaywind.EventStream, jaywind.Reply, error) {
	if u.failures > 0 {
		u.failures--
		return nil, jaywind.Reply{}, jaywind.ErrNotSent
	}
	return u.fakeUpstream.Open(ctx, s, limit)
}

// TestProbeThatHasNotRun: the request that may lift a quarantine doesn't reach an engine at first. The test fails if it is kept back then, so that
// the quarantine lasts until the next probe, or if a probe that ends without having run is lost.
func TestProbeThatHasNotRun(t *testing.T) {
	tests := map[string]struct {
		failures int // of the attempts of the last request
		unserved int // requests before it, none of whose attempts reach an engine
	}{
		"reaches an engine":             {0, 0},
		"reaches the second engine":     {1, 0},
		"the one before reached none":   {0, 1},
		"the three before reached none": {0, 3},
		"two before, the second engine": {1, 2},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u := &lateUpstream{fakeUpstream: fakeUpstream{events: 3}}
			r := newRouter(u)
			g := suspect.Group{Service: "pool", Parts: []jaywind.PromptPart{"x"}}
			is.True(r.AddQuarantine(g))
			r.AllowProbe(g, 0)
			for i := range c.unserved + 1 {
				u.failures = math.MaxInt
				if i == c.unserved {
					u.failures = c.failures
				}
				is.Equal(u.opened, 0)
				who := &caller{reads: 3}
				request := &router.Request{ID: "q", Host: "a", Path: "/x", Arrived: time.Now(), Timeout: 300 * time.Millisecond, SharedParts: g.Parts, LastPart: "p"}
				r.Serve(context.Background(), request, who)
				is.Equal(who.events == 3, i == c.unserved)
			}
			is.Equal(u.opened, 1)
			is.Equal(len(r.Quarantined("pool", g.Parts)), 0) // the run that survived lifts it
		})
	}
}
