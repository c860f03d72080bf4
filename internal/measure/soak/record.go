package soak

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"jaywind/platform/standin"
)

const (
	patience  = 3 * time.Second         // past its own limit, after which a caller gives up on an answer
	lateBound = 500 * time.Millisecond  // past a route's time
	leftBound = 500 * time.Millisecond  // for work to stop after its caller has left
	slack     = 1500 * time.Millisecond // for processes that share a machine with all others and with the checks
)

// Violation is one promise that was broken.
type Violation struct {
	Promise string
	Request string // its id, if it is about one
	What    string
}

// record keeps what callers and replicas saw and finds what must not be.
type record struct {
	fleet *fleet
	rules *rules
	begun time.Time
	out   io.Writer

	mu       sync.Mutex
	attempts map[string]*attempt
	sights   map[string][]standin.Sight // by attempt
	broken   []Violation
	outcomes map[string]int
}

func newRecord(f *fleet, u *rules, out io.Writer) *record {
	return &record{fleet: f, rules: u, begun: time.Now(), out: out,
		attempts: map[string]*attempt{}, sights: map[string][]standin.Sight{}, outcomes: map[string]int{}}
}

// note prints a line with the time of the run.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f "+format+"\n", append([]any{time.Since(r.begun).Seconds()}, args...)...)
}

func (r *record) fail(promise, request, what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, Violation{promise, request, what})
}

// see takes what a replica saw.
func (r *record) see(s standin.Sight) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sights[s.Attempt] = append(r.sights[s.Attempt], s)
}

// judge checks an attempt that has ended by what its caller saw.
func (r *record) judge(a *attempt) {
	r.mu.Lock()
	r.attempts[a.id] = a
	r.outcomes[a.outcome()]++
	r.mu.Unlock()
	if a.disorder != "" {
		r.fail("order", a.id, a.disorder)
	}
	switch {
	case a.status == http.StatusOK && !a.sealed:
		r.fail("whole", a.id, "a success without an endpoint's seal")
	case a.status == http.StatusOK && a.stream() && a.whole && a.after+a.got != events:
		r.fail("whole", a.id, fmt.Sprintf("a stream ends as complete after event %d", a.after+a.got))
	case a.status == http.StatusOK && !a.stream() && a.whole && a.text != "POST "+a.target+" "+a.body:
		r.fail("whole", a.id, fmt.Sprintf("the answer is %q", a.text))
	case a.status/100 == 4 && !r.mayDeny(a):
		r.fail("denied", a.id, fmt.Sprintf("status %d", a.status))
	}
	if took := a.ended.Sub(a.sent); took > a.limit()+lateBound+slack && !a.at.disturbed(a.sent, a.ended, slack) {
		r.fail("late", a.id, fmt.Sprintf("answered by %s after %v", a.at.name, took.Round(time.Millisecond)))
	}
}

func (a *attempt) limit() time.Duration {
	if a.stream() {
		return streamTime
	}
	return plainTime
}

func (a *attempt) outcome() string {
	kind := map[string]string{"/stream/": "stream", "/buy/": "unsafe"}[a.prefix]
	if kind == "" {
		kind = "safe"
	}
	switch {
	case a.status == 0:
		return kind + " no answer"
	case !a.left.IsZero():
		return kind + " caller left"
	case !a.whole:
		return kind + " broken off"
	}
	return fmt.Sprintf("%s %d", kind, a.status)
}

// mayDeny tells whether a request may be refused for good: its key was taken away, or its route was just added.
func (r *record) mayDeny(a *attempt) bool {
	if a.key != "key" && a.status == http.StatusUnauthorized {
		return true // keys come and go, and which one was drawn is older than the request
	}
	if a.prefix[:4] != "/new" || a.status != http.StatusNotFound {
		return false
	}
	_, since, _ := r.rules.newest()
	return a.sent.Sub(since) < applyTime+slack || !r.fleet.inTouch(a.at, since, a.sent)
}

// crossing is how long before a process ends a request may still be on its way to it.
const crossing = 300 * time.Millisecond

// mayClose tells whether an answer may be missing or cut: its router was killed or paused, or it had left in time. A
// router that was asked to end finishes what it has, for as long as its grace lasts.
func (a *attempt) mayClose() bool {
	a.at.mu.Lock()
	defer a.at.mu.Unlock()
	for _, s := range a.at.spans {
		if !s.overlaps(a.sent, a.ended, slack) {
			continue
		}
		if s.asked.IsZero() || a.sent.After(s.from.Add(-crossing)) || s.from.Sub(s.asked) >= grace*5/6 {
			return true
		}
	}
	return false
}

func (a *attempt) brokenOff() bool { return a.status == http.StatusOK && !a.whole && a.left.IsZero() }

// leaving tells whether a process ended by itself just before a time.
func (p *process) leaving(at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.spans, func(s span) bool { return !s.asked.IsZero() && at.Sub(s.from).Abs() < crossing })
}

// settle checks what only the whole run shows: callers' and replicas' sights together, and with them when routers ended,
// which is known a little later than their callers see it.
func (r *record) settle() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, a := range r.attempts {
		runs := 0
		for _, s := range r.sights[id] {
			if s.What == "run" {
				runs++
				r.settleRun(a, s)
			}
			r.settleLeft(a, s)
		}
		if a.status == 0 && !a.mayClose() {
			r.broken = append(r.broken, Violation{"answer", id, fmt.Sprintf("no answer from %s: %v", a.at.name, a.err)})
		}
		if a.brokenOff() && a.at.leaving(a.ended) && !a.mayClose() {
			r.broken = append(r.broken, Violation{"answer", id, fmt.Sprintf("broken off by %s, which was asked to end", a.at.name)})
		}
		promised := a.status == http.StatusServiceUnavailable && !a.sealed
		if a.unsafe() && runs > 1 {
			r.broken = append(r.broken, Violation{"once", id, fmt.Sprintf("an unsafe call ran %d times", runs)})
		}
		if a.unsafe() && promised && runs > 0 {
			r.broken = append(r.broken, Violation{"refused", id, "a call that was refused as not run has run"})
		}
	}
	for id := range r.sights {
		if r.attempts[id] == nil {
			r.broken = append(r.broken, Violation{"unasked", id, "a replica ran what no caller sent"})
		}
	}
	r.settleBudget()
}

// settleRun checks one run of a request; the caller holds mu.
func (r *record) settleRun(a *attempt, s standin.Sight) {
	at := time.UnixMilli(s.At)
	if s.Target != a.target {
		r.broken = append(r.broken, Violation{"unasked", a.id, "it ran with the target " + s.Target})
	}
	if s.Draining > 0 {
		since := time.UnixMilli(s.Draining)
		if at.Sub(since) > drainTime+standin.Heartbeat+slack && r.fleet.inTouch(a.at, since, at) {
			r.broken = append(r.broken, Violation{"drain", a.id, fmt.Sprintf("%s got it %v after it began to drain", s.Replica, at.Sub(since))})
		}
	}
	if since := r.rules.revoked(s.Organisation); !since.IsZero() && at.Sub(since) > revokeTime+slack && r.fleet.inTouch(a.at, since, at) {
		r.broken = append(r.broken, Violation{"revoked", a.id, fmt.Sprintf("it ran %v after its key was revoked", at.Sub(since))})
	}
}

// settleLeft checks that no replica begins or goes on with a request once its caller has left; the caller holds mu.
func (r *record) settleLeft(a *attempt, s standin.Sight) {
	at := time.UnixMilli(s.At)
	if a.left.IsZero() || at.Sub(a.left) <= leftBound+slack || a.at.disturbed(a.left, at, slack) {
		return
	}
	for _, e := range r.fleet.replicas {
		if strings.HasPrefix(s.Replica, "i-"+e.name+"-") && e.disturbed(a.sent, at, slack) {
			return // what says that the caller has left may not get there
		}
	}
	r.broken = append(r.broken, Violation{"gone", a.id, fmt.Sprintf("%s at %s %v after its caller had left", s.What, s.Replica, at.Sub(a.left))})
}

const (
	budgetWindow = 10 * time.Second
	budgetShare  = 0.8
	budgetSpare  = 150
)

// settleBudget checks the runs beyond the first of each request against the fleet's budget; the caller holds mu.
func (r *record) settleBudget() {
	var first, again []time.Time
	for _, all := range r.sights {
		seen := false
		for _, s := range all {
			if s.What != "run" {
				continue
			}
			if seen {
				again = append(again, time.UnixMilli(s.At))
				continue
			}
			seen = true
		}
	}
	for _, a := range r.attempts {
		first = append(first, a.sent)
	}
	byTime := func(all []time.Time) { sort.Slice(all, func(i, j int) bool { return all[i].Before(all[j]) }) }
	byTime(first)
	byTime(again)
	count := func(all []time.Time, from time.Time, span time.Duration) (n int) {
		for _, at := range all {
			if !at.Before(from) && at.Sub(from) < span {
				n++
			}
		}
		return n
	}
	for _, from := range again {
		repeats := count(again, from, budgetWindow)
		requests := max(count(first, from, budgetWindow), count(first, from.Add(-budgetWindow), budgetWindow))
		if float64(repeats) > budgetShare*float64(requests)+budgetSpare {
			r.broken = append(r.broken, Violation{"budget", "", fmt.Sprintf("%d repeats for %d requests within %v", repeats, requests, budgetWindow)})
			return
		}
	}
}
