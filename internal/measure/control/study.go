package control

import (
	"context"
	"fmt"
	"time"

	"github.com/rcrowley/go-metrics"

	"jaywind/internal/measure/report"
	"jaywind/internal/measure/usage"
	"jaywind/internal/standin/fleet"
)

const (
	studyName     = "control"
	defaultSettle = 30 * time.Second // until the routers know each other and unused connections are closed
	engineCount   = 3
)

// The resources that one router may use without requests.
const (
	cpuBudget     = 3.0  // % of a core
	memoryBudget  = 128  // MB
	trafficBudget = 16.0 // KB/s
)

// Study configures the measurement.
type Study struct {
	Sizes   []int         // numbers of routers, one for each fleet
	Seconds int           // length of the measurement of each fleet; 5 when zero
	Settle  time.Duration // idle time before each measurement; 30 s when zero
}

// Measure runs a fleet of each size and returns the rows.
func (s Study) Measure(ctx context.Context) ([]report.Row, error) {
	if s.Seconds == 0 {
		s.Seconds = 5
	}
	if s.Settle == 0 {
		s.Settle = defaultSettle
	}
	rows := measureRules()
	for _, n := range s.Sizes {
		got, err := s.run(ctx, n)
		if err != nil {
			return rows, fmt.Errorf("%d routers: %w", n, err)
		}
		rows = append(rows, got...)
	}
	return rows, nil
}

// sample holds the counters of a fleet at one time.
type sample struct {
	at         time.Time
	cpuTime    time.Duration
	bytes      int64
	storeCalls int
}

func (s Study) run(ctx context.Context, size int) ([]report.Row, error) {
	empty := usage.LiveHeap()
	f := &fleet.Fleet{Engines: engineCount, Routers: size}
	defer f.Close()
	if err := f.Start(ctx); err != nil {
		return nil, err
	}
	if err := sleep(ctx, s.Settle); err != nil {
		return nil, err
	}
	before := takeSample(f)
	if err := sleep(ctx, time.Duration(s.Seconds)*time.Second); err != nil {
		return nil, err
	}
	after := takeSample(f)
	heap := usage.LiveHeap()
	return perRouterRows(size, before, after, heap-min(heap, empty)), nil
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

func takeSample(f *fleet.Fleet) sample {
	s := sample{at: time.Now(), cpuTime: usage.CPUTime(), storeCalls: f.Store.Calls()}
	for _, n := range f.RouterNodes {
		r := n.Daemon.Router().Metrics()
		for _, name := range []string{"fleet.bytes.in", "fleet.bytes.out"} {
			s.bytes += metrics.GetOrRegisterCounter(name, r).Count()
		}
	}
	return s
}

// perRouterRows divides the usage between two samples by the number of routers. Traffic is doubled, as each byte between
// two routers is traffic of both.
func perRouterRows(size int, before, after sample, heap uint64) []report.Row {
	seconds := after.at.Sub(before.at).Seconds()
	perRouter := 1 / float64(size)
	caseName := fmt.Sprintf("%d routers", size)
	row := func(measure string, value float64, unit string) report.Row {
		return report.Row{Study: studyName, Case: caseName, Measure: measure, Value: value, Unit: unit}
	}
	cpu := (after.cpuTime - before.cpuTime).Seconds() / seconds * 100 * perRouter
	traffic := float64(after.bytes-before.bytes) * 2 / seconds / 1000 * perRouter
	return []report.Row{
		row("processor a router", cpu, "% of a core").AtMost(cpuBudget),
		row("live memory a router", float64(heap)/1e6*perRouter, "MB").AtMost(memoryBudget),
		row("traffic a router", traffic, "KB/s").AtMost(trafficBudget),
		row("store calls of the fleet", float64(after.storeCalls-before.storeCalls)/seconds, "1/s"),
	}
}
