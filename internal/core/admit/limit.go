package admit

import (
	"time"

	"jaywind"
	"jaywind/internal/core/place"
	"jaywind/internal/core/table"
)

const (
	initialPerEndpoint = 8     // initial limit for each endpoint of a router's part of the fleet
	minInitialLimit    = 16    // initial limit at least
	minPerEndpoint     = 2     // lowest limit for each endpoint
	minLimit           = 2     // lowest limit
	maxLateFirsts      = 0.1   // fraction of late first tokens and endpoint refusals above which the limit falls
	maxLateGaps        = 0.05  // fraction of late gaps between tokens above which the limit falls
	lateBackoff        = 0.3   // relative decrease of the limit per fraction of late answers
	minGapFactor       = 0.5   // lowest factor that slow tokens apply to the limit in one period
	smallDecrease      = 0.95  // factor in a period with queueing at the engines; late answers lower the limit by at least as much
	growthFactor       = 1.03  // growth in a period once the limit has been too high
	slowStartFactor    = 1.5   // growth in a period before that
	holdGapRatio       = 0.75  // mean token gap, relative to a late one, from which the limit does not grow
	maxOpeningShare    = 0.1   // fraction of running requests without a first token above which slow start ignores gaps: prefills stretch them
	rateSmoothing      = 0.3   // weight of one period in the moving average of the start rate
	baselineGrowth     = 1.005 // growth of the baseline in a period, so that an old minimum expires
	resumeExcess       = 1.1   // running requests relative to the limit, above which resumes are the cause
	minUsable          = 0.1   // lowest usable fraction of endpoints when a limit is derived from running requests
	minSamples         = 5     // first tokens or gaps in a period that a statistic needs
)

const (
	adjustPeriod   = 250 * time.Millisecond
	slowStartTime  = time.Second            // after a pool's first request, in which the limit grows with each first token
	holdQueueDelay = table.FirstTarget / 10 // queueing delay at the engines from which the limit does not grow
	maxQueueDelay  = table.FirstTarget / 5  // queueing delay at the engines above which the limit falls
)

func initialLimit(s *table.State, m jaywind.Model) float64 {
	return max(minInitialLimit, initialPerEndpoint*endpointsPerRouter(s, m))
}

// endpointsPerRouter returns the mean number of a model's endpoints for each router.
func endpointsPerRouter(s *table.State, m jaywind.Model) float64 {
	g := place.RingOf(s, m, s.Rules.Models[m].Version)
	if g == nil {
		return 0
	}
	return float64(len(g.IDs)) / float64(max(1, s.Membership.Members))
}

// adjustLimit updates the limit once per period from the statistics of its window.
func adjustLimit(s *table.State, p *table.Pool) {
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
		updateRate(p, float64(w.Started)/s.Now.Sub(w.Since).Seconds())
	}
	if factor := decreaseFactor(p); factor < 1 && !exceededByResumes(p) {
		p.LimitExceeded = true
		p.Limit = max(minLimit, minPerEndpoint*endpointsPerRouter(s, p.Model), limitInUse(p)*factor)
	}
	if w.LimitHit && p.Backlog == 0 && hasSamples(p) && hasHeadroom(p) {
		p.Limit = max(p.Limit+1, p.Limit*growthOf(p), float64(p.Running)/max(p.Usable, minUsable))
	}
	updateBaseline(p)
	p.Window = table.Window{Since: s.Now}
}

// rampLimit raises the limit by one for each first token in time, while the limit has never been too high.
//
// The update once per period is too slow for a burst at a new router, whose
// requests may queue for little longer than one period.
func rampLimit(s *table.State, p *table.Pool) {
	w := &p.Window
	if p.LimitExceeded || s.Now.Sub(p.Began) > slowStartTime {
		return
	}
	if float64(p.AwaitingFirst) > maxOpeningShare*float64(p.Running) {
		w.PrefillInterference = true
	}
	good := w.Firsts - w.LateFirsts
	if w.LimitHit && p.Backlog == 0 && hasHeadroom(p) {
		p.Limit += float64(good - w.GrownFor)
	}
	w.GrownFor = good
}

// exceededByResumes reports whether resumed generations take the pool so far over its limit that
// lowering the limit would change nothing.
func exceededByResumes(p *table.Pool) bool {
	return float64(p.Running) > resumeExcess*p.Limit*p.Usable
}

// limitInUse returns the used part of the limit, scaled to all endpoints being usable.
func limitInUse(p *table.Pool) float64 {
	return min(p.Limit, float64(p.Running+1)/max(p.Usable, minUsable))
}

// decreaseFactor returns the factor for the limit that late answers, slow tokens and queueing at the
// engines call for; 1 for no decrease.
func decreaseFactor(p *table.Pool) float64 {
	factor := 1.0
	if queueDelay(p) > maxQueueDelay {
		factor = smallDecrease
	}
	if tooManyLate(p.Window) {
		factor = min(smallDecrease, 1-lateShare(p.Window)*lateBackoff)
	}
	if x := gapRatio(p); x > 1 {
		factor = min(factor, max(1/x, minGapFactor))
	}
	return factor
}

// hasSamples reports whether any engine answered in the window. Without an answer the limit must not grow.
func hasSamples(p *table.Pool) bool {
	return p.Window.Firsts > 0 || p.Window.Gaps > 0
}

// hasHeadroom reports whether latencies in the window leave room for a higher limit.
func hasHeadroom(p *table.Pool) bool {
	return !tooManyLate(p.Window) && queueDelay(p) < holdQueueDelay && gapRatio(p) < holdGapRatio
}

// gapRatio returns the mean gap between tokens relative to the gap that counts as late; 0 when there
// are too few gaps or prefills have stretched them.
func gapRatio(p *table.Pool) float64 {
	if p.Window.Gaps < minSamples || p.Window.PrefillInterference {
		return 0
	}
	gap := p.Window.GapTime / time.Duration(p.Window.Gaps)
	return float64(gap) / float64(p.LateGapThreshold())
}

func growthOf(p *table.Pool) float64 {
	if p.LimitExceeded {
		return growthFactor
	}
	return slowStartFactor
}

func updateRate(p *table.Pool, rate float64) {
	if p.Rate == 0 {
		p.Rate = rate
		return
	}
	p.Rate += (rate - p.Rate) * rateSmoothing
}

// queueDelay estimates how long requests wait in the engines' own queues: the mean time to the first
// token less twice its baseline.
func queueDelay(p *table.Pool) time.Duration {
	if p.Window.Firsts < minSamples {
		return 0
	}
	return max(0, p.Window.FirstTime/time.Duration(p.Window.Firsts)-2*p.BestLatency.First)
}

// tooManyLate reports whether the fraction of late first tokens or of late gaps exceeds its maximum.
func tooManyLate(w table.Window) bool {
	return lateFirstShare(w) > maxLateFirsts || lateGapShare(w) > maxLateGaps
}

// lateShare returns the larger of the fractions of late first tokens and late gaps in the window.
func lateShare(w table.Window) float64 {
	return max(lateFirstShare(w), lateGapShare(w))
}

func lateGapShare(w table.Window) float64 {
	if w.PrefillInterference {
		return 0
	}
	return fraction(w.LateGaps, w.Gaps)
}

func lateFirstShare(w table.Window) float64 {
	return fraction(w.LateFirsts+w.Overdue+w.Refused, w.Firsts+w.Overdue+w.Refused)
}

func fraction(part, whole int) float64 {
	if whole < minSamples {
		return 0
	}
	return float64(part) / float64(whole)
}

// updateBaseline tracks the lowest mean latencies of a period; see baselineGrowth.
func updateBaseline(p *table.Pool) {
	w := p.Window
	if w.Firsts >= minSamples {
		p.BestLatency.First = nextBaseline(p.BestLatency.First, w.FirstTime/time.Duration(w.Firsts))
	}
	if w.Gaps >= minSamples {
		p.BestLatency.Gap = nextBaseline(p.BestLatency.Gap, w.GapTime/time.Duration(w.Gaps))
	}
}

func nextBaseline(base, seen time.Duration) time.Duration {
	if base == 0 || seen < base {
		return seen
	}
	return min(seen, time.Duration(float64(base)*baselineGrowth))
}
