// Command demo runs three routers, three engines, a store and a service on loopback in one process.
//
// It sends one order twice with the same idempotency key and checks that it ran once. Then it streams a
// long generation to the terminal, and kills first its engine and then its router on the way.
//
// It exits with 0 only if the answer is complete.
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
	tokens := flag.Int("tokens", 300, "`number` of tokens in the answer, 30 or more")
	gap := flag.Duration("gap", 10*time.Millisecond, "`interval` between the tokens of an engine")
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
	f := &fleet.Fleet{Engines: 3, Services: 2, Routers: 3, TokenInterval: gap, IdleTimeout: time.Second}
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
