package embed_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"go.uber.org/goleak"

	"jaywind"
	"jaywind/embed"
	backend "jaywind/internal/backend/engine"
	"jaywind/internal/core/rule"
	"jaywind/internal/core/table"
	"jaywind/internal/standin/engine"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

const answerTokens = 60

// testRouter is a router with two engines.
type testRouter struct {
	router  *embed.Router
	engines map[jaywind.EndpointID]*engine.Engine
	servers map[jaywind.EndpointID]*httptest.Server
}

func newTestRouter(t *testing.T) *testRouter {
	t.Helper()
	b := &testRouter{
		router:  &embed.Router{Self: "vm1", Engine: &backend.Client{}},
		engines: map[jaywind.EndpointID]*engine.Engine{},
		servers: map[jaywind.EndpointID]*httptest.Server{},
	}
	text := "model heat version=v1 # test\n"
	for _, id := range []jaywind.EndpointID{"e1", "e2"} {
		e := &engine.Engine{ID: id, Model: "heat", Version: "v1", TokenInterval: 2 * time.Millisecond, IdleTimeout: 300 * time.Millisecond}
		s := httptest.NewServer(e.Handler())
		b.engines[id] = e
		b.servers[id] = s
		text += fmt.Sprintf("endpoint %s model=heat version=v1 url=%s domain=a # test\n", id, s.URL)
	}
	set, findings := rule.Parse("test", text)
	is.New(t).Equal(len(findings), 0)
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	group.Go(func() { _ = b.router.Run(ctx) })
	b.router.SetRules(1, set)
	t.Cleanup(func() {
		cancel()
		group.Wait()
		for id, s := range b.servers {
			b.engines[id].SetFaults(engine.Faults{})
			s.CloseClientConnections()
			s.Close()
			b.engines[id].Wait()
		}
	})
	return b
}

func TestAnswerIsWhole(t *testing.T) {
	tests := map[string]struct {
		faults engine.Faults                                   // set at the serving engine after the tenth token
		inject func(b *testRouter, serving jaywind.EndpointID) // called after the tenth token
	}{
		"no fault":                            {},
		"connection is cut":                   {faults: engine.Faults{Cut: 20}},
		"frame of another request":            {faults: engine.Faults{ForeignFrame: 20}},
		"position repeated":                   {faults: engine.Faults{Repeat: 20}},
		"position skipped":                    {faults: engine.Faults{Skip: 20}},
		"frame of an old attempt":             {faults: engine.Faults{StaleFrame: 20}},
		"engine loses its work":               {faults: engine.Faults{Crash: 20}},
		"engine is slow and refuses new work": {faults: engine.Faults{Slow: 20 * time.Millisecond, Refuse: true}},
		"connection is open but silent":       {faults: engine.Faults{Silent: true}},
		"generation is stuck":                 {faults: engine.Faults{Stall: 20}},
		"engine is paused":                    {faults: engine.Faults{Pause: true}},
		"engine dies": {inject: func(b *testRouter, serving jaywind.EndpointID) {
			_ = b.servers[serving].Listener.Close()
			b.servers[serving].CloseClientConnections()
		}},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newTestRouter(t)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			request := table.GenerationRequest{ID: "r1", Model: "heat", Prompt: "fins", MaxTokens: answerTokens, Seed: 3}
			answer, err := b.router.Generate(ctx, request)
			is.NoErr(err)
			defer answer.Close()
			var tokens []jaywind.Token
			for {
				e, err := answer.Next(ctx)
				is.NoErr(err)
				if e.Final != nil {
					is.Equal(e.Final.Outcome, table.OutcomeCompleted)
					break
				}
				tokens = append(tokens, e.Token)
				if len(tokens) == 10 {
					b.engines[e.Bookmark.Endpoint].SetFaults(c.faults)
					if c.inject != nil {
						c.inject(b, e.Bookmark.Endpoint)
					}
				}
			}
			is.Equal(tokens, engine.Tokens("v1", 3, "fins", 0, answerTokens))
		})
	}
}
