package soak

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	bulkCallers    = 6     // per engine, in a burst
	urgentCallers  = 3     // per engine, in a burst
	maxBurstScale  = 8     // engines for which callers are added; more of them would need more processors than one machine has
	burstNumber    = 1_000 // number of the first caller of a burst, times the number of the burst
	firstBurst     = 300   // number of the first burst; those of other callers are below 300,000
	burstPrompt    = 3_000 // tokens; the runs of all callers and their copies need more memory than the engines that are left have
	burstTime      = 4 * time.Second
	urgentPriority = 1
	bulkPriority   = 2
	// roomTarget is the latency target of both routes of streams: requests of either may wait equally long, so that their shares are
	// comparable.
	roomTarget = 2 * time.Second
)

// burst sends more bulk streams than the engines have memory for, beside urgent ones, while the engines of one failure domain are down or
// engines crash under a part of prompts.
func (n *injector) burst(ctx context.Context, s Fault) {
	if !n.burstLock.TryLock() {
		return
	}
	defer n.burstLock.Unlock()
	asking, stop := context.WithTimeout(ctx, burstTime)
	defer stop()
	f := n.fleet
	var group conc.WaitGroup
	scale := min(maxBurstScale, f.size.Engines)
	for i := range (bulkCallers + urgentCallers) * scale {
		c := &caller{number: (firstBurst+n.bursts)*burstNumber + i, fleet: f, config: n.config, checker: n.checker, only: "/bulk/", prompt: burstPrompt,
			random: rand.New(rand.NewPCG(uint64(s.Target), uint64(i)))} //nolint:gosec // not used for security
		if i >= bulkCallers*scale {
			c.only = "/stream/"
		}
		group.Go(func() { c.run(asking) })
	}
	n.bursts++
	began := span{from: time.Now()}
	partCrashes := !n.crashLock.TryLock() // crashes of a domain as well might leave no engine
	if !partCrashes {
		n.crashLock.Unlock()
	}
	for _, e := range f.engines() {
		if !partCrashes && e.zone == fmt.Sprintf("zone%d", s.Target%zones) {
			group.Go(func() { n.killReplica(ctx, s, e) })
		}
	}
	group.Wait()
	began.until = time.Now()
	n.checker.addBurst(began)
}

// addBurst records a burst of streams.
func (r *checker) addBurst(s span) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bursts = append(r.bursts, s)
}

const (
	burstStratum   = time.Second // within which urgent and bulk streams at a router are compared; a fault changes both alike
	priorityMargin = 3.0         // standard deviations by which fewer urgent streams may be served than chance gives, once in 700 bursts
)

// checkPriority checks for each burst that urgent streams are not served less often than bulk ones. It compares those that were sent to
// the same router within a second, as a difference in when or where requests fail says nothing of priorities; the caller holds mu.
func (r *checker) checkPriority() {
	type stratum struct {
		router *router
		second int64
	}
	for _, burst := range r.bursts {
		served, all := map[bool]map[stratum]int{true: {}, false: {}}, map[bool]map[stratum]int{true: {}, false: {}} // by whether they are urgent
		for _, a := range r.attempts {
			if a.sentAt.Before(burst.from) || a.sentAt.After(burst.until) || a.prompt != burstPrompt || !a.leftAt.IsZero() || !r.reachesEngines(a) {
				continue
			}
			k, urgent := stratum{a.router, int64(a.sentAt.Sub(burst.from) / burstStratum)}, a.prefix == "/stream/"
			all[urgent][k]++
			if a.status == http.StatusOK && !a.truncated() {
				served[urgent][k]++
			}
		}
		var sums [4]int // urgent served, urgent, bulk served, bulk
		excess, variance := 0.0, 0.0
		for k, u := range all[true] {
			b, ok := all[false][k], served[true][k]+served[false][k]
			sums = [4]int{sums[0] + served[true][k], sums[1] + u, sums[2] + served[false][k], sums[3] + b}
			if b == 0 {
				continue
			}
			// The number of urgent streams among those served is hypergeometric if chance alone decides.
			n, p := float64(u+b), float64(ok)/float64(u+b)
			excess += float64(served[true][k]) - float64(u)*p
			variance += float64(u) * p * (1 - p) * float64(b) / (n - 1)
		}
		_, _ = fmt.Fprintf(r.out, "burst of bulk streams: %d of %d urgent and %d of %d bulk streams served, %+.1f urgent ones beyond chance, deviation %.1f\n",
			sums[0], sums[1], sums[2], sums[3], excess, math.Sqrt(variance))
		if excess < -priorityMargin*math.Sqrt(variance) {
			r.violations = append(r.violations, Violation{"priority", "", fmt.Sprintf("%d of %d urgent streams served in a burst, %d of %d bulk ones", sums[0], sums[1], sums[2], sums[3])})
		}
	}
}

// reachesEngines reports whether the router of an attempt reached engines all the while; the caller holds mu.
func (r *checker) reachesEngines(a *attempt) bool {
	return !a.router.disturbed(a.sentAt, a.endedAt, schedulingSlack) && !r.fleet.cutFromStore(a.router, a.sentAt, a.endedAt) && !r.fleet.linksWereCut(a.router, a.sentAt, a.endedAt)
}

// isRefusal reports whether a router has refused an attempt as one that has not run.
func (a *attempt) isRefusal() bool {
	return a.status == http.StatusServiceUnavailable && !a.fromEndpoint
}

// streamPrefixes are the paths of streams, urgent and bulk ones.
var streamPrefixes = []string{"/stream/", "/bulk/"}

func (a *attempt) isStream() bool { return slices.Contains(streamPrefixes, a.prefix) }
