package limit

import (
	"math"
	"time"

	"jaywind"
)

const (
	// OwnerCount is the number of owners of an endpoint, so that half of its rate is left after the loss of one.
	OwnerCount = 2

	burstTime    = time.Second            // of the rate that may be granted at once after a time without requests
	urgentDebt   = 1                      // requests that urgent ones may be granted in advance
	yieldTime    = time.Second            // without grants to background work after a request was refused
	maxWait      = 5 * time.Second        // that a refused router is told to wait
	releaseStep  = 500 * time.Millisecond // in which the granted rate doubles after the end of a limit
	releaseTime  = 3 * time.Second        // after the end of a limit, until requests are not counted any more
	maxEndpoints = 4096                   // that are remembered
)

// Question asks an owner for requests to an endpoint.
type Question struct {
	Reading  Reading // the newest that the sender knows
	Count    int     // requests wanted; the first is needed now
	Priority jaywind.Priority
}

// Grant is an owner's answer.
type Grant struct {
	Reading  Reading       // the newest that the owner knows
	Released bool          // the limit has ended, and requests need not be counted any more
	Count    int           // requests granted; 0 if refused
	Wait     time.Duration // after a refusal, until a request may be granted
}

// Owner grants requests to limited endpoints. The zero value knows none.
type Owner struct {
	// OnLimited is called with each endpoint of which it becomes known that it is limited. May be nil.
	OnLimited func(e jaywind.EndpointRef, r Reading)
	// OnEnded is called with each endpoint of which it becomes known that its limit has ended. May be nil.
	OnEnded func(e jaywind.EndpointRef, r Reading)

	buckets map[jaywind.EndpointRef]*bucket
	offered float64 // requests that could have been granted so far
}

// bucket holds the requests to one endpoint that may be granted.
type bucket struct {
	reading Reading
	endedAt time.Time // when the end of the limit became known; zero while it lasts

	level     float64   // requests that may be granted; negative after urgent ones
	queue     float64   // refused requests that are expected to come back
	updatedAt time.Time // of the two before
	refusedAt time.Time // of the last request that was not background work
}

// Answer grants or refuses requests to an endpoint. The argument part is this owner's part of the endpoint's rate, from 0 to 1.
func (o *Owner) Answer(e jaywind.EndpointRef, q Question, part float64, now time.Time) Grant {
	b := o.learn(e, q.Reading, now)
	if b == nil || b.isReleased(now) {
		return Grant{Released: true}
	}
	o.offered += b.advance(part, now)
	if b.level < b.needed(q.Priority, part, now) {
		return Grant{Reading: b.reading, Wait: b.refuse(q.Priority, part, now)}
	}
	count := 1 + min(q.Count-1, int(max(0, b.level-1)/2))
	b.level -= float64(count)
	return Grant{Reading: b.reading, Count: count}
}

// Offered returns how many requests to all endpoints could have been granted so far, of which those over a burst have lapsed.
func (o *Owner) Offered() float64 { return o.offered }

// learn applies a sender's reading and returns the endpoint's bucket, or nil if no limit is known.
func (o *Owner) learn(e jaywind.EndpointRef, r Reading, now time.Time) *bucket {
	b := o.buckets[e]
	switch {
	case b == nil && !r.Limited:
		return nil
	case b == nil:
		if o.buckets == nil || len(o.buckets) >= maxEndpoints {
			o.buckets = map[jaywind.EndpointRef]*bucket{}
		}
		b = &bucket{reading: r, updatedAt: now}
		o.buckets[e] = b
		o.announce(e, r)
	case !r.differs(b.reading):
		if r.At.After(b.reading.At) {
			b.reading.At = r.At
		}
	case r.supersedes(b.reading) && r.Limited:
		if b.isReleased(now) {
			b.level, b.updatedAt = 0, now
			o.announce(e, r)
		}
		b.reading, b.endedAt = r, time.Time{}
	case r.supersedes(b.reading):
		b.reading.At, b.endedAt = r.At, now
		b.reading.Limited = false
		if o.OnEnded != nil {
			o.OnEnded(e, b.reading)
		}
	}
	return b
}

func (o *Owner) announce(e jaywind.EndpointRef, r Reading) {
	if o.OnLimited != nil {
		o.OnLimited(e, r)
	}
}

// isReleased reports whether the limit has ended and the requests are not counted any more.
func (b *bucket) isReleased(now time.Time) bool {
	return !b.reading.Limited && now.Sub(b.endedAt) > releaseTime
}

// rate returns the requests per second that this owner grants. They grow gradually after the end of a limit.
func (b *bucket) rate(part float64, now time.Time) float64 {
	rate := part * float64(b.reading.Rate)
	if !b.reading.Limited {
		rate *= math.Exp2(float64(now.Sub(b.endedAt)) / float64(releaseStep))
	}
	return rate
}

// capacity returns the most requests that may be granted at once.
func (b *bucket) capacity(part float64, now time.Time) float64 {
	return max(1, b.rate(part, now)*burstTime.Seconds())
}

// advance adds what may be granted since the last question, and returns it.
func (b *bucket) advance(part float64, now time.Time) float64 {
	passed := b.rate(part, now) * max(0, now.Sub(b.updatedAt).Seconds())
	b.updatedAt = now
	b.level = min(b.level+passed, b.capacity(part, now))
	b.queue = max(0, b.queue-passed)
	return passed
}

// needed returns the level at which a request is granted.
func (b *bucket) needed(p jaywind.Priority, part float64, now time.Time) float64 {
	switch {
	case p >= jaywind.PriorityUrgent:
		return 1 - urgentDebt
	case p >= jaywind.PriorityNormal:
		return 1
	case now.Sub(b.refusedAt) < yieldTime:
		return math.Inf(1)
	}
	return b.capacity(part, now)
}

// refuse counts a refused request and returns when it may be granted, if those that were refused before it come back too.
func (b *bucket) refuse(p jaywind.Priority, part float64, now time.Time) time.Duration {
	if p < jaywind.PriorityNormal {
		return yieldTime
	}
	b.refusedAt = now
	ahead := 1 - b.level
	if p == jaywind.PriorityNormal {
		ahead += b.queue
		b.queue++
	}
	return min(maxWait, b.timeFor(ahead, part, now))
}

// timeFor returns the time in which a number of requests is granted. After the end of a limit the rate doubles in each releaseStep, so that
// rate × releaseStep / ln 2 × (2^(t/releaseStep) - 1) are granted in t, and all of them once requests are not counted any more.
func (b *bucket) timeFor(requests, part float64, now time.Time) time.Duration {
	seconds := requests / b.rate(part, now)
	if b.reading.Limited {
		return time.Duration(seconds * float64(time.Second))
	}
	step := releaseStep.Seconds()
	growing := time.Duration(step * math.Log2(1+seconds*math.Ln2/step) * float64(time.Second))
	return min(growing, b.endedAt.Add(releaseTime).Sub(now)+time.Nanosecond)
}
