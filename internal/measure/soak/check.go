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
	callerMargin    = 3 * time.Second         // that a caller waits past the timeout that it sent
	maxLateness     = 500 * time.Millisecond  // of a response, past the timeout of its route
	cancelLimit     = 500 * time.Millisecond  // for work to stop after its caller has disconnected
	schedulingSlack = 1500 * time.Millisecond // all processes and the checks share one machine
)

// Violation is one violated guarantee.
type Violation struct {
	Guarantee string
	RequestID string // empty if it is not about one request
	Detail    string
}

// checker collects what callers and replicas observed and finds violations.
type checker struct {
	fleet     *fleet
	config    *operatorConfig
	startedAt time.Time
	out       io.Writer

	mu         sync.Mutex
	attempts   map[string]*attempt
	events     map[string][]standin.RunEvent // by attempt id
	crashedAt  map[string]time.Time          // when replicas crashed under a part, by their ids
	limits     map[string][]span             // when replicas named a limit, by their ids
	violations []Violation
	bursts     []span // of bulk streams
	outcomes   map[string]int
}

func newChecker(f *fleet, u *operatorConfig, out io.Writer) *checker {
	return &checker{fleet: f, config: u, startedAt: time.Now(), out: out,
		attempts: map[string]*attempt{}, events: map[string][]standin.RunEvent{}, crashedAt: map[string]time.Time{}, limits: map[string][]span{}, outcomes: map[string]int{}}
}

// logf prints a line, prefixed by the seconds since the start.
func (r *checker) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f "+format+"\n", append([]any{time.Since(r.startedAt).Seconds()}, args...)...)
}

func (r *checker) report(guarantee, requestID, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, Violation{guarantee, requestID, detail})
}

// addEvent records an event of a replica.
func (r *checker) addEvent(s standin.RunEvent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events[s.AttemptID] = append(r.events[s.AttemptID], s)
	if s.Kind == "crash" {
		r.crashedAt[s.Replica] = time.UnixMilli(s.UnixMilli)
	}
}

// checkAttempt records a finished attempt and checks what its caller observed.
func (r *checker) checkAttempt(a *attempt) {
	r.mu.Lock()
	r.attempts[a.id] = a
	r.outcomes[a.describe()]++
	r.mu.Unlock()
	if a.eventError != "" {
		r.report("order", a.id, a.eventError)
	}
	switch {
	case a.status == http.StatusOK && !a.fromEndpoint:
		r.report("whole", a.id, "a response with status 200 lacks the seal of an endpoint")
	case a.status == http.StatusOK && a.isStream() && a.complete && a.after+a.received != streamEvents:
		r.report("whole", a.id, fmt.Sprintf("stream ended as if complete after event %d", a.after+a.received))
	case a.status == http.StatusOK && !a.isStream() && a.complete && a.responseBody != "POST "+a.target+" "+a.body:
		r.report("whole", a.id, fmt.Sprintf("wrong response body %q", a.responseBody))
	case a.status/100 == 4 && !r.mayReject(a):
		r.report("denied", a.id, fmt.Sprintf("status %d", a.status))
	}
	if took := a.endedAt.Sub(a.sentAt); took > a.timeout()+maxLateness+schedulingSlack && !a.router.disturbed(a.sentAt, a.endedAt, schedulingSlack) {
		r.report("late", a.id, fmt.Sprintf("%s responded after %v", a.router.name, took.Round(time.Millisecond)))
	}
}

func (a *attempt) timeout() time.Duration {
	if a.isStream() {
		return streamTimeout
	}
	return plainTimeout
}

func (a *attempt) describe() string {
	kind := map[string]string{"/stream/": "stream", "/bulk/": "bulk stream", "/buy/": "unsafe"}[a.prefix]
	if kind == "" {
		kind = "safe"
	}
	switch {
	case a.status == 0:
		return kind + " no response"
	case !a.leftAt.IsZero():
		return kind + " caller disconnected"
	case !a.complete:
		return kind + " truncated"
	}
	return fmt.Sprintf("%s %d", kind, a.status)
}

// mayReject reports whether a 4xx response is allowed: the key may be revoked, or the route was just added and the router may
// not have it yet.
func (r *checker) mayReject(a *attempt) bool {
	if a.key != "key" && a.status == http.StatusUnauthorized {
		return true // the key may have been revoked between its choice and the request
	}
	if a.prefix[:4] != "/new" || a.status != http.StatusNotFound {
		return false
	}
	_, since, _ := r.config.newestRoute()
	return a.sentAt.Sub(since) < applyTimeout+schedulingSlack || !r.fleet.undisturbed(a.router, a.sentAt.Add(-schedulingSlack), a.sentAt)
}

// transitTime bounds how long a request may be under way; one sent this shortly before a process exits may not reach it.
const transitTime = 300 * time.Millisecond

// mayLoseResponse reports whether the response may be missing or truncated: its router was killed or paused, or it shut down
// and the request came too late or its grace period was over. Within the grace period a router finishes its requests.
// A router exits a little before the end of its grace period, so an exit after 5/6 of it counts as one at the end.
func (a *attempt) mayLoseResponse() bool {
	a.router.mu.Lock()
	defer a.router.mu.Unlock()
	for _, s := range a.router.disturbances {
		if !s.overlaps(a.sentAt, a.endedAt, schedulingSlack) {
			continue
		}
		if s.stopRequested.IsZero() || a.sentAt.After(s.from.Add(-transitTime)) || s.from.Sub(s.stopRequested) >= grace*5/6 {
			return true
		}
	}
	return false
}

func (a *attempt) truncated() bool {
	return a.status == http.StatusOK && !a.complete && a.leftAt.IsZero()
}

// exitedNear reports whether a process exited on request within transitTime of a time.
func (p *process) exitedNear(at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.disturbances, func(s span) bool { return !s.stopRequested.IsZero() && at.Sub(s.from).Abs() < transitTime })
}

// checkRun checks what callers and replicas observed against each other. It runs at the end, since the time at which a router
// exited is known a little later than its callers notice it.
func (r *checker) checkRun() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, a := range r.attempts {
		runs := 0
		for _, s := range r.events[id] {
			if s.Kind == "run" {
				runs++
				r.checkExecution(a, s)
			}
			r.checkCancelled(a, s)
		}
		if a.status == 0 && !a.mayLoseResponse() {
			r.violations = append(r.violations, Violation{"answer", id, fmt.Sprintf("no response from %s: %v", a.router.name, a.err)})
		}
		if a.truncated() && a.router.exitedNear(a.endedAt) && !a.mayLoseResponse() {
			r.violations = append(r.violations, Violation{"answer", id, fmt.Sprintf("response truncated by %s during its graceful shutdown", a.router.name)})
		}
		if a.isStream() && a.truncated() && !a.mayLoseResponse() && r.cutAtSoundEngine(a) {
			r.violations = append(r.violations, Violation{"cut", id, fmt.Sprintf("stream ended by %s after %v, its engines are sound", a.router.name, a.endedAt.Sub(a.sentAt).Round(time.Millisecond))})
		}
		if a.isUnsafe() && runs > 1 {
			r.violations = append(r.violations, Violation{"once", id, fmt.Sprintf("unsafe call ran %d times", runs)})
		}
		if (a.isUnsafe() || a.isStream()) && a.isRefusal() && runs > 0 {
			r.violations = append(r.violations, Violation{"refused", id, "request ran although it was refused as not run"})
		}
	}
	for id := range r.events {
		if r.attempts[id] == nil {
			r.violations = append(r.violations, Violation{"unasked", id, "replica ran a request that no caller sent"})
		}
	}
	r.checkRetryBudget()
	r.checkSingleRuns()
	r.checkDepartures()
	r.checkPauses()
	r.checkLimits()
	r.checkDeadly()
	r.checkRepeats()
	r.checkHeldBack()
	r.checkReach()
	r.checkPriority()
}

// cutAtSoundEngine reports whether a stream was ended before its caller's deadline although the engines that ran it were at most
// silent for a while; the caller holds mu.
func (r *checker) cutAtSoundEngine(a *attempt) bool {
	ran := false
	for _, s := range r.events[a.id] {
		ran = ran || s.Kind == "run"
		if at, crashed := r.crashedAt[s.Replica]; crashed && at.After(a.sentAt) && at.Before(a.endedAt.Add(transitTime)) {
			return false
		}
		if e := r.replicaOf(s.Replica); e == nil || e.unsound(a.sentAt, a.endedAt, transitTime) {
			return false
		}
	}
	return ran && a.endedAt.Sub(a.sentAt) < streamTimeout-transitTime
}

// replicaRun is a run as its replica has recorded it.
type replicaRun struct {
	replica     string
	from, until time.Time
}

// runsOf returns the runs of a request that have ended, in the order of their starts; the caller holds mu.
func (r *checker) runsOf(id string) (runs []replicaRun) {
	open := map[string]int{}
	for _, s := range r.events[id] {
		at := time.UnixMilli(s.UnixMilli)
		switch i, found := open[s.Replica]; {
		case s.Kind == "run":
			open[s.Replica] = len(runs)
			runs = append(runs, replicaRun{replica: s.Replica, from: at})
		case found && s.Kind != "refuse":
			runs[i].until = at
			delete(open, s.Replica)
		}
	}
	runs = slices.DeleteFunc(runs, func(u replicaRun) bool { return u.until.IsZero() })
	slices.SortStableFunc(runs, func(a, b replicaRun) int { return a.from.Compare(b.from) })
	return runs
}

const overlapLimit = 400 * time.Millisecond // for which a run may go on after the next one of the same stream has begun

// checkSingleRuns checks that a run of a stream ends soon after the stream has gone on at another replica, or once the replica has gone on
// after a pause. Runs of replicas that were disturbed otherwise are not checked; the caller holds mu.
func (r *checker) checkSingleRuns() {
	for id, a := range r.attempts {
		if !a.isStream() || a.router.disturbed(a.sentAt, a.endedAt, schedulingSlack) {
			continue
		}
		runs := r.runsOf(id)
		for i := 1; i < len(runs); i++ {
			left, next := runs[i-1], runs[i]
			e := r.replicaOf(left.replica)
			if left.replica == next.replica || e == nil || e.unsound(left.from, left.until, schedulingSlack) || r.fleet.linksWereCut(a.router, left.from, left.until) {
				continue
			}
			since := e.quietUntil(left.from, left.until)
			if since.Before(next.from) {
				since = next.from
			}
			if late := left.until.Sub(since); late > overlapLimit+schedulingSlack {
				r.violations = append(r.violations, Violation{"single", id, fmt.Sprintf("%s still ran it %v after it went on at %s", left.replica, late.Round(time.Millisecond), next.replica)})
			}
		}
	}
}

// checkDepartures checks that a router that has passed on a response in which an endpoint says that it is leaving sends it no
// request of a later time; the caller holds mu.
func (r *checker) checkDepartures() {
	type key struct {
		router  *router
		replica string
	}
	told := map[key]time.Time{}
	for _, a := range r.attempts {
		k := key{a.router, a.leaving}
		if at, found := told[k]; a.leaving != "" && (!found || a.headAt.Before(at)) {
			told[k] = a.headAt
		}
	}
	for id, a := range r.attempts {
		for _, s := range r.events[id] {
			at, found := told[key{a.router, s.Replica}]
			if found && s.Kind == "run" && a.sentAt.Sub(at) > drainTime && !a.router.disturbed(at, a.sentAt, 0) {
				r.violations = append(r.violations, Violation{"leaving", id, fmt.Sprintf("%s got the request %v after %s had passed on its departure", s.Replica, a.sentAt.Sub(at), a.router.name)})
			}
		}
	}
}

// replicaOf returns the replica that has or had an id, or nil.
func (r *checker) replicaOf(id string) *replica {
	i := slices.IndexFunc(r.fleet.replicas, func(e *replica) bool { return strings.HasPrefix(id, "i-"+e.name+"-") })
	if i < 0 {
		return nil
	}
	return r.fleet.replicas[i]
}

// replicaDisturbed reports whether the replica with an id was disturbed within a time.
func (r *checker) replicaDisturbed(id string, from, until time.Time) bool {
	e := r.replicaOf(id)
	return e != nil && e.disturbed(from, until, schedulingSlack)
}

const (
	freeCrashes   = 5 // of engines under a part, before routers have to know it
	learnTime     = 3 * time.Second
	maxDeadlyRuns = 3
	minCompared   = 10 // sound streams, for a comparison of their shares
)

// checkDeadly checks for each part that crashes engines that routers keep its requests back, and serve the sound ones with the same
// first part; the caller holds mu.
func (r *checker) checkDeadly() {
	crashes, lastSent := map[string][]time.Time{}, map[string]time.Time{}
	for id, a := range r.attempts {
		if a.part == "" {
			continue
		}
		if a.sentAt.After(lastSent[a.part]) {
			lastSent[a.part] = a.sentAt
		}
		for _, s := range r.events[id] {
			if s.Kind == "crash" {
				crashes[a.part] = append(crashes[a.part], time.UnixMilli(s.UnixMilli))
			}
		}
	}
	var series []span // from the first crash to the last request
	for part, all := range crashes {
		slices.SortFunc(all, time.Time.Compare)
		series = append(series, span{from: all[0], until: lastSent[part]})
	}
	usual, usualOf := r.servedStreams(func(a *attempt) bool { return !overlaps(series, a.sentAt, a.endedAt, 0) })
	for part, all := range crashes {
		known := all[min(len(all), freeCrashes)-1].Add(learnTime)
		id, runs := r.deadlyRuns(part, known)
		served, of := r.servedStreams(func(a *attempt) bool { return a.sentAt.After(known) && a.sentAt.Before(lastSent[part]) })
		_, _ = fmt.Fprintf(r.out, "part %s: %d crashes, %d later runs, %d of %d sound streams served, %d of %d at other times\n", part, len(all), runs, served, of, usual, usualOf)
		if len(all) >= freeCrashes && runs > maxDeadlyRuns {
			r.violations = append(r.violations, Violation{"deadly", id, fmt.Sprintf("%d requests with a part reached engines %v after the fifth of its %d crashes", runs, learnTime, len(all))})
		}
		if min(of, usualOf) >= minCompared && 2*served*usualOf < usual*of {
			r.violations = append(r.violations, Violation{"sound", "", fmt.Sprintf("%d of %d sound streams served beside part %s, %d of %d at other times", served, of, part, usual, usualOf)})
		}
	}
}

// deadlyRuns returns how many requests with a part ran after a time although their routers had been undisturbed for a while, and
// the id of one of them.
func (r *checker) deadlyRuns(part string, after time.Time) (last string, runs int) {
	for id, a := range r.attempts {
		if a.part == part && slices.ContainsFunc(r.events[id], func(s standin.RunEvent) bool {
			at := time.UnixMilli(s.UnixMilli)
			return s.Kind == "run" && at.After(after) && !a.router.disturbed(at.Add(-learnTime), at, 0)
		}) {
			last, runs = id, runs+1
		}
	}
	return last, runs
}

// servedStreams counts the sound streams at undisturbed routers that a predicate selects, and those of them that were served. A router
// whose connections to the store are silent may have heard that all leases lapsed, but not that the endpoints registered again. While half of
// the engines name limits, the others may not suffice. In a burst, engines have no room for all.
func (r *checker) servedStreams(selects func(*attempt) bool) (served, all int) {
	for _, a := range r.attempts {
		if a.prefix != "/stream/" || a.prompt == burstPrompt || a.part != "" || a.router.disturbed(a.sentAt, a.endedAt, schedulingSlack) || r.fleet.cutFromStore(a.router, a.sentAt, a.endedAt) || !r.fleet.reachesReplicas(a.router, a.sentAt, a.endedAt) || r.mostlyLimited(a.sentAt) ||
			overlaps(r.bursts, a.sentAt, a.endedAt, 0) || !selects(a) {
			continue
		}
		all++
		if a.status == http.StatusOK && !a.truncated() {
			served++
		}
	}
	return served, all
}

const (
	pauseSlack        = 500 * time.Millisecond // after the refusal that asks for a pause
	maxArrivalsPaused = 2
)

// checkPauses checks that an endpoint which asks a router for a pause gets no requests from it meanwhile; the caller holds mu.
func (r *checker) checkPauses() {
	type key struct {
		router  *router
		replica string
	}
	refused, arrived := map[key][]time.Time{}, map[key][]time.Time{}
	for id, a := range r.attempts {
		for _, s := range r.events[id] {
			k, at := key{a.router, s.Replica}, time.UnixMilli(s.UnixMilli)
			switch s.Kind {
			case "refuse":
				refused[k] = append(refused[k], at)
				arrived[k] = append(arrived[k], at)
			case "run":
				arrived[k] = append(arrived[k], at)
			}
		}
	}
	for k, all := range refused {
		for _, at := range all {
			from, until, n := at.Add(pauseSlack), at.Add(callPause), 0
			for _, other := range arrived[k] {
				if other.After(from) && other.Before(until) {
					n++
				}
			}
			if n > maxArrivalsPaused && !k.router.disturbed(at, until, 0) && !r.replicaDisturbed(k.replica, at, until) {
				r.violations = append(r.violations, Violation{"pause", "", fmt.Sprintf("%s got %d requests of %s in its pause", k.replica, n, k.router.name)})
			}
		}
	}
}

// checkExecution checks one execution of a request by a replica; the caller holds mu.
func (r *checker) checkExecution(a *attempt, s standin.RunEvent) {
	at := time.UnixMilli(s.UnixMilli)
	if s.Target != a.target {
		r.violations = append(r.violations, Violation{"unasked", a.id, "ran with the target " + s.Target})
	}
	if s.DrainingSince > 0 {
		since := time.UnixMilli(s.DrainingSince)
		if at.Sub(since) > drainTime+standin.HeartbeatInterval+schedulingSlack && r.fleet.undisturbed(a.router, since, at) {
			r.violations = append(r.violations, Violation{"drain", a.id, fmt.Sprintf("%s got the request %v after it began to drain", s.Replica, at.Sub(since))})
		}
	}
	if since := r.config.revokedAt(s.Organisation); !since.IsZero() && at.Sub(since) > revokeTimeout+schedulingSlack && r.fleet.undisturbed(a.router, since, at) {
		r.violations = append(r.violations, Violation{"revoked", a.id, fmt.Sprintf("ran %v after its key was revoked", at.Sub(since))})
	}
}

// checkCancelled checks that no replica starts or continues a request once its caller has disconnected; the caller holds mu.
func (r *checker) checkCancelled(a *attempt, s standin.RunEvent) {
	at := time.UnixMilli(s.UnixMilli)
	if a.leftAt.IsZero() || at.Sub(a.leftAt) <= cancelLimit+schedulingSlack || a.router.disturbed(a.leftAt, at, schedulingSlack) {
		return
	}
	if r.replicaDisturbed(s.Replica, a.sentAt, at) || r.fleet.linksWereCut(a.router, a.sentAt, at) {
		return // the cancellation may not have reached the replica
	}
	r.violations = append(r.violations, Violation{"gone", a.id, fmt.Sprintf("event %s at %s %v after the caller disconnected", s.Kind, s.Replica, at.Sub(a.leftAt))})
}

// The retry budget that routerSettings sets.
const (
	budgetWindow  = 10 * time.Second
	budgetShare   = 0.8
	budgetReserve = 150
)

// checkRetryBudget counts the executions after the first of each request and checks them against the retry budget of the
// fleet; the caller holds mu.
func (r *checker) checkRetryBudget() {
	var sends, retries []time.Time
	for _, all := range r.events {
		seen := false
		for _, s := range all {
			if s.Kind != "run" {
				continue
			}
			if seen {
				retries = append(retries, time.UnixMilli(s.UnixMilli))
				continue
			}
			seen = true
		}
	}
	for _, a := range r.attempts {
		sends = append(sends, a.sentAt)
	}
	byTime := func(all []time.Time) { sort.Slice(all, func(i, j int) bool { return all[i].Before(all[j]) }) }
	byTime(sends)
	byTime(retries)
	count := func(all []time.Time, from time.Time, span time.Duration) (n int) {
		for _, at := range all {
			if !at.Before(from) && at.Sub(from) < span {
				n++
			}
		}
		return n
	}
	for _, from := range retries {
		retryCount := count(retries, from, budgetWindow)
		requests := max(count(sends, from, budgetWindow), count(sends, from.Add(-budgetWindow), budgetWindow))
		if float64(retryCount) > budgetShare*float64(requests)+budgetReserve {
			r.violations = append(r.violations, Violation{"budget", "", fmt.Sprintf("%d retries for %d requests within %v", retryCount, requests, budgetWindow)})
			return
		}
	}
}
