// Command soak runs routers, engines and services as separate processes, injects faults drawn from a seed, and checks
// that the guarantees of the router hold.
//
//	go run ./cmd/soak -seed 7 -for 30s
//	go run ./cmd/soak -seed 100 -seeds 50 -size usual
//	go run ./cmd/soak -replay kept/seed7/plan.json
//
// It exits with 1 when a guarantee was violated, and with 2 when the soak itself could not run.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"jaywind/internal/measure/soak"
)

var sizes = map[string]soak.Size{"small": soak.Small, "usual": soak.Usual, "large": soak.Large}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	broken, err := run(ctx, os.Args[1:], os.Stdout)
	stop()
	switch {
	case errors.Is(err, flag.ErrHelp):
	case err != nil:
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(2)
	case broken > 0:
		os.Exit(1)
	}
}

func run(ctx context.Context, args []string, out io.Writer) (broken int, err error) {
	f := flag.NewFlagSet("soak", flag.ContinueOnError)
	seed := f.Uint64("seed", uint64(time.Now().UnixNano()%1e6), "first `seed`; random when not given")
	seeds := f.Int("seeds", 1, "`number` of consecutive seeds to run, one at a time")
	duration := f.Duration("for", 30*time.Second, "how long to send traffic and inject faults")
	size := f.String("size", "usual", "small, usual or large")
	keepDir := f.String("keep", "", "`folder` for plans and logs; when empty, a temporary one that is removed unless a guarantee was violated")
	replay := f.String("replay", "", "`file` with the plan of an earlier run, to run again")
	if err := f.Parse(args); err != nil {
		return 0, err
	}
	s, known := sizes[*size]
	if !known {
		return 0, fmt.Errorf("unknown size %q: want small, usual or large", *size)
	}
	var plans []soak.Plan
	for i := range *seeds {
		plans = append(plans, soak.NewPlan(*seed+uint64(i), s, *duration))
	}
	if *replay != "" {
		p, err := readPlan(*replay)
		if err != nil {
			return 0, err
		}
		plans = []soak.Plan{p}
	}
	bin, err := os.MkdirTemp("", "soak-bin")
	if err != nil {
		return 0, err
	}
	defer func() { _ = os.RemoveAll(bin) }()
	build := exec.CommandContext(ctx, "go", "build", "-o", bin, "./cmd/jaywind", "./cmd/standin")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		return 0, fmt.Errorf("build: %w", err)
	}
	for _, p := range plans {
		n, err := runPlan(ctx, p, bin, *keepDir, out)
		if err != nil {
			return broken, err
		}
		broken += n
	}
	return broken, nil
}

// runPlan runs one plan, prints its result and returns the number of violations.
func runPlan(ctx context.Context, p soak.Plan, bin, keep string, out io.Writer) (int, error) {
	folder := filepath.Join(keep, fmt.Sprintf("seed%d", p.Seed))
	if keep == "" {
		var err error
		if folder, err = os.MkdirTemp("", "soak"); err != nil {
			return 0, err
		}
	} else if err := os.MkdirAll(folder, 0o750); err != nil {
		return 0, err
	}
	n := p.Size.Routers + p.Size.Engines + p.Size.Plain + 1
	_, _ = fmt.Fprintf(out, "seed %d: %d processes for %v, %d faults, logs in %s\n", p.Seed, n, p.Duration, len(p.Faults), folder)
	r := soak.Run{Plan: p, BinDir: bin, OutputDir: folder, Out: out}
	broken, err := r.Do(ctx)
	if err != nil {
		return 0, err
	}
	_, _ = fmt.Fprintf(out, "seed %d: %d guarantees violated\n", p.Seed, len(broken))
	if keep == "" && len(broken) == 0 {
		return 0, os.RemoveAll(folder)
	}
	return len(broken), nil
}

func readPlan(file string) (soak.Plan, error) {
	var p soak.Plan
	b, err := os.ReadFile(file)
	if err != nil {
		return p, err
	}
	if err := json.Unmarshal(b, &p); err != nil {
		return p, fmt.Errorf("%s: %w", file, err)
	}
	if p.Size.Routers < 1 || p.Size.Engines < 1 || p.Size.Plain < 1 {
		return p, fmt.Errorf("%s: a plan needs routers, engines and plain replicas", file)
	}
	return p, nil
}
