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
	engineCount = 4
	routerCount = 2
	batch       = 8
	gap         = 20 * time.Millisecond
	tokens      = 40
	answerLimit = 20 * time.Second
	studyName   = "load"
	goodGaps    = 0.95 // share of an answer's gaps that must be within the limit
	keptShare   = 0.9  // of the goodput at capacity that must be left at twice the load
)

// capacity is the requests a second that the engines serve at full speed.
const capacity = float64(engineCount*batch) / (float64(gap) / float64(time.Second)) / tokens

// Study is how long each load is kept up.
type Study struct {
	Seconds int // 5 when zero
}

// way is how requests reach the engines.
type way struct {
	name string
	ask  func(ctx context.Context, f *fleet.Fleet, i int, token func()) error
}

var ways = []way{
	{"routers", askRouters},
	{"baseline", askEngines},
}

// Measure returns the rows of each way at once and twice the capacity.
func (s Study) Measure(ctx context.Context) ([]report.Row, error) {
	if s.Seconds == 0 {
		s.Seconds = 5
	}
	var rows []report.Row
	for _, w := range ways {
		once, err := s.run(ctx, w, 1)
		if err != nil {
			return rows, err
		}
		twice, err := s.run(ctx, w, 2)
		if err != nil {
			return rows, err
		}
		rows = append(rows, once.rows(w.name+", 1x", s.Seconds)...)
		rows = append(rows, twice.rows(w.name+", 2x", s.Seconds)...)
		kept := report.Row{Study: studyName, Case: w.name, Measure: "goodput kept at 2x", Value: float64(twice.good) / float64(max(once.good, 1)), Unit: "share"}
		if w.name == ways[0].name {
			kept = kept.AtLeast(keptShare)
		}
		rows = append(rows, kept)
	}
	return rows, nil
}

// tally sums the requests of one load.
type tally struct {
	mu      sync.Mutex
	good    int
	whole   int
	refused int
	failed  int
	refusal report.Latency // time to a final refusal
	first   report.Latency
}

func (t *tally) rows(name string, seconds int) []report.Row {
	row := func(measure string, value float64, unit string) report.Row {
		return report.Row{Study: studyName, Case: name, Measure: measure, Value: value, Unit: unit}
	}
	return []report.Row{
		row("goodput", float64(t.good)/float64(seconds), "1/s"),
		row("answers whole", float64(t.whole), "1"),
		row("refused", float64(t.refused), "1"),
		row("failed", float64(t.failed), "1"),
		row("refusal p95", t.refusal.Quantile(0.95), "ms"),
		row("first token p95", t.first.Quantile(0.95), "ms"),
	}
}

func (s Study) run(ctx context.Context, w way, times float64) (*tally, error) {
	f := &fleet.Fleet{Engines: engineCount, Routers: routerCount, Gap: gap, Batch: batch, Keep: 100 * time.Millisecond}
	defer f.Close()
	if err := f.Start(ctx); err != nil {
		return nil, err
	}
	t := &tally{}
	p := pool.New()
	interval := time.Duration(float64(time.Second) / (capacity * times))
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for i := range int(capacity * times * float64(s.Seconds)) {
		p.Go(func() { t.one(ctx, f, w, i) })
		<-ticker.C
	}
	p.Wait()
	return t, ctx.Err()
}

// one makes one request and judges its answer.
func (t *tally) one(ctx context.Context, f *fleet.Fleet, w way, i int) {
	ctx, cancel := context.WithTimeout(ctx, answerLimit)
	defer cancel()
	start := time.Now()
	last := start
	var gaps []time.Duration
	err := w.ask(ctx, f, i, func() {
		now := time.Now()
		gaps = append(gaps, now.Sub(last))
		last = now
	})
	t.judge(gaps, err, time.Since(start))
}

func (t *tally) judge(gaps []time.Duration, err error, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var refusal *router.Refusal
	switch {
	case errors.As(err, &refusal) && !refusal.Run:
		t.refused++
		t.refusal.Add(took)
		return
	case err != nil || len(gaps) != tokens:
		t.failed++
		return
	}
	t.whole++
	t.first.Add(gaps[0])
	rest := slices.Sorted(slices.Values(gaps[1:]))
	within := rest[int(goodGaps*float64(len(rest)))-1]
	if gaps[0] <= burn.FirstLimit && within <= burn.GapLimit {
		t.good++
	}
}

func askRouters(ctx context.Context, f *fleet.Fleet, i int, token func()) error {
	entries := f.Entries()
	client := &router.Client{
		Entries: []jaywind.Address{entries[i%len(entries)]},
		Tries:   1,
		OnToken: func(jaywind.Token, jaywind.Bookmark) { token() },
	}
	_, err := client.Ask(ctx, router.Question{Model: fleet.Model, Prompt: fmt.Sprint("load ", i), Limit: tokens})
	return err
}
