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
	recoveryTimeout = 12 * time.Second // after the last fault is removed, until all routers serve again
	recoveryCalls   = 5                // consecutive successful calls of each kind that show that a router works
	watchInterval   = time.Second      // between two checks of memory and descriptors
	maxDetailed     = 5                // violations printed with all that is known of their request
	maxListed       = 40               // violations printed
)

// Run is one soak test run; set the exported fields before Do.
type Run struct {
	Plan      Plan
	BinDir    string    // folder with the programs jaywind and standin
	OutputDir string    // folder for the plan, the settings and the logs
	Out       io.Writer // receives the progress and the report

	fleet   *fleet
	checker *checker
	config  *operatorConfig
}

// Do runs the plan and returns the violations. All processes that it started have ended when it returns.
func (r *Run) Do(ctx context.Context) ([]Violation, error) {
	if err := r.savePlan(); err != nil {
		return nil, err
	}
	r.config = &operatorConfig{}
	r.fleet = &fleet{size: r.Plan.Size, cutsLinks: r.Plan.CutsLinks(), binDir: r.BinDir, dir: r.OutputDir}
	if err := r.fleet.ports.reserve(os.Getpid()); err != nil {
		return nil, err
	}
	defer func() { _ = r.fleet.ports.guard.Close() }()
	r.checker = newChecker(r.fleet, r.config, r.Out)
	r.fleet.onEvent = r.checker.addEvent
	defer r.fleet.stop()
	if err := r.fleet.start(r.config.initial()); err != nil {
		return nil, err
	}
	r.runTraffic(ctx)
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	r.fleet.stop() // afterwards all events of the replicas have been read
	r.checker.checkRun()
	r.printReport()
	return r.checker.violations, nil
}

func (r *Run) savePlan() error {
	b, err := json.MarshalIndent(r.Plan, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(r.OutputDir, "plan.json"), b, 0o600)
}

// runTraffic runs the callers while faults are injected and until all routers serve again.
func (r *Run) runTraffic(ctx context.Context) {
	asking, stopAsking := context.WithCancel(ctx)
	defer stopAsking()
	var callers conc.WaitGroup
	for i := range r.Plan.Size.Callers {
		c := &caller{number: i, fleet: r.fleet, config: r.config, checker: r.checker, random: rand.New(rand.NewPCG(r.Plan.Seed, uint64(i)+1))} //nolint:gosec // not used for security
		callers.Go(func() { c.run(asking) })
	}
	callers.Go(func() { r.watchResources(asking) })
	callers.Go(func() { r.recordMetrics(asking) })
	callers.Go(func() { r.sendHostile(asking) })
	n := &injector{fleet: r.fleet, config: r.config, checker: r.checker}
	n.run(ctx, r.Plan)
	r.checker.logf("all faults are removed")
	r.recover(ctx)
	stopAsking()
	callers.Wait()
}

// recordMetrics writes the metrics of the routers to metrics.jsonl, which jaywind plot draws.
func (r *Run) recordMetrics(ctx context.Context) {
	file, err := os.Create(filepath.Join(r.OutputDir, "metrics.jsonl"))
	if err != nil {
		r.checker.logf(err.Error())
		return
	}
	defer func() { _ = file.Close() }()
	vms := map[string]string{}
	for _, router := range r.fleet.routers {
		vms[router.name] = router.metricsURL
	}
	if err := (&history.Recorder{VMs: vms, Out: file}).Run(ctx); err != nil {
		r.checker.logf(err.Error())
	}
}

// recover checks that each router serves each kind of request once all faults are removed.
func (r *Run) recover(ctx context.Context) {
	end := time.Now().Add(recoveryTimeout)
	var group conc.WaitGroup
	for i, rt := range r.fleet.routers {
		c := &caller{number: 1000 + i, fleet: r.fleet, config: r.config, checker: r.checker,
			random: rand.New(rand.NewPCG(r.Plan.Seed, uint64(i)+1000)), routers: []*router{rt}} //nolint:gosec // not used for security
		c.transport = newTransport()
		group.Go(func() {
			for _, prefix := range []string{"/get/", "/buy/", "/stream/"} {
				r.checkServed(ctx, c, prefix, end)
			}
		})
	}
	group.Wait()
}

// checkServed sends requests of a kind to one router until recoveryCalls in a row succeed. It reports a violation if end passes first.
func (r *Run) checkServed(ctx context.Context, c *caller, prefix string, end time.Time) {
	var last *attempt
	for served := 0; served < recoveryCalls; {
		if ctx.Err() != nil {
			return
		}
		if last != nil && time.Now().After(end) {
			r.checker.report("recover", last.id, fmt.Sprintf("%s did not recover for %s: status %d, %v", last.router.name, prefix, last.status, last.err))
			return
		}
		c.resolvedAt = time.Now() // keeps the caller from asking the directory for other routers
		last = c.send(prefix, "key", 0)
		r.checker.checkAttempt(last)
		served++
		if last.leftAt.IsZero() && (last.status != http.StatusOK || !last.complete) {
			served = 0
			time.Sleep(thinkTime)
		}
	}
}

// watchResources checks the routers' memory and open descriptors until ctx ends.
func (r *Run) watchResources(ctx context.Context) {
	t := time.NewTicker(watchInterval)
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
			if mb, err := residentMB(pid); err == nil && mb > maxMemoryMB {
				r.checker.report("memory", "", fmt.Sprintf("%s uses %d MB", p.name, mb))
			}
			if files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)); err == nil && len(files) > maxDescriptors {
				r.checker.report("descriptors", "", fmt.Sprintf("%s has %d descriptors open", p.name, len(files)))
			}
		}
	}
}

// residentMB returns the resident memory of a process. It fails if the process has just exited.
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
	return 0, errors.New("status of the process holds no VmRSS")
}

// printReport prints the outcomes and the violations with what callers, replicas and routers recorded.
func (r *Run) printReport() {
	c := r.checker
	names := make([]string, 0, len(c.outcomes))
	for name := range c.outcomes {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		_, _ = fmt.Fprintf(r.Out, "%6d %s\n", c.outcomes[name], name)
	}
	for i, v := range c.violations {
		if i == maxListed {
			_, _ = fmt.Fprintf(r.Out, "and %d more violations\n", len(c.violations)-i)
			break
		}
		_, _ = fmt.Fprintf(r.Out, "BROKEN %s %s: %s\n", v.Guarantee, v.RequestID, v.Detail)
		if v.RequestID == "" || i >= maxDetailed {
			continue
		}
		if a := c.attempts[v.RequestID]; a != nil {
			_, _ = fmt.Fprintf(r.Out, "  caller: %s at %s, sent at %.3f, ended at %.3f, status %d, %d events after %d, %v\n", a.target, a.router.name,
				a.sentAt.Sub(c.startedAt).Seconds(), a.endedAt.Sub(c.startedAt).Seconds(), a.status, a.received, a.after, a.err)
		}
		for _, s := range c.events[v.RequestID] {
			_, _ = fmt.Fprintf(r.Out, "  replica: %.3f %s at %s\n", time.UnixMilli(s.UnixMilli).Sub(c.startedAt).Seconds(), s.Kind, s.Replica)
		}
		for _, l := range r.fleet.logLines(v.RequestID) {
			_, _ = fmt.Fprintln(r.Out, "  router:", l)
		}
	}
}
