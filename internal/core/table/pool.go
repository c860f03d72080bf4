package table

import (
	"time"

	"jaywind"
)

// Pool is the work on one model: its queues and the limit of concurrent requests.
type Pool struct {
	Model         jaywind.Model
	Queues        map[jaywind.Organisation]*OrganisationQueue
	Queued        int     // requests in all queues
	Running       int     // requests that have started and not ended
	AwaitingFirst int     // the part of Running without a first token yet
	Backlog       int     // resumes that are waiting for an endpoint
	VirtualTime   float64 // virtual time of the fair queueing

	Limit         float64   // concurrent requests allowed if all endpoints are usable
	Usable        float64   // share of the endpoints that accept work
	LimitExceeded bool      // whether the limit has ever been found too high
	Began         time.Time // when the first request arrived
	Rate          float64   // requests started per second while others were queued
	BestLatency   Latency   // best latency observed
	Window        Window
}

// OrganisationQueue is the queue of one organisation in a pool.
type OrganisationQueue struct {
	Name       jaywind.Organisation
	Weight     float64
	FinishTime float64 // virtual finish time of the requests that the queue has started
	Requests   []jaywind.RequestID
}

// Latency is how fast a pool's engines answer.
type Latency struct {
	First time.Duration // time to first token
	Gap   time.Duration // time between tokens
}

// Window holds a pool's measurements since its limit was last adjusted.
type Window struct {
	Since               time.Time
	Started             int
	LimitHit            bool // whether the limit has delayed a request
	Refused             int  // calls refused by endpoints
	GrownFor            int  // first tokens in time that the limit has already grown for
	PrefillInterference bool // whether prefills slowed down decoding, so that gaps between tokens say nothing about the limit
	Overdue             int  // attempts whose first token is already late

	Firsts     int
	LateFirsts int
	FirstTime  time.Duration // total
	Gaps       int
	LateGaps   int
	GapTime    time.Duration // total
}

// Latencies up to which an answer never counts as late, however low the best latency is.
const (
	FirstTarget = 500 * time.Millisecond // leaves the rest of the 860 ms target to the time in the queue
	GapTarget   = 34 * time.Millisecond
)

const (
	lateFactor    = 1.5 // late above this multiple of the best latency
	lateMaxFactor = 4   // always late above this multiple of the target
)

// lateThreshold returns the latency above which an answer counts as late.
func lateThreshold(target, base time.Duration) time.Duration {
	return min(max(target, time.Duration(lateFactor*float64(base))), lateMaxFactor*target)
}

// LateGapThreshold returns the gap between tokens above which a token counts as late.
func (p *Pool) LateGapThreshold() time.Duration {
	return lateThreshold(GapTarget, p.BestLatency.Gap)
}

// ObserveFirstToken counts the time to first token of an attempt with that many prompt tokens, less the time assumed for
// its prefill.
func (p *Pool) ObserveFirstToken(d time.Duration, tokens int) {
	d = max(0, d-time.Duration(tokens)*time.Second/PrefillRate)
	p.Window.Firsts++
	p.Window.FirstTime += d
	if d > lateThreshold(FirstTarget, p.BestLatency.First) {
		p.Window.LateFirsts++
	}
}

// ObserveGap counts the time between two tokens.
func (p *Pool) ObserveGap(d time.Duration) {
	p.Window.Gaps++
	p.Window.GapTime += d
	if d > p.LateGapThreshold() {
		p.Window.LateGaps++
	}
}
