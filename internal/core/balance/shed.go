package balance

import (
	"math"
	"time"
)

const (
	shedMargin   = 0.02                   // share of the offered calls that is sent beyond those that are answered, to notice room
	shedStep     = 0.1                    // by which the share of calls sent grows at first when there are no rejections; doubles each time
	calmShare    = 0.005                  // of calls rejected below which there are none; the owner's average never gets to 0
	fallShare    = 0.4                    // ratio to the last share of rejections below which there were hardly any since
	maxShed      = 0.95                   // some calls are always sent, as only they show that there is room
	shedInterval = 250 * time.Millisecond // between changes of the share without summaries
	shedMemory   = 700 * time.Millisecond // that the share of rejections in a summary covers: two windows of the owner, and the reports' delay
	failingShare = 0.5                    // of calls failed from which on an endpoint gives no room; refusing calls would not help it
	minDrain     = 50 * time.Millisecond  // told to callers at least, so that they do not come back at once
	maxDrain     = 10 * time.Second       // told to callers at most, as a caller gives up by then
)

// shedder decides which share of the offered calls is refused at arrival. The zero value refuses none.
type shedder struct {
	share   float64 // of all offered calls
	mean    float64 // of share, over the time that rejections are reported late
	last    float64 // share of rejections at the last change
	step    float64
	at      time.Time // of the last change
	summary time.Time // that the last change followed
}

// update follows the share of the sent calls that all endpoints reject. Of the offered calls, (1 - mean) × (1 - rejected) are answered.
func (s *shedder) update(rejected float64, now time.Time) {
	if s.share == 0 && rejected < badShare {
		s.at, s.last, s.mean, s.step = now, rejected, 0, 0
		return
	}
	s.mean += (s.share - s.mean) * (1 - math.Exp(-float64(now.Sub(s.at))/float64(shedMemory)))
	if rejected < calmShare || rejected < fallShare*s.last {
		s.step = max(shedStep, 2*s.step)
		s.share -= s.step
	} else {
		s.step = 0
		s.share = 1 - (1-s.mean)*(1-rejected) - shedMargin
	}
	s.share = min(maxShed, max(0, s.share))
	s.last, s.at = rejected, now
}

// Arrive counts a call and reports whether it is to be refused, as the service rejects more than it can serve. Unsafe calls are refused
// only if refusing all safe ones is not enough.
func (b *Balancer) Arrive(all []Candidate, k Kind, now time.Time) bool {
	b.arrivals.memory, b.safe.memory = rateMemory, rateMemory
	b.arrivals.add(now)
	if k == Safe {
		b.safe.add(now)
		b.safeAt = now
	}
	b.updateShed(all, now)
	return b.random() < b.shedShare(k, now)
}

// updateShed follows the rejections by the endpoint that rejects the fewest, as the service has room as long as one has.
func (b *Balancer) updateShed(all []Candidate, now time.Time) {
	s, fresh := &b.shed, b.fresh(now)
	if now.Sub(s.at) > summaryTTL { // nothing has confirmed the share since
		s.share, s.mean = 0, 0
	}
	if fresh && s.summary.Equal(b.summaryAt) || !fresh && now.Sub(s.at) < shedInterval || len(all) == 0 {
		return
	}
	s.summary = b.summaryAt
	rejected, known := 1.0, false
	for _, c := range all {
		e := b.endpointFor(c, now)
		if share(&e.failed, &e.outcomes, now) < failingShare {
			rejected, known = min(rejected, e.rejectedShare(fresh, now)), true
		}
	}
	if !known {
		rejected = 0
	}
	s.update(rejected, now)
}

// ShedShare returns the share of all calls that are refused at arrival.
func (b *Balancer) ShedShare() float64 { return b.shed.share }

// shedShare returns the share of the calls of a kind that are refused at arrival.
func (b *Balancer) shedShare(k Kind, now time.Time) float64 {
	safe := b.safe.value(now) / max(1, b.arrivals.value(now))
	switch {
	case b.shed.share == 0:
		return 0
	case k == Safe:
		return min(maxShed, b.shed.share/max(safe, 0.001))
	}
	return max(0, (b.shed.share-safe)/max(1-safe, 0.001))
}

// RetryAfter returns the time after which the first of the candidates has worked off the calls that it has now.
func (b *Balancer) RetryAfter(all []Candidate, now time.Time) time.Duration {
	least := maxDrain
	for _, c := range all {
		least = min(least, b.drainTime(c, now))
	}
	return least
}

// drainTime returns how long an endpoint takes to work off the calls that it has now.
func (b *Balancer) drainTime(c Candidate, now time.Time) time.Duration {
	e, fresh := b.endpointFor(c, now), b.fresh(now)
	ms, slots := e.mean(now), float64(max(1, c.Slots))
	if fresh && e.row {
		work := e.workMs(ms, fresh)
		ms = max(work, work*float64(e.openCalls(fresh))/slots)
	}
	return min(maxDrain, max(minDrain, time.Duration(ms*float64(time.Millisecond))))
}
