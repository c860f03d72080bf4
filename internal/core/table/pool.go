package table

import (
	"time"

	"jaywind"
)

// Pool is the work on one model: its queue, and the limit of what runs at once.
type Pool struct {
	Model   jaywind.Model
	Lanes   map[jaywind.Organisation]*Lane
	Queued  int     // requests in all lanes
	Running int     // requests that were started and have not ended
	Opening int     // of Running, those without a first token
	Backlog int     // resumes that wait for an endpoint
	Virtual float64 // virtual time of the fair queue

	Limit  float64   // requests that may run at once with all endpoints
	Usable float64   // share of the endpoints that accept work
	Proved bool      // whether the limit has once been too high
	Began  time.Time // when the first request came
	Rate   float64   // requests started a second, while some were queued
	Base   Pace      // the best pace seen
	Window Window
}

// Lane is the queue of one organisation in a pool.
type Lane struct {
	Name     jaywind.Organisation
	Weight   float64
	Finish   float64 // virtual time at which what the lane has started is paid
	Requests []jaywind.RequestID
}

// Pace is how fast a pool's engines answer.
type Pace struct {
	First time.Duration // to the first token
	Gap   time.Duration // between tokens
}

// Window is what a pool has seen since its limit was last adjusted.
type Window struct {
	Since   time.Time
	Started int
	Full    bool // whether the limit has held a request back
	Refused int  // calls that endpoints refused
	Ramped  int  // first tokens that the limit has grown for
	Mixed   bool // whether prefills slowed the tokens down, so that gaps say nothing of the limit
	Overdue int  // attempts whose first token is late by now

	Firsts     int
	LateFirsts int
	FirstTime  time.Duration // in all
	Gaps       int
	LateGaps   int
	GapTime    time.Duration // in all
}

// The paces up to which an answer is never late, however fast others are.
const (
	FirstTarget = 500 * time.Millisecond // leaves part of the 860 ms target to the queue
	GapTarget   = 34 * time.Millisecond
)

const (
	lateFactor = 1.5 // pace that is late, as a multiple of the best one
	lateCap    = 4   // the same, as a multiple of the target, that is late in any case
)

func lateAfter(target, base time.Duration) time.Duration {
	return min(max(target, time.Duration(lateFactor*float64(base))), lateCap*target)
}

// LateGap returns the gap between tokens from which one is late.
func (p *Pool) LateGap() time.Duration {
	return lateAfter(GapTarget, p.Base.Gap)
}

// NoteFirst counts the time to a first token after an attempt of so many prompt tokens was opened.
func (p *Pool) NoteFirst(d time.Duration, tokens int) {
	d = max(0, d-time.Duration(tokens)*time.Second/PrefillRate)
	p.Window.Firsts++
	p.Window.FirstTime += d
	if d > lateAfter(FirstTarget, p.Base.First) {
		p.Window.LateFirsts++
	}
}

// NoteGap counts the time between two tokens.
func (p *Pool) NoteGap(d time.Duration) {
	p.Window.Gaps++
	p.Window.GapTime += d
	if d > p.LateGap() {
		p.Window.LateGaps++
	}
}
