package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sourcegraph/conc"

	"jaywind/internal/operator/history"
)

const (
	recoverTime = 12 * time.Second // after the last fault, until everything works
	provenCalls = 5                // of each kind, one after another, that show that a router works
	watchEvery  = time.Second      // between two looks at memory and descriptors
	shownBroken = 5                // violations whose requests are told whole
	namedBroken = 40               // violations that are named
)

// Run is one soak; set the exported fields before Do.
type Run struct {
	Plan Plan
	Bin  string    // folder of the programs jaywind and standin
	Keep string    // folder for the plan, the settings and the logs
	Out  io.Writer // of what happens

	fleet  *fleet
	record *record
	rules  *rules
}

// Do carries the plan out and returns what was broken. Nothing that it started is left when it returns.
func (r *Run) Do(ctx context.Context) ([]Violation, error) {
	if err := r.keepPlan(); err != nil {
		return nil, err
	}
	r.rules = &rules{}
	r.fleet = &fleet{size: r.Plan.Size, bin: r.Bin, keep: r.Keep}
	if err := r.fleet.ports.claim(os.Getpid()); err != nil {
		return nil, err
	}
	defer func() { _ = r.fleet.ports.guard.Close() }()
	r.record = newRecord(r.fleet, r.rules, r.Out)
	r.fleet.sight = r.record.see
	defer r.fleet.stop()
	if err := r.fleet.start(r.rules.first()); err != nil {
		return nil, err
	}
	r.traffic(ctx)
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	r.fleet.stop() // all that replicas saw has been read then
	r.record.settle()
	r.tell()
	return r.record.broken, nil
}

func (r *Run) keepPlan() error {
	b, err := json.MarshalIndent(r.Plan, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(r.Keep, "plan.json"), b, 0o600)
}

// traffic lets callers ask while the plan strikes, and then until all routers work again.
func (r *Run) traffic(ctx context.Context) {
	asking, stopAsking := context.WithCancel(ctx)
	defer stopAsking()
	var callers conc.WaitGroup
	for i := range r.Plan.Size.Callers {
		c := &caller{number: i, fleet: r.fleet, rules: r.rules, record: r.record, random: rand.New(rand.NewPCG(r.Plan.Seed, uint64(i)+1))} //nolint:gosec // no secret
		callers.Go(func() { c.run(asking) })
	}
	callers.Go(func() { r.watch(asking) })
	callers.Go(func() { r.keepMetrics(asking) })
	n := &nemesis{fleet: r.fleet, rules: r.rules, record: r.record}
	n.run(ctx, r.Plan)
	r.record.note("all is mended")
	r.recover(ctx)
	stopAsking()
	callers.Wait()
}

// keepMetrics writes what the routers count, to be drawn with jaywind plot.
func (r *Run) keepMetrics(ctx context.Context) {
	file, err := os.Create(filepath.Join(r.Keep, "metrics.jsonl"))
	if err != nil {
		r.record.note(err.Error())
		return
	}
	defer func() { _ = file.Close() }()
	vms := map[string]string{}
	for _, at := range r.fleet.routers {
		vms[at.name] = at.metrics
	}
	if err := (&history.Recorder{VMs: vms, Out: file}).Run(ctx); err != nil {
		r.record.note(err.Error())
	}
}

// recover checks that each router serves each kind of request once all is mended.
func (r *Run) recover(ctx context.Context) {
	end := time.Now().Add(recoverTime)
	var group conc.WaitGroup
	for i, at := range r.fleet.routers {
		c := &caller{number: 1000 + i, fleet: r.fleet, rules: r.rules, record: r.record,
			random: rand.New(rand.NewPCG(r.Plan.Seed, uint64(i)+1000)), known: []*router{at}} //nolint:gosec // no secret
		c.transport = newTransport()
		group.Go(func() {
			for _, prefix := range []string{"/get/", "/buy/", "/stream/"} {
				r.proveServed(ctx, c, prefix, end)
			}
		})
	}
	group.Wait()
}

// proveServed sends requests of a kind to one router until several in a row were served.
func (r *Run) proveServed(ctx context.Context, c *caller, prefix string, end time.Time) {
	var last *attempt
	for served := 0; served < provenCalls; {
		if ctx.Err() != nil {
			return
		}
		if last != nil && time.Now().After(end) {
			r.record.fail("recover", last.id, fmt.Sprintf("%s does not serve %s again: status %d, %v", last.at.name, prefix, last.status, last.err))
			return
		}
		c.knownAt = time.Now() // of this router only
		last = c.send(prefix, "key", 0)
		r.record.judge(last)
		served++
		if last.left.IsZero() && (last.status != http.StatusOK || !last.whole) {
			served = 0
			time.Sleep(thinkTime)
		}
	}
}

// watch looks at the routers' memory and descriptors.
func (r *Run) watch(ctx context.Context) {
	t := time.NewTicker(watchEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		for _, p := range r.fleet.routers {
			pid := p.pid()
			if pid == 0 {
				continue
			}
			if mb, err := residentMB(pid); err == nil && mb > memoryMB {
				r.record.fail("memory", "", fmt.Sprintf("%s takes %d MB", p.name, mb))
			}
			if files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)); err == nil && len(files) > maxFiles {
				r.record.fail("descriptors", "", fmt.Sprintf("%s has %d open", p.name, len(files)))
			}
		}
	}
}

// residentMB returns the memory of a process; the error says that it has just ended.
func residentMB(pid int) (int, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.SplitSeq(string(b), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kb, err := strconv.Atoi(fields[1])
			return kb >> 10, err
		}
	}
	return 0, errors.New("no resident memory is told")
}

// tell prints the outcomes and each violation with what both sides saw.
func (r *Run) tell() {
	c := r.record
	names := make([]string, 0, len(c.outcomes))
	for name := range c.outcomes {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		_, _ = fmt.Fprintf(r.Out, "%6d %s\n", c.outcomes[name], name)
	}
	for i, v := range c.broken {
		if i == namedBroken {
			_, _ = fmt.Fprintf(r.Out, "and %d more\n", len(c.broken)-i)
			break
		}
		_, _ = fmt.Fprintf(r.Out, "BROKEN %s %s: %s\n", v.Promise, v.Request, v.What)
		if v.Request == "" || i >= shownBroken {
			continue
		}
		if a := c.attempts[v.Request]; a != nil {
			_, _ = fmt.Fprintf(r.Out, "  caller: %s at %s, sent at %.3f, ended at %.3f, status %d, %d events after %d, %v\n", a.target, a.at.name,
				a.sent.Sub(c.begun).Seconds(), a.ended.Sub(c.begun).Seconds(), a.status, a.got, a.after, a.err)
		}
		for _, s := range c.sights[v.Request] {
			_, _ = fmt.Fprintf(r.Out, "  replica: %.3f %s at %s\n", time.UnixMilli(s.At).Sub(c.begun).Seconds(), s.What, s.Replica)
		}
		for _, l := range r.fleet.lines(v.Request) {
			_, _ = fmt.Fprintln(r.Out, "  router:", l)
		}
	}
}
