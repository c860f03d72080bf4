package router_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/internal/relay/router"
)

// keepers are engines that say what they keep after some time; one that never does has a negative one.
type keepers struct {
	engines
	after map[jaywind.Address]time.Duration
	keeps map[jaywind.Address]int // tokens of part p
	sent  []jaywind.EndpointID
}

func (u *keepers) Open(ctx context.Context, s jaywind.UpstreamRequest, limit time.Duration) (jaywind.EventStream, jaywind.Reply, error) {
	u.sent = append(u.sent, s.Endpoint)
	return u.engines.Open(ctx, s, limit)
}

func (u *keepers) CachedParts(ctx context.Context, at jaywind.Address) ([]jaywind.CachedPart, error) {
	if u.after[at] < 0 {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	select {
	case <-time.After(u.after[at]):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return []jaywind.CachedPart{{Part: "p", Tokens: u.keeps[at]}}, nil
}

// TestCallerComesBackAmongSlowEngines: the pattern is callers that come back when a router ends, while engines are slow or
// gone; they go on where their prompt is kept, and wait for no engine that does not matter.
func TestCallerComesBackAmongSlowEngines(t *testing.T) {
	const slow = 250 * time.Millisecond // more than all engines together were once given
	tests := map[string]struct {
		first, second time.Duration // until the engines answer
		keeps         [2]int
		at            jaywind.EndpointID // empty for either
		within        time.Duration
	}{
		"the other one never answers": {0, -1, [2]int{5000, 0}, "e1", 200 * time.Millisecond},
		"the holder is slow":          {slow, 0, [2]int{5000, 0}, "e1", time.Second},
		"a copy of a part, and more":  {0, slow, [2]int{1000, 5000}, "e2", time.Second},
		"nobody keeps it":             {0, 0, [2]int{}, "", 200 * time.Millisecond},
		"nobody answers":              {-1, -1, [2]int{}, "", 1200 * time.Millisecond},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u := &keepers{
				engines: engines{events: 12},
				after:   map[jaywind.Address]time.Duration{"e1": c.first, "e2": c.second},
				keeps:   map[jaywind.Address]int{"e1": c.keeps[0], "e2": c.keeps[1]},
			}
			r := newRouter(u)
			who := &caller{reads: 2}
			begun := time.Now()
			r.Serve(context.Background(), &router.Ask{ID: "q", Host: "a", Path: "/x", Arrived: begun, Within: 5 * time.Second,
				After: 10, Resumed: true, Prompt: 5000, Subject: "p"}, who)
			is.Equal(who.events, 2)
			is.Equal(len(u.sent), 1)
			is.True(c.at == "" || u.sent[0] == c.at)
			is.True(time.Since(begun) < c.within+300*time.Millisecond) // for a machine that does other work
		})
	}
}
