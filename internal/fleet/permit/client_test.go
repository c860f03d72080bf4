package permit_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"jaywind"
	core "jaywind/internal/core/permit"
	"jaywind/internal/fleet/cbor"
	"jaywind/internal/fleet/permit"
)

var endpoint = jaywind.EndpointRef{ID: "e1", Incarnation: 1, Address: "10.0.0.1:80"}

// fleet holds the clients of routers, of which the first one owns all endpoints and the second one answers in its place.
type fleet struct {
	clients []*permit.Client
	servers []*httptest.Server
}

func startFleet(t *testing.T, size int) *fleet {
	t.Helper()
	f := &fleet{}
	var addresses []jaywind.Address
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	t.Cleanup(func() { cancel(); group.Wait() })
	for range size {
		c := &permit.Client{HTTP: cbor.NewHTTPClient(""), Routers: func() int { return size },
			Owners: func(_ string, count int) []jaywind.Address { return addresses[:min(count, len(addresses))] }}
		m := http.NewServeMux()
		c.Handle(m)
		s := httptest.NewUnstartedServer(m)
		s.Config.Protocols = cbor.Protocols()
		s.Start()
		t.Cleanup(s.Close)
		c.Self = jaywind.Address(strings.TrimPrefix(s.URL, "http://"))
		addresses = append(addresses, c.Self)
		f.clients, f.servers = append(f.clients, c), append(f.servers, s)
	}
	for _, c := range f.clients {
		group.Go(func() { c.Run(ctx) })
	}
	return f
}

func question(tolerance int) core.Question {
	return core.Question{Slots: 4, Tolerance: tolerance, Lease: time.Minute, Onset: true}
}

// TestSharedPermits guards against more calls of all routers together than an endpoint has slots, and against permits that are not used again.
func TestSharedPermits(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 4)
	var mu sync.Mutex
	held, most, done := 0, 0, 0
	var group conc.WaitGroup
	for i := range 40 {
		group.Go(func() {
			for end := time.Now().Add(time.Second); time.Now().Before(end); {
				release, retryAt := f.clients[i%4].Take(context.Background(), endpoint, question(0))
				if release == nil {
					time.Sleep(time.Until(retryAt))
					continue
				}
				mu.Lock()
				held++
				most = max(most, held)
				mu.Unlock()
				time.Sleep(5 * time.Millisecond)
				mu.Lock()
				held--
				done++
				mu.Unlock()
				release(false)
			}
		})
	}
	group.Wait()
	t.Logf("%d calls, %d at once", done, most)
	is.True(most <= 4)
	is.True(done > 100)
}

// TestOwnerIsLost checks who grants permits while the owner of an endpoint does not answer, and how many.
func TestOwnerIsLost(t *testing.T) {
	for tolerance, want := range map[int]int{0: 0, 4: 2, 100: 4} {
		t.Run(fmt.Sprint(tolerance), func(t *testing.T) {
			is := is.New(t)
			f := startFleet(t, 3)
			f.servers[0].CloseClientConnections()
			f.servers[0].Close()
			granted := 0
			for range 10 {
				if release, retryAt := f.clients[2].Take(context.Background(), endpoint, question(tolerance)); release != nil {
					granted++
				} else {
					is.True(retryAt.After(time.Now()))
				}
			}
			is.Equal(granted, want)
		})
	}
}
