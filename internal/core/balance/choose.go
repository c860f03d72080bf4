package balance

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	slowFactor     = 1.5                    // times the best from which on an endpoint is slow, as the default of the setting `uneven`
	probeInterval  = 250 * time.Millisecond // least time between probes of all routers to an endpoint; a window of the owner's averages
	safeCallMemory = 5 * time.Second        // after the last safe call, from which on unsafe calls are probes too
)

// Choose returns the endpoint for a call among the candidates, of which the first is preferred if they are alike. Routers that prefer
// different ones share the endpoints evenly without knowing of each other.
func (b *Balancer) Choose(all []Candidate, k Kind, now time.Time) Choice {
	if len(all) == 0 {
		return Choice{Index: -1}
	}
	promised := b.estimates(all, now)
	i, probe := b.probe(promised, k, now), true
	if i < 0 {
		i, probe = b.draw(all, promised, k), false
	}
	p := promised[i]
	c := Choice{Index: i, Key: all[i].Key, Probe: probe, Open: p.open, Bad: p.bad()}
	if p.endpoint.meanMs > 0 {
		c.Expected = time.Duration(p.meanMs * p.queue * float64(time.Millisecond))
	}
	return c
}

// draw returns the first candidate unless it costs slowFactor times as much as the best one, and otherwise draws one at random. The weight
// is the rate at which a candidate works, over its queue and the square of its reluctance: the square keeps nearly all calls from an
// endpoint that is eight times slower, and lets the routers move gradually between those that are alike. For an unsafe call, which is lost
// if it fails, failures count twice.
func (b *Balancer) draw(all []Candidate, promised []estimate, k Kind) int {
	best := slices.MinFunc(promised, func(x, y estimate) int { return cmp.Compare(x.cost(), y.cost()) })
	if promised[0].cost() < slowFactor*best.cost() {
		return 0
	}
	weights, sum := make([]float64, len(all)), 0.0
	for i, p := range promised {
		weights[i] = float64(max(1, all[i].Slots)) / p.cost() / (p.reluctance() * p.reluctance())
		if k == Unsafe {
			penalty := 1 + failurePenalty*p.failed
			weights[i] /= penalty * penalty
		}
		sum += weights[i]
	}
	left := b.random() * sum
	for i, w := range weights {
		if left -= w; left < 0 {
			return i
		}
	}
	return len(all) - 1
}

// probe returns a candidate that is slow or turns calls away and that this call tries, or -1. An unsafe call is no probe while there are
// safe ones, and nothing is probed if all candidates are alike.
func (b *Balancer) probe(promised []estimate, k Kind, now time.Time) int {
	if k == Unsafe && !b.safeAt.IsZero() && now.Sub(b.safeAt) < safeCallMemory {
		return -1
	}
	best := slices.MinFunc(promised, func(x, y estimate) int { return cmp.Compare(x.reluctance(), y.reluctance()) })
	for i, p := range promised {
		slow := p.workMs >= slowFactor*best.workMs
		turnsAway := p.bad() >= badShare && p.bad() >= 2*best.bad()
		if (slow || turnsAway) && !p.endpoint.probe && b.random() < b.probeChance(p.meanMs, now) {
			return i
		}
	}
	return -1
}

// probeChance returns the chance with which a call of this router is a probe, so that all routers together have about one probe at a time
// at an endpoint. Without summaries the number of routers tells their rate, and at most one call in as many as there are routers is a
// probe: a router that has just started underestimates the rate.
func (b *Balancer) probeChance(meanMs float64, now time.Time) float64 {
	routers := float64(max(1, b.Routers))
	own := max(1/rateMemory.Seconds(), b.arrivals.value(now)/rateMemory.Seconds())
	fleet, most := own*routers, 1/routers
	if b.fresh(now) && b.fleetRate > 0 {
		fleet, most = max(own, b.fleetRate), 1
	}
	return min(most, 1/(fleet*max(meanMs/1000, probeInterval.Seconds())))
}

func (b *Balancer) random() float64 {
	if b.Random == nil {
		return rand.Float64()
	}
	return b.Random()
}
