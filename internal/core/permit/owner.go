package permit

import (
	"math"
	"time"

	"jaywind"
)

const (
	firstShare   = 0.25                   // of the slots for which a new owner grants permits at first, as those of the one before are in use
	growInterval = 100 * time.Millisecond // in which the number of permits grows by a quarter while there is demand for more
	probeTime    = time.Second            // in which one more permit is granted than were held when a call was turned away
	strictTime   = 4 * time.Second        // the same if the endpoint tolerates one rejection or none
	onsetShare   = 0.5                    // of the slots for which permits are granted after the onset, if the endpoint tolerates one rejection or none; with 0.65, up to 7 of 24 endpoints of the model fall
	onsetHolds   = 4                      // times the longest hold of a permit, for which onsetShare holds; queued calls of before the onset run for up to that time after the first permits
	settleTime   = 4 * time.Second        // after the first permit, in which rejections are put down to calls without permits
	cutFactor    = 0.7                    // of the number of permits that is left after a rejection
	cutInterval  = 200 * time.Millisecond // in which further rejections are taken for those of calls that were under way
	window       = time.Second            // in which an endpoint counts the calls that it turns away
	earlyReturn  = 0.5                    // of the time that all waiting routers need on average, so that a free permit finds a router
	minWait      = 10 * time.Millisecond  // that a refused router is told to wait
	maxWait      = 2 * time.Second
	maxLease     = time.Minute
	usualHold    = 100 * time.Millisecond // for which permits are held, until some were returned
)

// Question asks for a permit.
type Question struct {
	Slots     int           // calls that the endpoint runs concurrently
	Tolerance int           // calls that it may turn away in a second
	Lease     time.Duration // after which the permit ends if it is not returned
	Routers   int           // that may ask, of which each waits after a refusal
	// Substitute says that the asked router answers in place of the owner, which may have permits in use.
	Substitute bool
	Onset      bool // the endpoints of the service have become brittle only now, so that no other owner has granted permits
}

// Grant is an owner's answer.
type Grant struct {
	ID   uint64        // of the permit; 0 if none is granted
	Wait time.Duration // after a refusal, until a permit may be free
}

// Granted reports whether a permit is granted.
func (g Grant) Granted() bool { return g.ID != 0 }

// Owner grants permits for calls to endpoints. The zero value has granted none.
type Owner struct {
	pools  map[jaywind.EndpointRef]*pool
	lastID uint64
}

// pool holds the permits for one endpoint.
type pool struct {
	since    time.Time            // of the first permit
	onset    bool                 // calls without permits, which were under way then, may still be
	longest  time.Duration        // hold of a permit while onset lasts
	limit    float64              // permits that may be held at the same time
	held     map[uint64]time.Time // ends of the leases, by permit
	taken    map[uint64]time.Time // when each was granted
	grownAt  time.Time            // when limit last grew, or could have
	ceiling  float64              // limit at the last rejection, over which it grows slowly; 0 for none
	cutAt    time.Time            // when limit was last cut
	rejected []time.Time          // calls that were turned away lately
	hold     time.Duration        // moving average of the time for which permits are held
	queue    float64              // refused routers that are expected to come back
	queueAt  time.Time            // of queue
}

// Take grants a permit for a call to an endpoint, or refuses it.
func (o *Owner) Take(e jaywind.EndpointRef, q Question, now time.Time) Grant {
	p := o.poolOf(e, q, now)
	p.expire(now)
	if float64(len(p.held))+1 > p.limit {
		p.grow(q, now)
	}
	if float64(len(p.held))+1 > p.allowed(q, now) || p.isExhausted(q, now) {
		return Grant{Wait: p.wait(q, now)}
	}
	o.lastID++
	p.held[o.lastID] = now.Add(min(q.Lease, maxLease))
	p.taken[o.lastID] = now
	return Grant{ID: o.lastID}
}

// Return ends a permit. Rejected says that the endpoint has turned the call away for want of room.
func (o *Owner) Return(e jaywind.EndpointRef, id uint64, rejected bool, now time.Time) {
	p := o.pools[e]
	if p == nil {
		return
	}
	since, held := p.taken[id]
	under := float64(len(p.held))
	delete(p.held, id)
	delete(p.taken, id)
	switch {
	case rejected:
		p.rejected = append(p.rejected, now)
		p.cut(under, now)
	case held:
		if p.onset {
			p.longest = max(p.longest, now.Sub(since))
		}
		p.hold += (now.Sub(since) - p.hold) / 8
	}
}

// cut reduces the number of permits after a rejection, when so many were held.
func (p *pool) cut(held float64, now time.Time) {
	if now.Sub(p.cutAt) < cutInterval {
		return
	}
	level := max(1, min(p.limit, held)-1)
	if now.Sub(p.since) >= settleTime {
		p.ceiling = level
	}
	p.limit = max(1, math.Floor(cutFactor*level))
	p.cutAt, p.grownAt = now, now
}

// Held returns the number of permits in use.
func (o *Owner) Held() (n int) {
	for _, p := range o.pools {
		n += len(p.held)
	}
	return n
}

func (o *Owner) poolOf(e jaywind.EndpointRef, q Question, now time.Time) *pool {
	if p := o.pools[e]; p != nil {
		return p
	}
	if o.pools == nil || len(o.pools) >= maxEndpoints {
		o.pools = map[jaywind.EndpointRef]*pool{}
	}
	share := firstShare
	if q.Onset {
		share = 1
	}
	p := &pool{
		since: now, onset: q.Onset, limit: max(1, math.Floor(share*float64(q.Slots))), held: map[uint64]time.Time{}, taken: map[uint64]time.Time{},
		grownAt: now, queueAt: now, hold: usualHold,
	}
	o.pools[e] = p
	return p
}

// expire ends the permits whose leases are over, and forgets old rejections.
func (p *pool) expire(now time.Time) {
	for id, until := range p.held {
		if !now.Before(until) {
			delete(p.held, id)
			delete(p.taken, id)
		}
	}
	for len(p.rejected) > 0 && now.Sub(p.rejected[0]) >= window {
		p.rejected = p.rejected[1:]
	}
}

// grow allows more permits, up to the slots of the endpoint: by a quarter in each growInterval up to the last level at which a call was
// not turned away, and then one at a time.
func (p *pool) grow(q Question, now time.Time) {
	interval, step := growInterval, max(1, p.limit/4)
	if p.ceiling > 0 && p.limit >= p.ceiling {
		interval, step = probeTime, 1
		if q.Tolerance <= 1 {
			interval = strictTime
		}
	}
	if now.Sub(p.grownAt) < interval {
		return
	}
	if p.ceiling > p.limit {
		step = min(step, p.ceiling-p.limit)
	}
	p.limit = min(p.limit+step, max(1, float64(q.Slots)))
	p.grownAt = now
}

// allowed returns the number of permits that may be held now. Those of a substitute may all be rejected. After the onset, calls without permits
// still take some of the slots; an endpoint that tolerates no rejection must have room for both kinds when its queue shrinks.
func (p *pool) allowed(q Question, now time.Time) float64 {
	if q.Substitute {
		return min(p.limit, float64(q.Tolerance)/2)
	}
	if age := now.Sub(p.since); age >= settleTime || p.longest > 0 && age >= onsetHolds*p.longest {
		p.onset = false
	}
	if p.onset && q.Tolerance <= 1 {
		return min(p.limit, max(1, math.Floor(onsetShare*float64(q.Slots))))
	}
	return p.limit
}

// isExhausted reports whether the endpoint might fall over if it turned further calls away now.
func (p *pool) isExhausted(q Question, now time.Time) bool {
	n := 0
	for _, at := range p.rejected {
		if now.Sub(at) < window {
			n++
		}
	}
	return n > 0 && 2*n >= q.Tolerance
}

// wait counts a refused router and returns when it may ask again, so that those that were refused before it find permits, too.
func (p *pool) wait(q Question, now time.Time) time.Duration {
	perCall := float64(max(p.hold, time.Millisecond)) / max(1, p.limit)
	p.queue = max(0, p.queue-float64(now.Sub(p.queueAt))/perCall)
	p.queueAt = now
	p.queue = min(p.queue+1, float64(max(1, q.Routers)))
	return min(maxWait, max(minWait, time.Duration(earlyReturn*perCall*p.queue)))
}
