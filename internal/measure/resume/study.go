package resume

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc/iter"
	"github.com/sourcegraph/conc/pool"

	"jaywind"
	"jaywind/internal/client/router"
	"jaywind/internal/core/generate"
	"jaywind/internal/measure/report"
	"jaywind/internal/standin/engine"
	"jaywind/internal/standin/fleet"
)

const (
	callerCount   = 8
	answerTokens  = 160
	faultPosition = answerTokens / 2
	tokenGap      = 8 * time.Millisecond
	prefillTime   = 50 * time.Millisecond  // for 1,000 tokens
	streamGrace   = 500 * time.Millisecond // how long engines keep a stream without a listener; longer than a caller's reconnect after a router died
	engineCount   = 4
	routerCount   = 3
	runTimeout    = 30 * time.Second
	studyName     = "resume"
)

// Study configures the measurement.
type Study struct {
	Runs int // runs per fault; 1 when zero
}

// fault is injected into a fleet while answers are streamed.
type fault struct {
	name   string
	inject func(f *fleet.Fleet, m jaywind.Bookmark)
}

var faults = []fault{
	{"engine killed", func(f *fleet.Fleet, m jaywind.Bookmark) { f.Engine(m.Endpoint).Kill() }},
	{"engine frozen", setFault(engine.Faults{Pause: true})},
	{"open streams silent", setFault(engine.Faults{Silent: true})},
	{"one stream cut", setFault(engine.Faults{Cut: faultPosition + 10})},
	{"router killed", func(f *fleet.Fleet, _ jaywind.Bookmark) { f.RouterNodes[0].Kill() }},
}

func setFault(s engine.Faults) func(*fleet.Fleet, jaywind.Bookmark) {
	return func(f *fleet.Fleet, m jaywind.Bookmark) { f.Engine(m.Endpoint).Engine.SetFaults(s) }
}

// result sums up the runs of one test case.
type result struct {
	latency   report.Latency
	mu        sync.Mutex
	requests  int
	complete  int
	delivered int
	generated int
}

// maxParallelCases limits the test cases that run at the same time. Each has a fleet of its own.
const maxParallelCases = 2

// testCase is a fault and the kind of caller that meets it.
type testCase struct {
	name    string
	fault   fault
	request requestFunc
}

// Measure runs all test cases and returns their rows.
func (s Study) Measure(ctx context.Context) ([]report.Row, error) {
	var cases []testCase
	for _, f := range faults {
		cases = append(cases, testCase{name: f.name, fault: f, request: requestRouted})
	}
	for _, f := range faults[:2] {
		cases = append(cases, testCase{name: "baseline, " + f.name, fault: f, request: requestDirect})
	}
	m := iter.Mapper[testCase, []report.Row]{MaxGoroutines: maxParallelCases}
	all, err := m.MapErr(cases, func(c *testCase) ([]report.Row, error) { return s.measure(ctx, *c) })
	return slices.Concat(all...), err
}

func (s Study) measure(ctx context.Context, c testCase) ([]report.Row, error) {
	var r result
	for range max(s.Runs, 1) {
		if err := runOnce(ctx, c.fault, &r, c.request); err != nil {
			return nil, fmt.Errorf("%s: %w", c.name, err)
		}
	}
	return r.rows(c.name), nil
}

func (r *result) rows(name string) []report.Row {
	rows := r.latency.Rows(studyName, name, generate.ResumeTarget)
	whole := report.Row{Study: studyName, Case: name, Measure: "answers whole", Value: ratio(r.complete, r.requests), Unit: "share"}
	extra := report.Row{Study: studyName, Case: name, Measure: "extra tokens", Value: ratio(r.generated-r.delivered, r.delivered), Unit: "share"}
	return append(rows, whole.AtLeast(1), extra)
}

func ratio(part, total int) float64 {
	if total == 0 {
		return 0
	}
	return float64(part) / float64(total)
}

// requestFunc reads an answer, calls inject after half of the tokens, and adds the outcome to r.
type requestFunc func(ctx context.Context, f *fleet.Fleet, q router.Request, inject func(jaywind.Bookmark), r *result)

// runOnce starts a fleet and callers, and injects the fault once, when the first caller has read half of its answer.
func runOnce(ctx context.Context, fault fault, r *result, request requestFunc) error {
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	f := &fleet.Fleet{Engines: engineCount, Routers: routerCount, TokenInterval: tokenGap, PrefillTime: prefillTime, IdleTimeout: streamGrace}
	defer f.Close()
	if err := f.Start(ctx); err != nil {
		return err
	}
	var once sync.Once
	inject := func(m jaywind.Bookmark) { once.Do(func() { fault.inject(f, m) }) }
	p := pool.New()
	for i := range callerCount {
		p.Go(func() { request(ctx, f, newRequest(i), inject, r) })
	}
	p.Wait()
	f.WaitIdle()
	r.generated += f.TokensComputed()
	return nil
}

func newRequest(i int) router.Request {
	seed := jaywind.Seed(i + 1)
	return router.Request{Model: fleet.Model, Prompt: fmt.Sprintf("board %d", i), MaxTokens: answerTokens, Seed: &seed}
}

// requestRouted reads an answer through the routers.
func requestRouted(ctx context.Context, f *fleet.Fleet, q router.Request, inject func(jaywind.Bookmark), r *result) {
	attempts := map[jaywind.Attempt]bool{}
	client := &router.Client{Entries: f.CallerAddresses()}
	client.OnToken = func(_ jaywind.Token, m jaywind.Bookmark) {
		attempts[m.Attempt] = true
		if m.Position == faultPosition {
			inject(m)
		}
	}
	answer, err := client.Generate(ctx, q)
	r.add(q, answer.Tokens, err)
	if len(attempts) > 1 {
		r.latency.Add(answer.MaxGap)
	}
}

func (r *result) add(q router.Request, got []jaywind.Token, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests++
	r.delivered += len(got)
	if err == nil && slices.Equal(got, engine.Tokens(fleet.Version, *q.Seed, q.Prompt, 0, q.MaxTokens)) {
		r.complete++
	}
}
