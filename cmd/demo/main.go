// Command demo shows the whole path on loopback in one process: three routers,
// three engines, a store, a service; an order
// is placed twice under one key and run once; a long generation streams to the terminal while its
// engine is killed and then its router.
//
// It exits with 0 only if the answer is whole.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"jaywind/internal/standin/fleet"
)

func main() {
	tokens := flag.Int("tokens", 300, "tokens in the answer")
	gap := flag.Duration("gap", 10*time.Millisecond, "time between two tokens of an engine")
	flag.Parse()
	if *tokens < 30 {
		fmt.Fprintln(os.Stderr, "demo: -tokens: want 30 or more")
		os.Exit(2)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	err := run(ctx, *tokens, *gap)
	cancel()
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, tokens int, gap time.Duration) error {
	f := &fleet.Fleet{Engines: 3, Services: 2, Routers: 3, Gap: gap, Keep: time.Second}
	defer f.Close()
	if err := f.Start(ctx); err != nil {
		return err
	}
	if err := demoIdempotency(ctx, f); err != nil {
		return err
	}
	s := &failoverDemo{fleet: f, tokens: tokens}
	return s.run(ctx)
}
