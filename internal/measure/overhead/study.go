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
	gap            = 10 * time.Millisecond
	spacing        = 40 * time.Millisecond // between the beginnings of two callers
	studyName      = "overhead"
)

// Study is how much is run.
type Study struct {
	Callers int // at once; 50 when zero
	Tokens  int // in each answer; 200 when zero
}

// load is what one way of reading cost.
type load struct {
	first  report.Latency
	gaps   report.Latency
	tokens int
	cpu    time.Duration
}

// Measure returns the rows of both ways and their difference.
func (s Study) Measure(ctx context.Context) ([]report.Row, error) {
	if s.Callers == 0 {
		s.Callers = defaultCallers
	}
	if s.Tokens == 0 {
		s.Tokens = defaultTokens
	}
	direct, err := s.run(ctx, readDirect, spacing)
	if err != nil {
		return nil, err
	}
	routed, err := s.run(ctx, readRouted, spacing)
	if err != nil {
		return nil, err
	}
	cold, err := s.run(ctx, readRouted, 0)
	if err != nil {
		return nil, err
	}
	rows := routed.rows("through a router")
	rows = append(rows, cold.rows("all at once at a new router")[0])
	rows = append(rows, direct.rows("straight from the engine")...)
	each := routed.cpu/time.Duration(routed.tokens) - direct.cpu/time.Duration(direct.tokens)
	row := report.Row{Study: studyName, Case: "router's share", Measure: "processor time a token", Value: float64(each.Nanoseconds()) / 1000, Unit: "us"}
	rate := report.Row{Study: studyName, Case: "router's share", Measure: "tokens a second a core", Value: float64(time.Second) / float64(max(each, 1)), Unit: "1/s"}
	return append(rows, row, rate.AtLeast(tokensOfRouter)), nil
}

// tokensOfRouter is a router's part of the target's tokens a second.
const tokensOfRouter = 900_000 / 370

func (l *load) rows(name string) []report.Row {
	first := report.Row{Study: studyName, Case: name, Measure: "first token p95", Value: l.first.Quantile(0.95), Unit: "ms"}
	between := report.Row{Study: studyName, Case: name, Measure: "token gap p95", Value: l.gaps.Quantile(0.95), Unit: "ms"}
	return []report.Row{
		first.AtMost(float64(burn.FirstLimit.Milliseconds())),
		between.AtMost(float64(burn.GapLimit.Milliseconds())),
		{Study: studyName, Case: name, Measure: "processor time a token", Value: float64(l.cpu.Microseconds()) / float64(l.tokens), Unit: "us"},
	}
}

// reader reads one answer and calls token for each token.
type reader func(ctx context.Context, f *fleet.Fleet, id int, limit int, token func()) error

// run lets callers begin one after the other; apart is the time between two of them.
func (s Study) run(ctx context.Context, read reader, apart time.Duration) (*load, error) {
	f := &fleet.Fleet{Engines: 2, Routers: 1, Gap: gap, Keep: 100 * time.Millisecond}
	defer f.Close()
	if err := f.Start(ctx); err != nil {
		return nil, err
	}
	l := &load{tokens: s.Callers * s.Tokens}
	before := usage.Processor()
	p := pool.New().WithErrors()
	for i := range s.Callers {
		p.Go(func() error { return l.read(ctx, f, i, s.Tokens, read) })
		time.Sleep(apart)
	}
	err := p.Wait()
	l.cpu = usage.Processor() - before
	return l, err
}

func (l *load) read(ctx context.Context, f *fleet.Fleet, i, limit int, read reader) error {
	last := time.Now()
	count := 0
	err := read(ctx, f, i, limit, func() {
		now := time.Now()
		if count == 0 {
			l.first.Add(now.Sub(last))
		} else {
			l.gaps.Add(now.Sub(last))
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
	client := &router.Client{Entries: f.Entries(), OnToken: func(jaywind.Token, jaywind.Bookmark) { token() }}
	_, err := client.Ask(ctx, router.Question{Model: fleet.Model, Prompt: fmt.Sprint("board ", i), Limit: limit})
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
