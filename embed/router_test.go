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

// bench is a router before two engines.
type bench struct {
	router  *embed.Router
	engines map[jaywind.EndpointID]*engine.Engine
	servers map[jaywind.EndpointID]*httptest.Server
}

func newBench(t *testing.T) *bench {
	t.Helper()
	b := &bench{
		router:  &embed.Router{Self: "vm1", Engine: &backend.Client{}},
		engines: map[jaywind.EndpointID]*engine.Engine{},
		servers: map[jaywind.EndpointID]*httptest.Server{},
	}
	text := "model heat version=v1 # test\n"
	for _, id := range []jaywind.EndpointID{"e1", "e2"} {
		e := &engine.Engine{ID: id, Model: "heat", Version: "v1", Gap: 2 * time.Millisecond, Keep: 300 * time.Millisecond}
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
			b.engines[id].Set(engine.Faults{})
			s.CloseClientConnections()
			s.Close()
			b.engines[id].Wait()
		}
	})
	return b
}

func TestAnswerIsWhole(t *testing.T) {
	tests := map[string]struct {
		faults engine.Faults                              // at the engine, from the tenth token on
		strike func(b *bench, serving jaywind.EndpointID) // after the tenth token
	}{
		"no fault":                  {},
		"connection is cut":         {faults: engine.Faults{Cut: 20}},
		"frame of another request":  {faults: engine.Faults{Cross: 20}},
		"position repeated":         {faults: engine.Faults{Repeat: 20}},
		"position skipped":          {faults: engine.Faults{Skip: 20}},
		"frame of an old attempt":   {faults: engine.Faults{Late: 20}},
		"work ends at a position":   {faults: engine.Faults{Die: 20}},
		"slow, and refusing others": {faults: engine.Faults{Slow: 20 * time.Millisecond, Refuse: true}},
		"open connection is silent": {faults: engine.Faults{Silent: true}},
		"engine is stuck on it":     {faults: engine.Faults{Stick: 20}},
		"engine is paused":          {faults: engine.Faults{Pause: true}},
		"engine dies": {strike: func(b *bench, serving jaywind.EndpointID) {
			_ = b.servers[serving].Listener.Close()
			b.servers[serving].CloseClientConnections()
		}},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			ask := table.GenerationRequest{ID: "r1", Model: "heat", Prompt: "fins", MaxTokens: answerTokens, Seed: 3}
			answer, err := b.router.Generate(ctx, ask)
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
					b.engines[e.Mark.Endpoint].Set(c.faults)
					if c.strike != nil {
						c.strike(b, e.Mark.Endpoint)
					}
				}
			}
			is.Equal(tokens, engine.Whole("v1", 3, "fins", 0, answerTokens))
		})
	}
}
