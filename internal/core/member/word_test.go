package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/internal/core/rule"
	"jaywind/internal/core/table"
)

// TestWordOfAnEndpointReachesAll has each router poll its endpoints in turn, at the constant rate of 8 a second,
// and one endpoint say that it leaves, and later that it doesn't.
func TestWordOfAnEndpointReachesAll(t *testing.T) {
	const (
		leaveTarget = 3 * time.Second
		pollPeriod  = 125 * time.Millisecond
	)
	tests := map[string]struct{ routers, endpoints, watched int }{
		"harmattan":                      {routers: 9, endpoints: 35, watched: 35},
		"disipa":                         {routers: 8, endpoints: 25, watched: 25},
		"a part of the size to come":     {routers: 100, endpoints: 254, watched: 112},
		"few routers, all of the models": {routers: 9, endpoints: 112, watched: 112},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(c.routers)
			set := rule.NewSet()
			for i := range c.endpoints {
				id := jaywind.EndpointID(fmt.Sprint("e", i))
				set.Endpoints[id] = rule.Endpoint{ID: id}
				for _, n := range f.nodes {
					n.state.Rules = set
					n.state.Endpoints[id] = &table.Endpoint{ID: id}
				}
			}
			f.until(joinTarget, f.joined)
			f.run(10 * time.Second)
			const leaver = "e0"
			leaving := false
			turn := 0
			poll := func() {
				turn++
				for i, n := range f.nodes {
					at := (i*c.watched + (turn+i*c.watched/c.routers)%c.watched) % c.endpoints // each begins elsewhere
					id := jaywind.EndpointID(fmt.Sprint("e", at))
					n.inbox = append(n.inbox, table.LoadReported{Endpoint: id, Load: jaywind.Load{MeasuredAt: f.now, Leaving: leaving && id == leaver}})
				}
			}
			know := func(want bool) bool {
				for _, n := range f.nodes {
					if n.state.Endpoints[leaver].Leaving != want {
						return false
					}
				}
				return true
			}
			until := func(limit time.Duration, want bool) time.Duration {
				start := f.now
				for !know(want) && f.now.Sub(start) < limit {
					poll()
					f.run(pollPeriod)
				}
				return f.now.Sub(start)
			}
			leaving = true
			took := until(time.Minute, true)
			t.Logf("all %d routers know after %v", c.routers, took)
			is.True(took <= leaveTarget)
			for range 800 { // its word is told anew while it lasts
				poll()
				f.run(pollPeriod)
				is.True(know(true))
			}
			leaving = false
			took = until(2*time.Minute, false)
			t.Logf("all take it back after %v", took)
			is.True(know(false))
			for _, n := range f.nodes {
				is.True(len(n.state.Fleet.Notes) < 20)
			}
		})
	}
}
