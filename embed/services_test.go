package embed_test

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
	"jaywind/embed"
	backend "jaywind/internal/backend/service"
	"jaywind/internal/core/rule"
	"jaywind/internal/core/table"
	"jaywind/internal/edge/caller"
	"jaywind/internal/fleet/cbor"
	"jaywind/internal/fleet/ledger"
	"jaywind/internal/standin/service"
	"jaywind/internal/standin/store"
)

const secret = "0123456789abcdef"

// testServices is two routers with one store and two endpoints of a service, all on loopback.
type testServices struct {
	store   *store.Store
	service *service.Service // serves both endpoints, so it counts all runs
	entries [2]string
	fleet   [2]*httptest.Server
	routers [2]*embed.Router
	stops   [2]func() // stop the routers and wait
}

func newTestServices(t *testing.T) *testServices {
	t.Helper()
	b := &testServices{store: &store.Store{}, service: &service.Service{}}
	text := "service bind path=/bind once=yes # test\n"
	for _, id := range []string{"s1", "s2"} {
		s := httptest.NewServer(b.service.Handler())
		t.Cleanup(s.Close)
		text += fmt.Sprintf("endpoint %s kind=service service=bind url=%s domain=a # test\n", id, s.URL)
	}
	set, findings := rule.Parse("test", text)
	is.New(t).Equal(len(findings), 0)
	var members []jaywind.Member
	for i := range b.entries {
		vm := jaywind.VM(fmt.Sprint("vm", i+1))
		committer := &ledger.Committer{Store: b.store}
		m := http.NewServeMux()
		m.Handle(ledger.Path, ledger.NewHandler(committer))
		b.fleet[i] = httptest.NewUnstartedServer(cbor.RequireSecret(secret, m))
		b.fleet[i].Config.Protocols = cbor.Protocols()
		b.fleet[i].Start()
		members = append(members, jaywind.Member{VM: vm, Fleet: jaywind.Address(b.fleet[i].URL)})
		client := cbor.NewHTTPClient(secret)
		r := &embed.Router{Self: vm, Service: &backend.Client{}}
		r.Claims = &ledger.Forwarder{
			Self: vm, Local: committer, Remote: &ledger.Client{HTTP: client},
			Members: func() []jaywind.Member { return members },
		}
		entry := httptest.NewServer((&caller.Handler{Router: r, Services: r}).Mux())
		b.entries[i] = entry.URL
		ctx, cancel := context.WithCancel(context.Background())
		var group conc.WaitGroup
		group.Go(func() { _ = r.Run(ctx) })
		r.SetRules(1, set)
		b.routers[i] = r
		b.stops[i] = func() {
			cancel()
			group.Wait()
		}
		t.Cleanup(func() {
			entry.Close()
			b.stops[i]()
			committer.Close()
			client.CloseIdleConnections()
			b.fleet[i].Close()
		})
	}
	return b
}

// callService calls the service through a router and returns the status, and the Idempotent-Replayed or Retry-After header.
func (b *testServices) callService(is *is.I, entry int, method, path, key, body string) (int, string) {
	is.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, b.entries[entry]+"/services/bind"+path, strings.NewReader(body))
	is.NoErr(err)
	r.Header.Set("X-Request-Timeout", "2")
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	response, err := http.DefaultClient.Do(r)
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode, response.Header.Get("Idempotent-Replayed") + response.Header.Get("Retry-After")
}

func TestServiceCalls(t *testing.T) {
	type want struct {
		status int
		header string
	}
	tests := map[string]struct {
		store   store.Faults
		service service.Faults
		inject  func(b *testServices)
		method  string // POST when empty
		path    string // /bind when empty
		key     string
		body    string // of the repeat
		first   want
		repeat  want // at the other entry
		runs    int  // of both calls
	}{
		"at most once":                    {key: "k", first: want{200, ""}, repeat: want{200, "true"}, runs: 1},
		"another body":                    {key: "k", body: "other", first: want{200, ""}, repeat: want{422, ""}, runs: 1},
		"no key":                          {first: want{400, ""}, repeat: want{400, ""}},
		"key outside the rule":            {path: "/note", key: "k", first: want{200, ""}, repeat: want{200, "true"}, runs: 1},
		"single":                          {path: "/note", first: want{200, ""}, repeat: want{200, ""}, runs: 2},
		"path with dot segments":          {path: "/note/../bind", first: want{400, ""}, repeat: want{400, ""}},
		"path with escapes":               {path: "/%62ind", first: want{400, ""}, repeat: want{400, ""}},
		"lookup":                          {method: "GET", first: want{200, ""}, repeat: want{200, ""}, runs: 2},
		"store down":                      {store: store.Faults{Down: true}, key: "k", first: want{503, "1"}, repeat: want{503, "1"}},
		"reply of the store lost":         {store: store.Faults{LoseReplies: 1}, key: "k", first: want{200, ""}, repeat: want{200, "true"}, runs: 1},
		"service cuts the connection":     {service: service.Faults{Cut: true}, key: "k", first: want{504, "1"}, repeat: want{504, "1"}, runs: 1},
		"answer comes after the deadline": {service: service.Faults{Delay: 3 * time.Second}, key: "k", first: want{504, "1"}, repeat: want{200, "true"}, runs: 1},
		"routers can't reach each other": {inject: func(b *testServices) { b.fleet[0].Close(); b.fleet[1].Close() },
			key: "k", first: want{200, ""}, repeat: want{200, "true"}, runs: 1},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			b := newTestServices(t)
			b.store.SetFaults(c.store)
			b.service.SetFaults(c.service)
			if c.inject != nil {
				c.inject(b)
			}
			method, path := c.method, c.path
			if method == "" {
				method = http.MethodPost
			}
			if path == "" {
				path = "/bind"
			}
			status, header := b.callService(is, 0, method, path, c.key, "")
			is.Equal(want{status, strings.Replace(header, "2", "1", 1)}, c.first)
			time.Sleep(200 * time.Millisecond) // wait until the reply is recorded
			status, header = b.callService(is, 1, method, path, c.key, c.body)
			is.Equal(want{status, strings.Replace(header, "2", "1", 1)}, c.repeat)
			is.Equal(b.service.Total(), c.runs)
		})
	}
}

// TestDrainWaitsForACall guards against a stopping router that abandons an at-most-once call which
// its service is still running, with the store up and down. The call must not run a second time.
func TestDrainWaitsForACall(t *testing.T) {
	tests := map[string]store.Faults{"store up": {}, "store down": {Down: true}}
	for name, faults := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newTestServices(t)
			b.service.SetFaults(service.Faults{Delay: 500 * time.Millisecond})
			var group conc.WaitGroup
			status := 0
			group.Go(func() { status, _ = b.callService(is, 0, http.MethodPost, "/bind", "k", "") })
			for b.service.Total() == 0 {
				time.Sleep(5 * time.Millisecond)
			}
			b.store.SetFaults(faults)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			is.NoErr(b.routers[0].Drain(ctx))
			b.stops[0]()
			group.Wait()
			is.Equal(status, http.StatusOK)
			b.store.SetFaults(store.Faults{})
			status, _ = b.callService(is, 1, http.MethodPost, "/bind", "k", "")
			is.Equal(status == http.StatusOK, !faults.Down) // replayed only if the reply could be recorded
			is.Equal(b.service.Total(), 1)
		})
	}
}

// silentService never answers.
type silentService struct{ sent, ended chan struct{} }

func (v silentService) Do(ctx context.Context, _ jaywind.Address, _ jaywind.ServiceRequest) (jaywind.Reply, error) {
	v.sent <- struct{}{}
	<-ctx.Done()
	v.ended <- struct{}{}
	return jaywind.Reply{}, ctx.Err()
}

// TestSendEndsWithItsCaller fails if the send of a lookup goes on until the deadline although its caller has gone.
func TestSendEndsWithItsCaller(t *testing.T) {
	is := is.New(t)
	v := silentService{sent: make(chan struct{}, 9), ended: make(chan struct{}, 9)}
	r := &embed.Router{Self: "vm1", Service: v}
	set, findings := rule.Parse("test", "endpoint s1 kind=service service=read url=http://127.0.0.1:1 domain=a # test\n")
	is.Equal(len(findings), 0)
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	defer group.Wait()
	defer cancel()
	group.Go(func() { _ = r.Run(ctx) })
	r.SetRules(1, set)
	caller, leave := context.WithCancel(ctx)
	defer leave()
	group.Go(func() {
		_, _ = r.Call(caller, table.CallRequest{
			ID: "r", Service: "read", HTTP: jaywind.ServiceRequest{Method: http.MethodGet, Path: "/read"}, Deadline: r.CallDeadline(0),
		})
	})
	<-v.sent
	leave()
	select {
	case <-v.ended:
	case <-time.After(2 * time.Second):
		t.Error("the send goes on")
	}
}
