package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"jaywind/internal/operator/logs"
	"jaywind/internal/operator/settings"
	"jaywind/platform"
	"jaywind/platform/standin"
)

// runRouter runs a router on the platform whose links to replicas are cut and restored by POST /links?cut=NAME.
func runRouter(ctx context.Context, args []string) error {
	f := flag.NewFlagSet("router", flag.ContinueOnError)
	listen := f.String("listen", "127.0.0.1:0", "`address` to listen on for cuts")
	file := f.String("settings", "", "settings `file` of the router")
	if err := f.Parse(args); err != nil {
		return err
	}
	text, err := os.ReadFile(*file)
	if err != nil {
		return err
	}
	s, findings := settings.Parse(*file, string(text))
	if len(findings) > 0 {
		return fmt.Errorf("invalid settings: %v", findings)
	}
	log, err := logs.New(s.Log.Level, os.Stdout)
	if err != nil {
		return err
	}
	defer log.Close()
	signal.Ignore(syscall.SIGHUP) // the settings do not change
	links := &standin.Links{}
	server := &http.Server{Addr: *listen, Handler: links.Handler(), ReadHeaderTimeout: 5 * time.Second}
	var group conc.WaitGroup
	defer group.Wait()
	group.Go(func() {
		if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
			fmt.Fprintln(os.Stderr, "standin:", err)
		}
	})
	defer func() { _ = server.Close() }()
	return (&platform.Daemon{Settings: s, Log: log.Logger, CompleteLog: log.Complete, OmittedLines: log.SuppressedLines, DialEndpoint: links.Dial}).Run(ctx)
}
