package main

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"jaywind"
	"jaywind/internal/client/router"
	"jaywind/internal/standin/engine"
)

// TestStopInMidAnswerCutsNothing guards against a router that breaks off its streams when it is stopped, or still accepts
// requests then.
func TestStopInMidAnswerCutsNothing(t *testing.T) {
	tests := map[string]struct{ store string }{
		"store answers": {store: `{}`},
		"store is down": {store: `{"down":true}`},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := startProcesses(t, routerCount)
			eventually(t, readyTimeout, "three routers know each other", func() bool { return p.status(0).Live == 3 })
			eventually(t, inForceTarget, "version 1 in force", p.rulesInForce(1))
			p.setFaults(p.store, c.store)
			ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
			defer cancel()
			firstToken := make(chan struct{})
			var once sync.Once
			// The client knows no other entry, so a broken connection fails the test.
			client := &router.Client{Entries: []jaywind.Address{jaywind.Address("http://" + p.callers[0])}, Transport: &noEntryList{}}
			client.OnToken = func(jaywind.Token, jaywind.Bookmark) { once.Do(func() { close(firstToken) }) }
			var answer *router.Answer
			var err error
			var group conc.WaitGroup
			seed := jaywind.Seed(5)
			group.Go(func() {
				answer, err = client.Generate(ctx, router.Request{Model: "heat", Prompt: "fins", MaxTokens: 500, Seed: &seed})
			})
			<-firstToken
			is.NoErr(p.routers[0].Process.Signal(syscall.SIGTERM))
			eventually(t, inForceTarget, "readyz is 503", func() bool { return p.getStatus(0, "/readyz") == http.StatusServiceUnavailable })
			body, status, retry := p.postCompletion(0)
			is.Equal(status, http.StatusServiceUnavailable)
			is.True(strings.Contains(body, `"run":false`))
			is.True(strings.Contains(body, `"entry":"http://`) && !strings.Contains(body, p.callers[0]))
			is.True(retry != "")
			eventually(t, inForceTarget, "the other routers no longer list it as an entry", func() bool {
				list, err := (&router.Client{}).ListEntries(ctx, jaywind.Address("http://"+p.callers[1]), "lagos")
				return err == nil && len(list.Entries) == 2
			})
			group.Wait()
			is.NoErr(err)
			is.Equal(answer.Tokens, engine.Tokens("v1", 5, "fins", 0, 500))
			is.Equal(answer.Reconnects, 0)
			is.NoErr(p.routers[0].Wait()) // exits by itself, code 0
		})
	}
}

// noEntryList fails requests for the list of entries, so that a client can't switch to another router.
type noEntryList struct{}

func (noEntryList) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.URL.Path == "/v1/entries" {
		return nil, http.ErrNotSupported
	}
	return http.DefaultTransport.RoundTrip(r)
}

func (p *processes) getStatus(i int, path string) int {
	response, err := http.Get("http://" + p.callers[i] + path)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func (p *processes) postCompletion(i int) (body string, status int, retry string) {
	response, err := http.Post("http://"+p.callers[i]+"/v1/completions", "application/json", strings.NewReader(`{"model":"heat","prompt":"x","max_tokens":5}`))
	if err != nil {
		return err.Error(), 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	var text bytes.Buffer
	_, _ = text.ReadFrom(response.Body)
	return text.String(), response.StatusCode, response.Header.Get("Retry-After")
}

// TestStopWithAOnceOnlyCallInFlight guards against a router that exits before an at-most-once call is answered.
func TestStopWithAOnceOnlyCallInFlight(t *testing.T) {
	tests := map[string]struct{ store string }{
		"store answers":              {store: `{}`},
		"store is down from then on": {store: `{"down":true}`},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := startProcesses(t, routerCount)
			eventually(t, inForceTarget, "version 1 in force", p.rulesInForce(1))
			p.setFaults(p.service, `{"slow":4000000000}`)
			var body string
			var status int
			var group conc.WaitGroup
			group.Go(func() { body, status = p.bindOnce(0, "key1") })
			runs := func() string { return fetch("http://" + p.service + "/runs/key1") }
			eventually(t, readyTimeout, "the call is with the service", func() bool { return strings.Contains(runs(), "1") })
			p.setFaults(p.store, c.store)
			is.NoErr(p.routers[0].Process.Signal(syscall.SIGTERM))
			group.Wait()
			is.Equal(status, http.StatusOK)
			is.True(strings.Contains(body, `"run":1`))
			is.NoErr(p.routers[0].Wait()) // exits by itself, code 0
			is.True(strings.Contains(runs(), "1"))
		})
	}
}

// bindOnce sends an at-most-once call to a router and returns the reply.
func (p *processes) bindOnce(i int, key string) (body string, status int) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.callers[i]+"/services/bind/bind", strings.NewReader("cover"))
	if err != nil {
		return err.Error(), 0
	}
	r.Header.Set("Idempotency-Key", key)
	r.Header.Set("X-Request-Timeout", "15")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return err.Error(), 0
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(response.Body)
	return string(text), response.StatusCode
}

func fetch(at string) string {
	response, err := http.Get(at)
	if err != nil {
		return ""
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(response.Body)
	return string(text)
}
