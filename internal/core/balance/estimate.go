package balance

import (
	"math"
	"slices"
	"time"
)

const (
	failurePenalty = 10   // an endpoint that fails one call in ten counts as half as fast
	badShare       = 0.05 // of calls rejected or failed from which on an endpoint turns calls away
	leastTaken     = 0.05 // share of calls that even an endpoint that rejects all is taken to accept, so that it keeps some weight
	suddenFactor   = 4    // times the best learned time from which on an endpoint is slow at once: short slow periods take 2.5 times as long, faults 8 times
	maxQueue       = 2    // calls for each slot above which a longer queue keeps no more calls away; it is older than the calls in it, and all routers see it
	minSamples     = 8    // own calls after which a learned time is compared with others without a summary
)

// Spread returns the ratio of the times for which the slowest and the fastest candidate work on a call; 1 while fewer than two are known.
// Waits do not count, as endpoints of equal speed have queues of different lengths.
func (b *Balancer) Spread(all []Candidate, now time.Time) float64 {
	least, most := math.Inf(1), 0.0
	for _, p := range b.estimates(all, now) {
		if p.endpoint.summarised || p.endpoint.samples >= minSamples {
			least, most = min(least, p.workMs), max(most, p.workMs)
		}
	}
	if most == 0 {
		return 1
	}
	return most / max(least, 0.001)
}

// Rejecting reports whether a candidate has rejected or failed a noticeable share of the calls of late.
func (b *Balancer) Rejecting(all []Candidate, now time.Time) bool {
	return slices.ContainsFunc(all, func(c Candidate) bool {
		e := b.endpoints[c.Key]
		if e == nil {
			return false
		}
		rejected, failed := e.shares(b.fresh(now), now)
		return rejected+failed >= badShare
	})
}

// mean returns the learned time of a call in ms. The oldest call under way counts as a sample once it has taken longer.
func (e *endpoint) mean(now time.Time) float64 {
	age := 0.0
	for c := range e.open {
		age = max(age, inMs(now.Sub(c.startedAt)))
	}
	if e.meanMs > 0 && age > e.meanMs {
		return e.meanMs + ownAlpha*(age-e.meanMs)
	}
	return e.meanMs
}

// openCalls returns the calls under way: those of all routers if the summary counts, and otherwise the own ones.
func (e *endpoint) openCalls(fresh bool) int {
	if !fresh || !e.row {
		return len(e.open)
	}
	return max(0, e.othersOpen) + len(e.open)
}

// rejectedShare returns the share of calls that the endpoint has rejected in the last second or so.
func (e *endpoint) rejectedShare(fresh bool, now time.Time) float64 {
	if fresh && e.row {
		return e.rejections
	}
	return share(&e.rejected, &e.calls, now)
}

// shares returns the shares of calls that the endpoint rejects, by the summary or by the own calls if that is more, and that fail.
func (e *endpoint) shares(fresh bool, now time.Time) (rejected, failed float64) {
	rejected = max(e.rejectedShare(fresh, now), share(&e.rejected, &e.calls, now))
	return min(1, rejected), share(&e.failed, &e.outcomes, now)
}

// estimate is what a candidate promises.
type estimate struct {
	endpoint *endpoint
	meanMs   float64
	open     int
	rejected float64 // share of calls
	failed   float64 // share of calls
	workMs   float64 // time of work on a call, where short slow periods do not count
	queue    float64 // calls for each slot, at least 1
}

// bad returns the share of calls that are rejected or fail.
func (e *estimate) bad() float64 { return min(1, e.rejected+e.failed) }

// reluctance returns the time of work with the penalty for rejections and failures. An endpoint that rejects half of the calls takes two
// attempts for each, so it counts as half as fast: a stronger penalty would send the calls of all routers from one full endpoint to the
// next.
func (e *estimate) reluctance() float64 {
	return e.workMs * (1 + failurePenalty*e.failed) / max(leastTaken, 1-e.rejected)
}

// cost returns the expected time with the penalty.
func (e *estimate) cost() float64 { return e.reluctance() * min(maxQueue, e.queue) }

// estimates returns what the candidates promise. An endpoint that is not measured counts as the fastest that is.
func (b *Balancer) estimates(all []Candidate, now time.Time) []estimate {
	out := make([]estimate, len(all))
	fresh, best := b.fresh(now), math.Inf(1)
	for i, c := range all {
		e := b.endpointFor(c, now)
		out[i] = estimate{endpoint: e, meanMs: e.mean(now), open: e.openCalls(fresh)}
		out[i].rejected, out[i].failed = e.shares(fresh, now)
		if out[i].meanMs > 0 {
			best = min(best, out[i].meanMs)
		}
	}
	for i := range out {
		p := &out[i]
		if p.meanMs == 0 {
			if p.meanMs = best; math.IsInf(best, 1) {
				p.meanMs = 1
			}
		}
		if p.workMs = p.endpoint.workMs(p.meanMs, fresh); p.meanMs < suddenFactor*best {
			p.workMs = p.endpoint.sustainedMs(p.meanMs, fresh)
		}
		p.queue = max(1, float64(p.open+1)/float64(max(1, all[i].Slots)))
	}
	return out
}
