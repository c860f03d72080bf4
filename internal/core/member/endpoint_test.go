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

// TestEndpointLeaveStatusReachesAllRouters has each router poll its endpoints in turn, at the constant rate of 8 per second,
// while one endpoint reports that it is leaving, and later that it is not.
func TestEndpointLeaveStatusReachesAllRouters(t *testing.T) {
	const (
		leaveTarget = 3 * time.Second
		pollPeriod  = 125 * time.Millisecond
	)
	tests := map[string]struct{ routers, endpoints, polled int }{
		"harmattan":                 {routers: 9, endpoints: 35, polled: 35},
		"disipa":                    {routers: 8, endpoints: 25, polled: 25},
		"part of the planned fleet": {routers: 100, endpoints: 254, polled: 112},
		"few routers, each polling all endpoints": {routers: 9, endpoints: 112, polled: 112},
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
			f.runUntil(joinTarget, f.joined)
			f.run(10 * time.Second)
			const leavingID = "e0"
			leaving := false
			turn := 0
			poll := func() {
				turn++
				for i, n := range f.nodes {
					index := (i*c.polled + (turn+i*c.polled/c.routers)%c.polled) % c.endpoints // each router starts at another endpoint
					id := jaywind.EndpointID(fmt.Sprint("e", index))
					n.inbox = append(n.inbox, table.LoadReported{Endpoint: id, Load: jaywind.Load{MeasuredAt: f.now, Leaving: leaving && id == leavingID}})
				}
			}
			allHave := func(want bool) bool {
				for _, n := range f.nodes {
					if n.state.Endpoints[leavingID].Leaving != want {
						return false
					}
				}
				return true
			}
			runUntilAllHave := func(limit time.Duration, want bool) time.Duration {
				start := f.now
				for !allHave(want) && f.now.Sub(start) < limit {
					poll()
					f.run(pollPeriod)
				}
				return f.now.Sub(start)
			}
			leaving = true
			took := runUntilAllHave(time.Minute, true)
			t.Logf("all %d routers know that it is leaving after %v", c.routers, took)
			is.True(took <= leaveTarget)
			for range 800 { // the status is sent again before it expires
				poll()
				f.run(pollPeriod)
				is.True(allHave(true))
			}
			leaving = false
			took = runUntilAllHave(2*time.Minute, false)
			t.Logf("all know that it is not leaving after %v", took)
			is.True(allHave(false))
			for _, n := range f.nodes {
				is.True(len(n.state.Fleet.Notes) < 20)
			}
		})
	}
}
