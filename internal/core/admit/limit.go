package admit

import (
	"time"

	"jaywind"
	"jaywind/internal/core/place"
	"jaywind/internal/core/table"
)

const (
	firstShare    = 8    // requests at each endpoint of a router's part of the fleet, that the limit starts with
	firstLeast    = 16   // the same, for any part
	leastShare    = 2    // requests at each endpoint, that the limit never falls below
	leastLimit    = 2    // requests
	lateFirsts    = 0.1  // share of late first tokens, and of refusals by endpoints, above which the limit falls
	lateGaps      = 0.05 // share of late gaps between tokens, the same
	shrinkFactor  = 0.3  // fall of the limit as a share of the share of late answers
	paceMost      = 0.5  // of the limit that the tokens' pace may take in a period
	easeFactor    = 0.95
	growFactor    = 1.03
	probeFactor   = 1.5   // growth until the limit was once too high
	paceHolds     = 0.75  // share of the late pace of tokens from which the limit does not grow
	openingMost   = 0.1   // share of the running requests without a first token, above which gaps say nothing of a limit that was never too high
	rateStep      = 0.3   // weight of one period in the drain rate
	baseCreep     = 1.005 // growth of the best pace a period, so that it is forgotten
	excessFactor  = 1.1
	leastUsable   = 0.1 // share of the endpoints that the limit is worked out for
	fewestSamples = 5   // of first tokens or gaps in a period
)

const (
	adjustPeriod = 250 * time.Millisecond
	burstTime    = time.Second            // from a pool's first request, for which its limit grows with each first token
	queueHolds   = table.FirstTarget / 10 // delay in the engines' queues from which the limit does not grow
	queueFalls   = table.FirstTarget / 5  // the same, from which it falls
)

func firstLimit(s *table.State, m jaywind.Model) float64 {
	return max(firstLeast, firstShare*partOf(s, m))
}

// partOf returns how many endpoints there are for each router.
func partOf(s *table.State, m jaywind.Model) float64 {
	g := place.RingOf(s, m, s.Rules.Models[m].Version)
	if g == nil {
		return 0
	}
	return float64(len(g.IDs)) / float64(max(1, s.Membership.Members))
}

// adjust moves the limit once a period by what was seen in it.
func adjust(s *table.State, p *table.Pool) {
	w := &p.Window
	if w.Since.IsZero() {
		w.Since = s.Now
		p.Began = s.Now
		return
	}
	if s.Now.Sub(w.Since) < adjustPeriod {
		return
	}
	if w.LimitHit {
		noteRate(p, float64(w.Started)/s.Now.Sub(w.Since).Seconds())
	}
	if factor := fall(p); factor < 1 && !excess(p) {
		p.LimitExceeded = true
		p.Limit = max(leastLimit, leastShare*partOf(s, p.Model), used(p)*factor)
	}
	if w.LimitHit && p.Backlog == 0 && answered(p) && inTime(p) {
		p.Limit = max(p.Limit+1, p.Limit*growth(p), float64(p.Running)/max(p.Usable, leastUsable))
	}
	noteBase(p)
	p.Window = table.Window{Since: s.Now}
}

// ramp raises a limit that was never too high by one for each first token in time.
//
// A period is too long for a burst at a new router, which may wait in the queue
// for little more than one.
func ramp(s *table.State, p *table.Pool) {
	w := &p.Window
	if p.LimitExceeded || s.Now.Sub(p.Began) > burstTime {
		return
	}
	if float64(p.AwaitingFirst) > openingMost*float64(p.Running) {
		w.PrefillInterference = true
	}
	good := w.Firsts - w.LateFirsts
	if w.LimitHit && p.Backlog == 0 && inTime(p) {
		p.Limit += float64(good - w.GrownFor)
	}
	w.GrownFor = good
}

// excess tells whether resumes have taken the pool so far over its limit that the limit has no part in it.
func excess(p *table.Pool) bool {
	return float64(p.Running) > excessFactor*p.Limit*p.Usable
}

// used returns the part of the limit that is in use, as if all endpoints were up.
func used(p *table.Pool) float64 {
	return min(p.Limit, float64(p.Running+1)/max(p.Usable, leastUsable))
}

// fall returns the factor by which late answers, slow tokens or queues at the engines lower the limit.
func fall(p *table.Pool) float64 {
	factor := 1.0
	if queueing(p) > queueFalls {
		factor = easeFactor
	}
	if late(p.Window) {
		factor = min(easeFactor, 1-lateShare(p.Window)*shrinkFactor)
	}
	if x := slowness(p); x > 1 {
		factor = min(factor, max(1/x, paceMost))
	}
	return factor
}

// answered tells whether the window has any evidence; silent engines could do with less work, not more.
func answered(p *table.Pool) bool {
	return p.Window.Firsts > 0 || p.Window.Gaps > 0
}

// inTime tells whether the engines could do with more work.
func inTime(p *table.Pool) bool {
	return !late(p.Window) && queueing(p) < queueHolds && slowness(p) < paceHolds
}

// slowness returns the average gap between tokens as a multiple of the gap that is late; 0 when gaps say nothing.
func slowness(p *table.Pool) float64 {
	if p.Window.Gaps < fewestSamples || p.Window.PrefillInterference {
		return 0
	}
	gap := p.Window.GapTime / time.Duration(p.Window.Gaps)
	return float64(gap) / float64(p.LateGapThreshold())
}

func growth(p *table.Pool) float64 {
	if p.LimitExceeded {
		return growFactor
	}
	return probeFactor
}

func noteRate(p *table.Pool, rate float64) {
	if p.Rate == 0 {
		p.Rate = rate
		return
	}
	p.Rate += (rate - p.Rate) * rateStep
}

// queueing estimates how long first tokens wait in the engines' own queues.
func queueing(p *table.Pool) time.Duration {
	if p.Window.Firsts < fewestSamples {
		return 0
	}
	return max(0, p.Window.FirstTime/time.Duration(p.Window.Firsts)-2*p.BestLatency.First)
}

// late tells whether more answers or gaps in the window were too late than the targets allow.
func late(w table.Window) bool {
	return firstShareLate(w) > lateFirsts || gapShareLate(w) > lateGaps
}

// lateShare returns the share of answers or gaps in the window that were too late, whichever is larger.
func lateShare(w table.Window) float64 {
	return max(firstShareLate(w), gapShareLate(w))
}

func gapShareLate(w table.Window) float64 {
	if w.PrefillInterference {
		return 0
	}
	return shareOf(w.LateGaps, w.Gaps)
}

func firstShareLate(w table.Window) float64 {
	return shareOf(w.LateFirsts+w.Overdue+w.Refused, w.Firsts+w.Overdue+w.Refused)
}

func shareOf(part, whole int) float64 {
	if whole < fewestSamples {
		return 0
	}
	return float64(part) / float64(whole)
}

// noteBase keeps the best average pace, and forgets it slowly.
func noteBase(p *table.Pool) {
	w := p.Window
	if w.Firsts >= fewestSamples {
		p.BestLatency.First = best(p.BestLatency.First, w.FirstTime/time.Duration(w.Firsts))
	}
	if w.Gaps >= fewestSamples {
		p.BestLatency.Gap = best(p.BestLatency.Gap, w.GapTime/time.Duration(w.Gaps))
	}
}

func best(base, seen time.Duration) time.Duration {
	if base == 0 || seen < base {
		return seen
	}
	return min(seen, time.Duration(float64(base)*baseCreep))
}
