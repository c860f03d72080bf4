package permit

import (
	"math"
	"time"

	"jaywind"
)

const (
	firstShare   = 0.25                   // of the slots for which permits are granted at first, as calls of before may be under way
	growInterval = 150 * time.Millisecond // in which one more permit is granted while there is demand for it
	calmTime     = 2 * time.Second        // after a rejection, in which the number of permits does not grow
	strictTime   = 10 * time.Second       // the same if the endpoint tolerates one rejection or none
	window       = time.Second            // in which an endpoint counts the calls that it turns away
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
	limit    float64              // permits that may be held at the same time
	held     map[uint64]time.Time // ends of the leases, by permit
	taken    map[uint64]time.Time // when each was granted
	grownAt  time.Time            // when limit last grew, or could have
	calmTo   time.Time            // before which limit does not grow
	rejected []time.Time          // calls that were turned away lately
	hold     time.Duration        // moving average of the time for which permits are held
	queue    float64              // refused calls that are expected to come back
	queueAt  time.Time            // of queue
}

// Take grants a permit for a call to an endpoint, or refuses it.
func (o *Owner) Take(e jaywind.EndpointRef, q Question, now time.Time) Grant {
	p := o.poolOf(e, q, now)
	p.expire(now)
	if float64(len(p.held))+1 > p.limit {
		p.grow(q, now)
	}
	if float64(len(p.held))+1 > p.limit || p.isExhausted(q, now) {
		return Grant{Wait: p.wait(now)}
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
		p.limit = max(1, min(p.limit, under)-1)
		p.calmTo = now.Add(calmTime)
	case held:
		p.hold += (now.Sub(since) - p.hold) / 8
	}
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
	p := &pool{
		limit: max(1, math.Floor(firstShare*float64(q.Slots))), held: map[uint64]time.Time{}, taken: map[uint64]time.Time{},
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

// grow allows more permits, one for each growInterval since it last did, up to the slots of the endpoint.
func (p *pool) grow(q Question, now time.Time) {
	calm := p.calmTo
	if q.Tolerance <= 1 && !calm.IsZero() {
		calm = calm.Add(strictTime - calmTime)
	}
	if now.Before(calm) {
		p.grownAt = now
		return
	}
	steps := math.Floor(float64(now.Sub(p.grownAt)) / float64(growInterval))
	if steps < 1 {
		return
	}
	p.limit = min(p.limit+min(steps, 1+p.limit/4), math.Max(1, float64(q.Slots)))
	p.grownAt = now
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

// wait counts a refused call and returns when it may come back, so that those that were refused before it find permits, too.
func (p *pool) wait(now time.Time) time.Duration {
	perCall := float64(max(p.hold, time.Millisecond)) / max(1, p.limit)
	p.queue = max(0, p.queue-float64(now.Sub(p.queueAt))/perCall)
	p.queueAt = now
	p.queue++
	return min(maxWait, max(minWait, time.Duration(perCall*p.queue)))
}
