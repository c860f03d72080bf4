package load

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"

	"jaywind"
	"jaywind/internal/client/router"
	"jaywind/internal/measure/report"
	"jaywind/internal/operator/burn"
	"jaywind/internal/standin/fleet"
)

const (
	engineCount     = 4
	routerCount     = 2
	engineBatch     = 8
	tokenGap        = 20 * time.Millisecond
	answerTokens    = 40
	requestTimeout  = 20 * time.Second
	studyName       = "load"
	onTimeGapShare  = 0.95 // share of an answer's token gaps that must be within the limit
	minGoodputRatio = 0.9  // goodput at twice the capacity, relative to that at capacity
)

// capacity is the number of requests per second that the engines serve at full speed.
const capacity = float64(engineCount*engineBatch) / (float64(tokenGap) / float64(time.Second)) / answerTokens

// Study configures the measurement.
type Study struct {
	Seconds int // duration of each load; 5 when zero
}

// requestPath is a way for requests to reach the engines.
type requestPath struct {
	name    string
	request func(ctx context.Context, f *fleet.Fleet, i int, token func()) error
}

var requestPaths = []requestPath{
	{"routers", requestFromRouter},
	{"baseline", requestFromEngine},
}

// Measure returns the rows of each request path at the capacity and at twice the capacity.
func (s Study) Measure(ctx context.Context) ([]report.Row, error) {
	if s.Seconds == 0 {
		s.Seconds = 5
	}
	var rows []report.Row
	for _, path := range requestPaths {
		once, err := s.run(ctx, path, 1)
		if err != nil {
			return rows, err
		}
		twice, err := s.run(ctx, path, 2)
		if err != nil {
			return rows, err
		}
		rows = append(rows, once.rows(path.name+", 1x", s.Seconds)...)
		rows = append(rows, twice.rows(path.name+", 2x", s.Seconds)...)
		kept := report.Row{Study: studyName, Case: path.name, Measure: "goodput kept at 2x", Value: float64(twice.good) / float64(max(once.good, 1)), Unit: "share"}
		if path.name == requestPaths[0].name {
			kept = kept.AtLeast(minGoodputRatio)
		}
		rows = append(rows, kept)
	}
	return rows, nil
}

// loadResult sums up the requests of one load.
type loadResult struct {
	mu          sync.Mutex
	good        int
	complete    int
	refused     int
	failed      int
	refusalTime report.Latency // time until a request was refused for good
	firstToken  report.Latency
}

func (r *loadResult) rows(name string, seconds int) []report.Row {
	row := func(measure string, value float64, unit string) report.Row {
		return report.Row{Study: studyName, Case: name, Measure: measure, Value: value, Unit: unit}
	}
	return []report.Row{
		row("goodput", float64(r.good)/float64(seconds), "1/s"),
		row("answers whole", float64(r.complete), "1"),
		row("refused", float64(r.refused), "1"),
		row("failed", float64(r.failed), "1"),
		row("refusal p95", r.refusalTime.Quantile(0.95), "ms"),
		row("first token p95", r.firstToken.Quantile(0.95), "ms"),
	}
}

func (s Study) run(ctx context.Context, path requestPath, multiple float64) (*loadResult, error) {
	f := &fleet.Fleet{Engines: engineCount, Routers: routerCount, TokenInterval: tokenGap, BatchSize: engineBatch, IdleTimeout: 100 * time.Millisecond}
	defer f.Close()
	if err := f.Start(ctx); err != nil {
		return nil, err
	}
	result := &loadResult{}
	workers := pool.New()
	interval := time.Duration(float64(time.Second) / (capacity * multiple))
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for i := range int(capacity * multiple * float64(s.Seconds)) {
		workers.Go(func() { result.request(ctx, f, path, i) })
		<-ticker.C
	}
	workers.Wait()
	return result, ctx.Err()
}

// request sends one request and records its result.
func (r *loadResult) request(ctx context.Context, f *fleet.Fleet, path requestPath, i int) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	start := time.Now()
	last := start
	var gaps []time.Duration
	err := path.request(ctx, f, i, func() {
		now := time.Now()
		gaps = append(gaps, now.Sub(last))
		last = now
	})
	r.record(gaps, err, time.Since(start))
}

func (r *loadResult) record(gaps []time.Duration, err error, elapsed time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var refusal *router.Refusal
	switch {
	case errors.As(err, &refusal) && !refusal.MayHaveRun:
		r.refused++
		r.refusalTime.Add(elapsed)
		return
	case err != nil || len(gaps) != answerTokens:
		r.failed++
		return
	}
	r.complete++
	r.firstToken.Add(gaps[0])
	sorted := slices.Sorted(slices.Values(gaps[1:]))
	gapQuantile := sorted[int(onTimeGapShare*float64(len(sorted)))-1]
	if gaps[0] <= burn.FirstTokenLimit && gapQuantile <= burn.TokenGapLimit {
		r.good++
	}
}

func requestFromRouter(ctx context.Context, f *fleet.Fleet, i int, token func()) error {
	entries := f.CallerAddresses()
	client := &router.Client{
		Entries:     []jaywind.Address{entries[i%len(entries)]},
		MaxAttempts: 1,
		OnToken:     func(jaywind.Token, jaywind.Bookmark) { token() },
	}
	_, err := client.Generate(ctx, router.Request{Model: fleet.Model, Prompt: fmt.Sprint("load ", i), MaxTokens: answerTokens})
	return err
}
