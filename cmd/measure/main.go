// Command measure runs performance studies against stand-in engines and services, and prints the results as one table.
//
//	measure -quick
//	measure -study resume -csv resume.csv
package main

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"jaywind/internal/measure/control"
	"jaywind/internal/measure/load"
	"jaywind/internal/measure/moves"
	"jaywind/internal/measure/overhead"
	"jaywind/internal/measure/report"
	"jaywind/internal/measure/resume"
)

// study measures one aspect of the router and returns its rows of the table.
type study func(ctx context.Context, quick bool) ([]report.Row, error)

var studies = map[string]study{
	"control":  measureControl,
	"load":     measureLoad,
	"moves":    measureMoves,
	"overhead": measureOverhead,
	"resume":   measureResume,
}

func main() {
	quick := flag.Bool("quick", false, "run a short version of each study, within 45 s in all")
	name := flag.String("study", "", "run only this `study`: "+strings.Join(names(), ", "))
	file := flag.String("csv", "", "also write the table to this `file`")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := run(ctx, *quick, *name, *file)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

func names() []string {
	return slices.Sorted(maps.Keys(studies))
}

func run(ctx context.Context, quick bool, only, file string) error {
	if only != "" && studies[only] == nil {
		return fmt.Errorf("unknown study %q, want one of %s", only, strings.Join(names(), ", "))
	}
	var t report.Table
	for _, n := range names() {
		if only != "" && only != n {
			continue
		}
		start := time.Now()
		rows, err := studies[n](ctx, quick)
		if err != nil {
			return fmt.Errorf("%s: %w", n, err)
		}
		t.Add(rows...)
		fmt.Fprintf(os.Stderr, "measure: %s took %s\n", n, time.Since(start).Round(time.Millisecond))
	}
	if err := t.WriteText(os.Stdout); err != nil {
		return err
	}
	if file == "" {
		return nil
	}
	return writeCSV(&t, file)
}

func writeCSV(t *report.Table, file string) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	if err := t.WriteCSV(f); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}

func measureResume(ctx context.Context, quick bool) ([]report.Row, error) {
	s := resume.Study{Runs: 10}
	if quick {
		s.Runs = 1
	}
	return s.Measure(ctx)
}

func measureOverhead(ctx context.Context, quick bool) ([]report.Row, error) {
	s := overhead.Study{Callers: 200}
	if quick {
		s.Callers = 30
	}
	return s.Measure(ctx)
}

func measureLoad(ctx context.Context, quick bool) ([]report.Row, error) {
	s := load.Study{Seconds: 20}
	if quick {
		s.Seconds = 2
	}
	return s.Measure(ctx)
}

func measureControl(ctx context.Context, quick bool) ([]report.Row, error) {
	s := control.Study{Sizes: []int{3, 9, 30, 100}, Seconds: 10}
	if quick {
		s = control.Study{Sizes: []int{3, 9}, Seconds: 1, Settle: time.Second}
	}
	return s.Measure(ctx)
}

// measureMoves simulates all scenarios or, if quick, one with a good version and two with a bad one.
func measureMoves(ctx context.Context, quick bool) ([]report.Row, error) {
	if quick {
		kinds := []moves.Scenario{moves.Scenarios[0], moves.Scenarios[4], moves.Scenarios[9]}
		return moves.Measure(ctx, []moves.Workload{moves.Target}, kinds, 1)
	}
	return moves.Measure(ctx, []moves.Workload{moves.Target, moves.Current}, moves.Scenarios, 20)
}
