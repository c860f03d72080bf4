package overhead

import (
	"context"
	"fmt"
	"time"

	"github.com/sourcegraph/conc/pool"

	"jaywind"
	backend "jaywind/internal/backend/engine"
	"jaywind/internal/client/router"
	"jaywind/internal/measure/report"
	"jaywind/internal/measure/usage"
	"jaywind/internal/operator/burn"
	"jaywind/internal/standin/fleet"
)

const (
	defaultCallers = 50
	defaultTokens  = 200
	tokenGap       = 10 * time.Millisecond
	callerSpacing  = 40 * time.Millisecond // between the starts of two callers
	studyName      = "overhead"
)

// Study configures the measurement.
type Study struct {
	Callers int // concurrent callers; 50 when zero
	Tokens  int // per answer; 200 when zero
}

// readCost holds the latencies and the CPU time of a run.
type readCost struct {
	firstToken report.Latency
	tokenGaps  report.Latency
	tokens     int
	cpuTime    time.Duration
}

// Measure returns rows for reading directly and through a router, and for the difference of the two.
func (s Study) Measure(ctx context.Context) ([]report.Row, error) {
	if s.Callers == 0 {
		s.Callers = defaultCallers
	}
	if s.Tokens == 0 {
		s.Tokens = defaultTokens
	}
	direct, err := s.run(ctx, readDirect, callerSpacing)
	if err != nil {
		return nil, err
	}
	routed, err := s.run(ctx, readRouted, callerSpacing)
	if err != nil {
		return nil, err
	}
	burst, err := s.run(ctx, readRouted, 0)
	if err != nil {
		return nil, err
	}
	rows := routed.rows("through a router")
	rows = append(rows, burst.rows("all at once at a new router")[0])
	rows = append(rows, direct.rows("straight from the engine")...)
	perToken := routed.cpuTime/time.Duration(routed.tokens) - direct.cpuTime/time.Duration(direct.tokens)
	row := report.Row{Study: studyName, Case: "router's share", Measure: "processor time a token", Value: float64(perToken.Nanoseconds()) / 1000, Unit: "us"}
	rate := report.Row{Study: studyName, Case: "router's share", Measure: "tokens a second a core", Value: float64(time.Second) / float64(max(perToken, 1)), Unit: "1/s"}
	return append(rows, row, rate.AtLeast(targetTokenRate)), nil
}

// targetTokenRate is the share of one of 370 routers in 900,000 tokens per second.
const targetTokenRate = 900_000 / 370

func (c *readCost) rows(name string) []report.Row {
	first := report.Row{Study: studyName, Case: name, Measure: "first token p95", Value: c.firstToken.Quantile(0.95), Unit: "ms"}
	between := report.Row{Study: studyName, Case: name, Measure: "token gap p95", Value: c.tokenGaps.Quantile(0.95), Unit: "ms"}
	return []report.Row{
		first.AtMost(float64(burn.FirstTokenLimit.Milliseconds())),
		between.AtMost(float64(burn.TokenGapLimit.Milliseconds())),
		{Study: studyName, Case: name, Measure: "processor time a token", Value: float64(c.cpuTime.Microseconds()) / float64(c.tokens), Unit: "us"},
	}
}

// readFunc reads an answer and calls token for each token.
type readFunc func(ctx context.Context, f *fleet.Fleet, id int, limit int, token func()) error

// run starts a fleet and the callers, with spacing between the starts of two callers.
func (s Study) run(ctx context.Context, read readFunc, spacing time.Duration) (*readCost, error) {
	f := &fleet.Fleet{Engines: 2, Routers: 1, TokenInterval: tokenGap, IdleTimeout: 100 * time.Millisecond}
	defer f.Close()
	if err := f.Start(ctx); err != nil {
		return nil, err
	}
	cost := &readCost{tokens: s.Callers * s.Tokens}
	before := usage.CPUTime()
	p := pool.New().WithErrors()
	for i := range s.Callers {
		p.Go(func() error { return cost.read(ctx, f, i, s.Tokens, read) })
		time.Sleep(spacing)
	}
	err := p.Wait()
	cost.cpuTime = usage.CPUTime() - before
	return cost, err
}

func (c *readCost) read(ctx context.Context, f *fleet.Fleet, i, limit int, read readFunc) error {
	last := time.Now()
	count := 0
	err := read(ctx, f, i, limit, func() {
		now := time.Now()
		if count == 0 {
			c.firstToken.Add(now.Sub(last))
		} else {
			c.tokenGaps.Add(now.Sub(last))
		}
		last = now
		count++
	})
	if err == nil && count != limit {
		err = fmt.Errorf("%d tokens, want %d", count, limit)
	}
	return err
}

func readRouted(ctx context.Context, f *fleet.Fleet, i, limit int, token func()) error {
	client := &router.Client{Entries: f.CallerAddresses(), OnToken: func(jaywind.Token, jaywind.Bookmark) { token() }}
	_, err := client.Generate(ctx, router.Request{Model: fleet.Model, Prompt: fmt.Sprint("board ", i), MaxTokens: limit})
	return err
}

func readDirect(ctx context.Context, f *fleet.Fleet, i, limit int, token func()) error {
	n := f.EngineNodes[i%len(f.EngineNodes)]
	stream, err := (&backend.Client{}).Open(ctx, n.Address, jaywind.Call{
		Request:   jaywind.RequestID(fmt.Sprint("direct", i)),
		Attempt:   1,
		Model:     fleet.Model,
		Version:   fleet.Version,
		Prompt:    fmt.Sprint("board ", i),
		MaxTokens: limit,
	})
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	for {
		frame, err := stream.Next()
		if err != nil {
			return err
		}
		if frame.End {
			return nil
		}
		token()
	}
}
