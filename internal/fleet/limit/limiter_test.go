package limit_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"jaywind"
	core "jaywind/internal/core/limit"
	"jaywind/internal/fleet/cbor"
	"jaywind/internal/fleet/limit"
)

var target = jaywind.EndpointRef{ID: "e1", Incarnation: 7, Address: "10.0.0.1:1"}

// newTestFleet starts limiters that call each other; the first two are the owners of all endpoints. Those named in down can't be reached.
func newTestFleet(t *testing.T, size int, down ...int) []*limit.Limiter {
	t.Helper()
	var all []*limit.Limiter
	var addresses []jaywind.Address
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	for i := range size {
		l := &limit.Limiter{HTTP: cbor.NewHTTPClient(""), Routers: func() int { return size }}
		m := http.NewServeMux()
		l.Handle(m)
		s := httptest.NewUnstartedServer(m)
		s.Config.Protocols = cbor.Protocols()
		s.Start()
		t.Cleanup(s.Close)
		for _, n := range down {
			if n == i {
				s.Close()
			}
		}
		addresses = append(addresses, jaywind.Address(strings.TrimPrefix(s.URL, "http://")))
		others := func(among int) (found []jaywind.Address) {
			for n, at := range addresses[:min(among, len(addresses))] {
				if n != i {
					found = append(found, at)
				}
			}
			return found
		}
		l.Owners = func(_ string, count int) ([]jaywind.Address, bool) { return others(count), i < count }
		l.Peers = func(int) []jaywind.Address { return others(size) }
		group.Go(func() { l.Run(ctx) })
		all = append(all, l)
	}
	t.Cleanup(func() { cancel(); group.Wait() })
	return all
}

// TestSharedLimit fails if routers together send more than the limit of an endpoint, or if those that have not heard of it by an answer
// of their own don't obey it.
func TestSharedLimit(t *testing.T) {
	const (
		rate   = 40
		length = 2 * time.Second
	)
	tests := map[string]struct {
		down        []int
		least, most int
	}{
		"all up":               {least: rate, most: 3*rate + 5},
		"an owner is down":     {down: []int{0}, least: rate / 3, most: 2*rate + 5},
		"both owners are down": {down: []int{0, 1}, least: rate / 4, most: 3*rate + 5},
		"another is down":      {down: []int{4}, least: rate, most: 3*rate + 5},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			fleet := newTestFleet(t, 5, c.down...)
			fleet[2].Observe(target, core.NewReading(rate, time.Now()))
			_, _ = fleet[2].Take(context.Background(), target, jaywind.PriorityNormal)
			if len(c.down) == 0 {
				for end := time.Now().Add(5 * time.Second); !fleet[3].IsLimited(target) && time.Now().Before(end); time.Sleep(time.Millisecond) {
				}
				is.True(fleet[3].IsLimited(target)) // announced
			}
			for _, l := range fleet {
				l.Observe(target, core.NewReading(rate, time.Now()))
			}
			sent := make([]int, len(fleet))
			var group conc.WaitGroup
			for i, l := range fleet {
				group.Go(func() {
					for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
						if ok, _ := l.Take(context.Background(), target, jaywind.PriorityNormal); ok {
							sent[i]++
						}
					}
				})
			}
			group.Wait()
			total := 0
			for _, n := range sent {
				total += n
			}
			if total < c.least || total > c.most {
				t.Fatalf("%d requests sent (%v), want %d to %d", total, sent, c.least, c.most)
			}
		})
	}
}

// TestEndIsAnnounced fails if a router that waits does not hear of the end of a limit, as it gets no answers of the endpoint itself.
func TestEndIsAnnounced(t *testing.T) {
	is := is.New(t)
	fleet := newTestFleet(t, 5)
	limited := core.NewReading(0.25, time.Now())
	for _, l := range fleet {
		l.Observe(target, limited)
	}
	waits := func() bool {
		_, retryAt := fleet[4].Take(context.Background(), target, jaywind.PriorityNormal)
		return time.Until(retryAt) > 4*time.Second
	}
	for end := time.Now().Add(5 * time.Second); !waits(); {
		is.True(time.Now().Before(end))
	}
	fleet[2].Observe(target, core.Reading{At: time.Now()})
	for range 2 { // one that has heard of it tells the owners
		_, _ = fleet[2].Take(context.Background(), target, jaywind.PriorityNormal)
	}
	for end := time.Now().Add(3 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if ok, _ := fleet[4].Take(context.Background(), target, jaywind.PriorityNormal); ok {
			break
		}
		is.True(time.Now().Before(end)) // before the wait is over that was given while the limit lasted
	}
}

// TestNotAnOwner fails if a router grants requests that does not consider itself an owner.
func TestNotAnOwner(t *testing.T) {
	is := is.New(t)
	fleet := newTestFleet(t, 4)
	asking := fleet[3]
	asking.Observe(target, core.NewReading(1000, time.Now()))
	fleet[0].Owners = func(string, int) ([]jaywind.Address, bool) { return nil, false }
	fleet[1].Owners = fleet[0].Owners
	ok, _ := asking.Take(context.Background(), target, jaywind.PriorityNormal)
	is.True(!ok)
}

// TestCancelledTake fails if a caller that has gone makes an owner count as unreachable.
func TestCancelledTake(t *testing.T) {
	is := is.New(t)
	fleet := newTestFleet(t, 3)
	fleet[2].Observe(target, core.NewReading(1000, time.Now().Add(-time.Second)))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, _ = fleet[2].Take(ctx, target, jaywind.PriorityNormal)
	time.Sleep(20 * time.Millisecond)
	_, _ = fleet[2].Take(context.Background(), target, jaywind.PriorityNormal) // the owners learn of the limit
	time.Sleep(20 * time.Millisecond)
	ok, _ := fleet[2].Take(context.Background(), target, jaywind.PriorityNormal)
	is.True(ok)
}

// TestFlatCost fails if the calls of an owner grow with the number of routers that want requests.
func TestFlatCost(t *testing.T) {
	for _, size := range []int{3, 12} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			fleet := newTestFleet(t, size)
			var group conc.WaitGroup
			for _, l := range fleet {
				l.Observe(target, core.NewReading(10, time.Now()))
				group.Go(func() {
					for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
						_, _ = l.Take(context.Background(), target, jaywind.PriorityNormal)
					}
				})
			}
			group.Wait()
			for i, l := range fleet[:2] {
				if n := l.Answered(); n > 150 { // 5 a second are granted, and about as many refused besides the first of each router
					t.Errorf("owner %d has answered %d times", i, n)
				}
			}
		})
	}
}
