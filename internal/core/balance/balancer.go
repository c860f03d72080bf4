package balance

import (
	"maps"
	"math"
	"slices"
	"time"

	"jaywind/internal/core/schedule"
)

const (
	summaryTTL    = 2500 * time.Millisecond // for which a summary counts, as long as the report of a router at the owner
	ownAlpha      = 0.15                    // weight of an own call in the learned time, so that one call of eight times the mean marks an endpoint as slow
	openMemory    = 2 * time.Second         // over which the open calls in summaries are averaged, as each shows a snapshot only
	idleAlpha     = 0.1                     // weight of a longer time without waiting calls, as learned times fall only after a queue has gone
	fleetAlpha    = 0.3                     // weight of a summary in the rate of all routers, of which each shows a snapshot only
	rejectMemory  = time.Second             // in which own rejections lose most of their weight
	failureMemory = 10 * time.Second        // the same for own failures, which summaries do not contain
	rateMemory    = 5 * time.Second         // over which the rate of own calls is averaged
	sustained     = 2 * time.Second         // for which an endpoint is slow before it counts as slow; short slow periods of 600 ms and their trace in the averages are over by then
	idleTTL       = time.Minute             // after which an endpoint without calls and summaries is forgotten
)

// Kind tells whether a call may run more than once.
type Kind int

// The kinds of calls.
const (
	Safe   Kind = iota // may run any number of times
	Unsafe             // runs at most once
)

// Outcome is how an attempt ended.
type Outcome int

// The outcomes.
const (
	Answered  Outcome = iota
	Rejected          // turned away by the endpoint
	Failed            // with an error
	TimedOut          // not answered within the caller's time
	Abandoned         // ended by the caller
	NotSent
)

// Candidate is an endpoint that may take a call.
type Candidate struct {
	Key   schedule.Key
	Slots int // calls that it processes concurrently
}

// Choice is the endpoint chosen for a call, with the figures that decided.
type Choice struct {
	Index    int // in the candidates; -1 if there are none
	Key      schedule.Key
	Probe    bool          // the endpoint is slow or turns calls away, and is tried
	Expected time.Duration // of the call there; 0 if nothing is known
	Open     int           // calls under way there, as far as known
	Bad      float64       // share of its calls that are rejected or fail
}

// Call is an attempt that has started.
type Call struct {
	key       schedule.Key
	endpoint  *endpoint
	startedAt time.Time
	probe     bool
}

// Endpoint returns the key of the endpoint to which the call is sent.
func (c *Call) Endpoint() schedule.Key { return c.key }

// endpoint is what is known of an endpoint.
type endpoint struct {
	meanMs  float64   // learned time of a call; 0 if not measured
	samples int       // own calls in it since the start
	at      time.Time // when it was last used

	open  map[*Call]struct{} // own calls
	probe bool               // one of them is a probe

	row        bool    // the last summary has the endpoint
	othersOpen int     // calls of all routers in the last summary, less the own calls at that time
	openMean   float64 // average of the calls of all routers under way
	slots      int     // as last seen among candidates; 0 before
	idleMs     float64 // learned time in summaries without waiting calls; 0 if not known
	works      []work  // of the last summaries, oldest first
	rejections float64 // share of all routers' calls, in the last summary

	calls      decayingCount // own, over rejectMemory
	rejected   decayingCount // of them
	outcomes   decayingCount // as calls, over failureMemory
	failed     decayingCount // of them
	unreported schedule.PlainSample
	summarised bool // meanMs is from a summary
}

// Balancer chooses the endpoints of the plain calls to one service. The zero value knows nothing.
type Balancer struct {
	Routers int            // number of routers that call the service; less than 1 counts as 1
	Random  func() float64 // in [0, 1); rand.Float64 if nil

	endpoints map[schedule.Key]*endpoint
	summaryAt time.Time     // when the last summary was made
	fleetRate float64       // calls of all routers a second, by the summaries; 0 if not known
	arrivals  decayingCount // own
	safe      decayingCount // own arrivals that are safe
	safeAt    time.Time     // last safe arrival
	shed      shedder
}

// endpointOf returns the endpoint with a key, which it adds if it is new.
func (b *Balancer) endpointOf(k schedule.Key, now time.Time) *endpoint {
	e := b.endpoints[k]
	if e == nil {
		if b.endpoints == nil {
			b.endpoints = map[schedule.Key]*endpoint{}
		}
		e = &endpoint{open: map[*Call]struct{}{}, calls: decayingCount{memory: rejectMemory}, rejected: decayingCount{memory: rejectMemory},
			outcomes: decayingCount{memory: failureMemory}, failed: decayingCount{memory: failureMemory}}
		e.unreported.Endpoint = k
		b.endpoints[k] = e
	}
	e.at = now
	return e
}

// endpointFor returns the endpoint of a candidate.
func (b *Balancer) endpointFor(c Candidate, now time.Time) *endpoint {
	e := b.endpointOf(c.Key, now)
	e.slots = max(1, c.Slots)
	return e
}

// Apply takes over a summary, which was made at a time by this router's clock. An older one than the last is ignored.
func (b *Balancer) Apply(s schedule.Summary, at time.Time) {
	if len(s.Rows) == 0 || at.Before(b.summaryAt) {
		return
	}
	keep := math.Exp(-float64(at.Sub(b.summaryAt)) / float64(openMemory)) // 0 for the first one
	b.summaryAt = at
	for k, e := range b.endpoints {
		e.row = false
		if len(e.open) == 0 && at.Sub(e.at) > idleTTL {
			delete(b.endpoints, k)
		}
	}
	perSecond := 0.0
	for _, row := range s.Rows {
		e := b.endpointOf(row.Endpoint, at)
		e.row, e.rejections = true, row.Rejections
		e.othersOpen = row.Open - len(e.open)
		e.openMean = float64(row.Open) + keep*(e.openMean-float64(row.Open))
		if row.MeanMs > 0 {
			e.meanMs, e.summarised = row.MeanMs, true
			if max(e.openMean, float64(row.Open)) <= float64(e.slots) {
				e.learnIdle(row.MeanMs)
			}
			e.addWork(at)
			perSecond += float64(row.Open) / row.MeanMs * 1000 // Little's law
		}
	}
	if b.fleetRate == 0 {
		b.fleetRate = perSecond
	}
	b.fleetRate += fleetAlpha * (perSecond - b.fleetRate)
}

// work is how long an endpoint has worked on a call, at a time.
type work struct {
	at time.Time
	ms float64
}

// workMs returns the learned time of a call without its wait. By Little's law the average of open calls, which only summaries tell,
// grows with the wait. The result is not below the learned time when no call waited, as a queue grows before the learned time does.
func (e *endpoint) workMs(meanMs float64, fresh bool) float64 {
	if e.slots == 0 || !fresh || !e.row {
		return meanMs
	}
	return min(meanMs, max(e.idleMs, meanMs*float64(e.slots)/max(1, e.openMean)))
}

// learnIdle counts the learned time of a summary without waiting calls. A shorter one counts at once.
func (e *endpoint) learnIdle(ms float64) {
	if e.idleMs == 0 || ms < e.idleMs {
		e.idleMs = ms
		return
	}
	e.idleMs += idleAlpha * (ms - e.idleMs)
}

// addWork keeps the time of work that a summary shows.
func (e *endpoint) addWork(at time.Time) {
	e.works = append(e.works, work{at, e.workMs(e.meanMs, true)})
	for len(e.works) > 2 && at.Sub(e.works[0].at) > sustained {
		e.works = e.works[1:]
	}
}

// sustainedMs returns the least time of work of late. Without summaries all there is is the learned time.
func (e *endpoint) sustainedMs(meanMs float64, fresh bool) float64 {
	ms := e.workMs(meanMs, fresh)
	if !fresh || !e.row {
		return ms
	}
	for _, w := range e.works {
		ms = min(ms, w.ms)
	}
	return ms
}

// fresh reports whether the last summary counts.
func (b *Balancer) fresh(now time.Time) bool {
	return !b.summaryAt.IsZero() && now.Sub(b.summaryAt) <= summaryTTL
}

// Start counts a call that is sent to the endpoint of a choice, until End.
func (b *Balancer) Start(c Choice, now time.Time) *Call {
	e := b.endpointOf(c.Key, now)
	call := &Call{key: c.Key, endpoint: e, startedAt: now, probe: c.Probe}
	e.open[call] = struct{}{}
	e.probe = e.probe || c.Probe
	return call
}

// End records the outcome of a call.
func (b *Balancer) End(c *Call, o Outcome, now time.Time) {
	e, took := c.endpoint, now.Sub(c.startedAt)
	if _, open := e.open[c]; !open {
		return
	}
	delete(e.open, c)
	e.at = now
	if c.probe {
		e.probe = false
	}
	if o == TimedOut && inMs(took) > suddenFactor*e.meanMs { // a caller may allow too little time
		o = Failed
	}
	switch o {
	case Answered:
		e.unreported.Calls++
		e.unreported.Time += took
		e.learn(took)
	case Rejected:
		e.unreported.Rejected++
		e.rejected.add(now)
	case Failed:
		e.unreported.Failed++
		e.failed.add(now)
		e.learnAtLeast(took)
	case TimedOut, Abandoned:
		e.learnAtLeast(took)
		return
	default:
		return
	}
	e.calls.add(now)
	e.outcomes.add(now)
}

// learn counts the time of an own call in the learned time.
func (e *endpoint) learn(took time.Duration) {
	ms := inMs(took)
	if e.meanMs == 0 {
		e.meanMs = ms
	}
	e.meanMs += ownAlpha * (ms - e.meanMs)
	e.samples++
}

// learnAtLeast counts a call that was not answered as one that takes as long as it has taken, if that is longer than usual.
func (e *endpoint) learnAtLeast(took time.Duration) {
	if e.meanMs > 0 && inMs(took) > e.meanMs {
		e.learn(took)
	}
}

// Samples returns what the next report says of the own calls, and counts from there.
func (b *Balancer) Samples() []schedule.PlainSample {
	var all []schedule.PlainSample
	for _, k := range slices.Sorted(maps.Keys(b.endpoints)) {
		e := b.endpoints[k]
		m := e.unreported
		m.Open = len(e.open)
		if m.Calls+m.Rejected+m.Failed+m.Open > 0 {
			all = append(all, m)
		}
		e.unreported = schedule.PlainSample{Endpoint: k}
	}
	return all
}

// inMs returns a duration in ms.
func inMs(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
