package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"jaywind/internal/fleet/cbor"
	"jaywind/internal/operator/history"
)

// record polls the metrics of running routers and writes them as JSON lines.
func record(ctx context.Context, c *console) int {
	f := c.flags()
	every := f.Duration("every", time.Second, "`interval` between two snapshots of a router")
	duration := f.Duration("for", 0, "`duration` of the recording; until interrupted when zero")
	file := f.String("settings", "", "settings `file` with the routers' shared secret, if they require it")
	if code, more := c.parse(f); !more {
		return code
	}
	vms, err := namedURLs(f.Args())
	if err != nil {
		return c.misuse(err.Error())
	}
	if *every <= 0 || *duration < 0 {
		return c.misuse("want -every above zero and -for not below it")
	}
	if *duration > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, *duration)
		defer cancel()
	}
	r := history.Recorder{VMs: vms, Interval: *every, Out: c.out}
	if *file != "" {
		s, err := loadSettings(*file)
		if err != nil {
			return c.fail(err)
		}
		r.HTTP = cbor.NewHTTPClient(s.Secret)
	}
	if err := r.Run(ctx); err != nil {
		return c.fail(err)
	}
	return exitOK
}

// namedURLs parses arguments such as vm1=http://127.0.0.1:9464/metrics.
func namedURLs(args []string) (map[string]string, error) {
	urls := map[string]string{}
	for _, a := range args {
		name, url, found := strings.Cut(a, "=")
		if !found || name == "" || !strings.HasPrefix(url, "http://") && !strings.HasPrefix(url, "https://") {
			return nil, fmt.Errorf("%q: want NAME=URL", a)
		}
		if _, duplicate := urls[name]; duplicate {
			return nil, fmt.Errorf("%q is named twice", name)
		}
		urls[name] = url
	}
	if len(urls) == 0 {
		return nil, fmt.Errorf("want one or more NAME=URL")
	}
	return urls, nil
}

// drawHistory plots snapshots written by record.
func drawHistory(_ context.Context, c *console) int {
	f := c.flags()
	out := f.String("out", "", "output `file`, .png or .svg")
	if code, more := c.parse(f); !more {
		return code
	}
	if *out == "" || f.NArg() != 1 {
		return c.misuse("want -out FILE and one file of snapshots, or - for standard input")
	}
	in := c.in
	if name := f.Arg(0); name != "-" {
		file, err := os.Open(name)
		if err != nil {
			return c.fail(err)
		}
		defer func() { _ = file.Close() }()
		in = io.Reader(file)
	}
	h, err := history.Read(in)
	if err != nil {
		return c.fail(err)
	}
	if h.BadLines > 0 {
		_, _ = fmt.Fprintf(c.err, "jaywind plot: skipped %d lines that are not snapshots\n", h.BadLines)
	}
	if err := h.WritePlot(*out); err != nil {
		return c.fail(err)
	}
	return exitOK
}
