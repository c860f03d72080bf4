package router

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"jaywind"
	"jaywind/internal/core/endpoint"
	"jaywind/internal/core/route"
	"jaywind/internal/core/schedule"
	"jaywind/internal/core/table"
	fleet "jaywind/internal/fleet/schedule"
)

const (
	firstSample      = 16               // times between events after which the speed of an endpoint is first reported
	maxSampleGaps    = 128              // times between events of one sample
	minPrefill       = 500              // prompt tokens from which on the time of a prefill is reported
	maxSamples       = 512              // samples that wait for the next report
	maxFailures      = 512              // failures that wait for the next report
	gapQuantile      = 0.25             // of the times between events; few prefills of other runs and short pauses change it
	spreadHysteresis = 0.8              // of Scheduling.Uneven, under which a service is no longer scheduled for the speeds of its endpoints
	boundAge         = 10 * time.Second // for which the last known bound counts while no owner answers
	partSlack        = 1.5              // of a router's equal part of the bound that it uses alone, as most routers use less
)

// Scheduler assigns the runs of all routers to the engines of a service.
type Scheduler interface {
	// Ask asks for an engine for a run, and waits while the request is queued. It returns an error if nobody answers.
	Ask(ctx context.Context, s jaywind.ServiceName, q schedule.Request) (schedule.Decision, error)
	// Wake reports the runs of a service soon.
	Wake(s jaywind.ServiceName)
}

// Scheduling says which services are scheduled.
type Scheduling struct {
	Priorities bool    // engine services whose routes have different priorities
	Uneven     float64 // services whose learned speeds differ by this factor; 0 for none
}

// scheduled is what a router knows of the schedule of a service.
type scheduled struct {
	runs      map[*streamCall]attempt
	samples   []schedule.Sample
	failed    []schedule.Failure
	summary   schedule.Summary
	summaryAt time.Time
	uneven    bool // the speeds of the endpoints differ
}

// scheduledOf returns the schedule of a service; the caller holds mu.
func (r *Router) scheduledOf(s jaywind.ServiceName) *scheduled {
	sc := r.scheduling[s]
	if sc == nil {
		sc = &scheduled{runs: map[*streamCall]attempt{}}
		r.scheduling[s] = sc
	}
	return sc
}

// isScheduled reports whether the runs of a service are scheduled; the caller holds mu.
func (r *Router) isScheduled(s *route.Service) bool {
	if r.Scheduler == nil || s.Engine == nil || r.set == nil {
		return false
	}
	return r.hasPriorities(s) || r.scheduledOf(s.Name).uneven
}

// hasPriorities reports whether the routes of a service have different priorities that count.
func (r *Router) hasPriorities(s *route.Service) bool {
	first, last := r.set.Priorities(s.Name)
	return r.Scheduling.Priorities && first != last
}

// isMostUrgent reports whether the route of a call has the most urgent of several priorities of its service, and its organisation has no
// less urgent one.
func (r *Router) isMostUrgent(c *call) bool {
	first, last := c.set.Priorities(c.service.Name)
	return r.Scheduler != nil && r.Scheduling.Priorities && first != last && c.route.Priority == first &&
		(!c.keyOwner.HasPriority || c.keyOwner.Priority <= first)
}

// reserve asks for an engine for the next run of a stream, and counts the run there. It returns nil and a refusal if there is no room
// for a stream that has not run; and nil without a refusal if ctx ends or the limits of endpoints have turned the stream away too often.
func (r *Router) reserve(ctx context.Context, st *streamCall) (*endpoint.Endpoint, *Refusal) {
	for unusable := 0; ; {
		if st.exceedsLimitRefusals() {
			return nil, nil
		}
		r.mu.Lock()
		r.updateVersion(st.call)
		q, anyLeft := r.scheduleRequest(st, time.Now())
		r.mu.Unlock()
		if !anyLeft { // the owner would keep the request waiting; without an owner, the endpoint that opens first is tried
			return r.chooseAlone(st, errAllExcluded)
		}
		d, err := r.ask(ctx, st, q)
		switch {
		case ctx.Err() != nil:
			return nil, nil
		case errors.Is(err, errAskAfresh):
		case err != nil:
			return r.chooseAlone(st, err)
		case d.Outcome == schedule.Granted:
			e, known := r.takeGrant(st, d)
			if e != nil {
				return e, nil
			}
			if unusable++; !known || unusable > maxUnusableGrants {
				return r.chooseAlone(st, errUnusableGrant)
			}
		case st.plan.Begun || st.mayHaveRun || st.request.Resumed:
			if !pause(ctx, jitter(waitInterval)) {
				return nil, nil
			}
		default:
			r.stats.noRoom.Inc(1)
			r.recordNoRoom(st.service.Name)
			r.Log.Info("stream: no room", st.fields(zap.Int("ahead", d.Ahead), zap.Duration("expected", d.Expected),
				zap.Int("bound", d.Bound), zap.Int("in_use", d.InUse), zap.Bool("too_late", d.Outcome == schedule.TooLate))...)
			return nil, &Refusal{Reason: ReasonNoRoom, RetryAfter: d.RetryAfter}
		}
	}
}

const (
	askAfreshTime     = 800 * time.Millisecond // for one question of a resumed stream that excludes endpoints; the pause after a failure that another router has reported
	maxUnusableGrants = 1                      // after which a stream chooses alone; the next question excludes the endpoint
)

// errAskAfresh is returned if a question has to be asked afresh.
var errAskAfresh = errors.New("the excluded endpoints may have changed")

// ask asks for an engine. The owner keeps what a request excludes when it first asks, and a resumed stream waits until its deadline. So its
// question ends with errAskAfresh after askAfreshTime if it excludes endpoints, as they may open again. Other requests are refused in time.
func (r *Router) ask(ctx context.Context, st *streamCall, q schedule.Request) (schedule.Decision, error) {
	if !q.Resumed || len(q.Exclude) == 0 {
		return r.Scheduler.Ask(ctx, st.service.Name, q)
	}
	limited, cancel := context.WithTimeout(ctx, askAfreshTime)
	defer cancel()
	d, err := r.Scheduler.Ask(limited, st.service.Name, q)
	if err != nil && limited.Err() != nil {
		return d, errAskAfresh
	}
	return d, err
}

// Causes for which a stream chooses without the owner although that answers.
var (
	errUnusableGrant = errors.New("the owner has assigned an endpoint that is not known or may not run the stream")
	errAllExcluded   = errors.New("no endpoint may run the stream now")
)

// scheduleRequest describes the next run of a stream, and returns whether any endpoint may run it now; the caller holds mu.
func (r *Router) scheduleRequest(st *streamCall, now time.Time) (q schedule.Request, anyLeft bool) {
	stride := max(1, st.service.Engine.TokensPerEvent)
	produced := st.events()
	q = schedule.Request{
		ID: st.request.ID, Router: r.Self, Organisation: st.keyOwner.Organisation, Priority: st.rank(), First: r.isMostUrgent(st.call),
		Resumed: st.headSent || st.mayHaveRun || st.request.Resumed,
		Arrived: st.request.Arrived, Target: st.route.LatencyTarget, Left: st.timeLeft(now),
		Tokens:  st.requirements.MemoryTokens,
		Prefill: st.requirements.PromptTokens + produced*stride,
		Events:  max(1, st.request.MaxTokens/stride-produced),
	}
	excluded, anyLeft := r.excludedOf(st, now)
	for _, e := range excluded {
		q.Exclude = append(q.Exclude, schedule.KeyOf(e.Ref()))
	}
	return q, anyLeft
}

// excludedOf returns the endpoints that may not run a stream now, and whether any other is left; the caller holds mu.
func (r *Router) excludedOf(st *streamCall, now time.Time) (excluded []*endpoint.Endpoint, anyLeft bool) {
	n := st.requirements
	excluded, anyLeft = r.table.Ineligible(st.service, n, now)
	if !anyLeft && n.Version != "" {
		n.Version = "" // as in anyVersion
		excluded, anyLeft = r.table.Ineligible(st.service, n, now)
	}
	if !anyLeft && len(n.Avoid) > 0 {
		n.Avoid = nil
		excluded, anyLeft = r.table.Ineligible(st.service, n, now)
	}
	return excluded, anyLeft
}

// maxRoutePriority bounds the priority of a route where it decides between requests whose organisations have the same one.
const maxRoutePriority = 255

// rank returns the priority of a call at the scheduler: that of its organisation comes before that of its route.
func (c *call) rank() int {
	first := c.route.Priority
	if c.keyOwner.HasPriority {
		first = c.keyOwner.Priority
	}
	return first*(maxRoutePriority+1) + min(c.route.Priority, maxRoutePriority)
}

// events returns the number of events that the caller has.
func (st *streamCall) events() int {
	last, started := st.cursor.LastID()
	if !started {
		return 0
	}
	return int(max(0, last))
}

// takeGrant counts a run at the endpoint that was assigned to it. It returns nil if this router does not know the endpoint, or if the
// endpoint may not run the stream any more, as a request may have waited for long.
func (r *Router) takeGrant(st *streamCall, d schedule.Decision) (e *endpoint.Endpoint, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updateVersion(st.call)
	e = r.byKey(st.service, d.Endpoint)
	known = e != nil
	if excluded, _ := r.excludedOf(st, time.Now()); !known || slices.Contains(excluded, e) {
		r.Log.Info("stream: assigned endpoint is not usable", st.fields(zap.Bool("known", known))...)
		return nil, known
	}
	st.grantedStandby = r.byKey(st.service, d.Standby)
	r.startRun(st, e)
	return e, true
}

// byKey returns the endpoint with a key, or nil; the caller holds mu.
func (r *Router) byKey(s *route.Service, k schedule.Key) *endpoint.Endpoint {
	if k == 0 {
		return nil
	}
	for _, e := range r.table.OfService(s) {
		if schedule.KeyOf(e.Ref()) == k {
			return e
		}
	}
	return nil
}

// startRun counts a run at an endpoint; the caller holds mu.
func (r *Router) startRun(st *streamCall, e *endpoint.Endpoint) {
	r.table.StartCall(e, st.requirements)
	st.countStart(e)
	r.observe(st.call, e, table.MeasureFirstToken)
	st.lastEndpoint = e.ID
}

// chooseAlone chooses an endpoint without an owner. A stream that has not run is refused when this router uses its part of the last
// known bound.
func (r *Router) chooseAlone(st *streamCall, cause error) (*endpoint.Endpoint, *Refusal) {
	r.stats.fallback.Inc(1)
	r.Log.Info("stream: placed without the owner of the schedule", st.fields(zap.Error(cause))...)
	if !st.plan.Begun && !st.mayHaveRun && !st.request.Resumed && r.exceedsPart(st) {
		return nil, &Refusal{Reason: ReasonNoRoom, RetryAfter: jitter(streamRetryAfter)}
	}
	return r.acquireEndpoint(st.call), nil
}

// exceedsPart reports whether this router's runs, with one more, take more than its part of the last known bound.
func (r *Router) exceedsPart(st *streamCall) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	sc := r.scheduledOf(st.service.Name)
	if sc.summary.Bound == 0 || time.Since(sc.summaryAt) > boundAge {
		return false
	}
	used := st.requirements.MemoryTokens
	for other := range sc.runs {
		used += other.requirements.MemoryTokens
	}
	if st.service.Engine.CopiesMemory {
		used *= 2 // the bound counts a copy of each run
	}
	return len(sc.runs) > 1 && float64(used) > partSlack*float64(sc.summary.Bound)/float64(r.routers)
}

// trackRun lists a run in the next reports until the function that it returns is called.
func (r *Router) trackRun(st *streamCall, a attempt) (end func()) {
	if r.Scheduler == nil || st.service.Engine == nil {
		return func() {}
	}
	s := st.service.Name
	r.mu.Lock()
	active := r.isScheduled(st.service)
	r.scheduledOf(s).runs[st] = a
	r.mu.Unlock()
	r.wake(s, active)
	return func() {
		r.mu.Lock()
		delete(r.scheduledOf(s).runs, st)
		r.mu.Unlock()
		r.wake(s, active)
	}
}

func (r *Router) wake(s jaywind.ServiceName, active bool) {
	if active {
		r.Scheduler.Wake(s)
	}
}

// reportPrefill reports the first event of a run. The time to it says nothing of the engine's speed if the engine had part of the memory.
func (r *Router) reportPrefill(st *streamCall, a attempt) {
	if r.Scheduler == nil || st.service.Engine == nil {
		return
	}
	r.mu.Lock()
	tokens := st.requirements.PromptTokens
	if !a.fromCopy && !st.request.Resumed && st.attempts <= 1 && tokens >= minPrefill {
		r.addSample(st.service.Name, schedule.Sample{Address: a.endpoint.Address, Prefill: time.Since(a.startedAt), Tokens: tokens})
	}
	active := r.isScheduled(st.service)
	r.mu.Unlock()
	r.wake(st.service.Name, active)
}

// sampleGap adds a time between events of the current run, and reports the speed of its endpoint from time to time.
func (r *Router) sampleGap(st *streamCall, a attempt, gap time.Duration) {
	if r.Scheduler == nil || st.service.Engine == nil {
		return
	}
	st.speedGaps = append(st.speedGaps, gap)
	if n := len(st.speedGaps); n != firstSample && n < maxSampleGaps {
		return
	}
	r.reportSpeed(st, a)
}

// recordProgress notes an event of a run for the reports, and that its endpoint speaks.
func (r *Router) recordProgress(st *streamCall, a attempt, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silencesOf(st.service.Name).Hear(a.endpoint.ID, now)
	st.reportedEvent = now
	st.reportedEvents = st.events()
}

// reportSpeed reports what the times between the events of a run say of its endpoint.
func (r *Router) reportSpeed(st *streamCall, a attempt) {
	if len(st.speedGaps) < firstSample {
		return
	}
	sorted := slices.Clone(st.speedGaps)
	slices.Sort(sorted)
	if len(st.speedGaps) >= maxSampleGaps {
		st.speedGaps = st.speedGaps[:0]
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addSample(st.service.Name, schedule.Sample{Address: a.endpoint.Address, Event: sorted[int(gapQuantile*float64(len(sorted)))]})
}

// addSample adds a sample to the next report; the caller holds mu.
func (r *Router) addSample(s jaywind.ServiceName, m schedule.Sample) {
	if sc := r.scheduledOf(s); len(sc.samples) < maxSamples {
		sc.samples = append(sc.samples, m)
	}
}

// reportFailure adds a failure of an endpoint to the next report; the caller holds mu.
func (r *Router) reportFailure(e *endpoint.Endpoint, absent bool) {
	if r.Scheduler == nil {
		return
	}
	sc := r.scheduledOf(e.Service)
	if len(sc.failed) < maxFailures {
		sc.failed = append(sc.failed, schedule.Failure{Endpoint: schedule.KeyOf(e.Ref()), Absent: absent})
	}
	if r.set == nil {
		return
	}
	if s := r.set.Services[e.Service]; s != nil && r.isScheduled(s) {
		r.Scheduler.Wake(e.Service)
	}
}

// Services implements schedule.Router.
func (r *Router) Services() []fleet.Service {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.set == nil || !r.Scheduling.Priorities && r.Scheduling.Uneven <= 0 {
		return nil
	}
	var all []fleet.Service
	for _, s := range r.set.Services {
		switch {
		case s.Engine != nil:
			c := schedule.Capacity{MemoryTokens: s.Engine.MemoryTokens, CopiesMemory: s.Engine.CopiesMemory}
			all = append(all, fleet.Service{Name: s.Name, Capacity: c, Active: r.isScheduled(s)})
		case r.BalanceUneven > 0:
			all = append(all, fleet.Service{Name: s.Name, Active: r.isBalanced(s)})
		}
	}
	return all
}

// isBalanced reports whether the plain calls of a service are balanced by learned times; the caller holds mu.
func (r *Router) isBalanced(s *route.Service) bool {
	b := r.balancerOf(s.Name)
	if b == nil {
		return false
	}
	now, all := time.Now(), candidatesOf(r.table.OfService(s))
	return b.Rejecting(all, now) || b.Spread(all, now) >= r.BalanceUneven
}

// Report implements schedule.Router.
func (r *Router) Report(s jaywind.ServiceName, now time.Time) schedule.Report {
	r.init()
	plain := r.plainSamples(s)
	r.mu.Lock()
	defer r.mu.Unlock()
	sc := r.scheduledOf(s)
	out := schedule.Report{Samples: sc.samples, Failed: sc.failed, Plain: plain}
	sc.samples, sc.failed = nil, nil
	for st, a := range sc.runs {
		run := schedule.Run{
			Request: st.request.ID, Organisation: st.keyOwner.Organisation, Endpoint: schedule.KeyOf(a.endpoint.Ref()),
			Tokens: st.requirements.MemoryTokens, Prefill: st.requirements.PromptTokens, Begun: st.producing || a.fromCopy, Started: a.startedAt,
		}
		if last := st.reportedEvent; st.producing && now.Sub(last) >= schedule.StallTime {
			// The engine has probably preempted the run, and has to process all its tokens again.
			run.Begun, run.Started, run.Prefill = false, last, st.requirements.PromptTokens+st.reportedEvents*max(1, st.service.Engine.TokensPerEvent)
		}
		if st.standby != nil {
			run.Standby = schedule.KeyOf(st.standby.Ref())
		}
		out.Runs = append(out.Runs, run)
	}
	return out
}

// Endpoints implements schedule.Router.
func (r *Router) Endpoints(s jaywind.ServiceName, now time.Time) []schedule.Endpoint {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.set == nil || r.set.Services[s] == nil {
		return nil
	}
	var all []schedule.Endpoint
	for _, e := range r.table.Schedulable(r.set.Services[s], now) {
		all = append(all, schedule.Endpoint{Key: schedule.KeyOf(e.Ref()), Address: e.Address, Domain: e.Domain, Slots: e.Slots})
	}
	return all
}

// RecordFailures implements schedule.Router.
func (r *Router) RecordFailures(s jaywind.ServiceName, failed []schedule.Failure) {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.set == nil || r.set.Services[s] == nil || !r.isScheduled(r.set.Services[s]) {
		return // a router chooses by its own failures where nothing is scheduled
	}
	now := time.Now()
	for _, f := range failed {
		if e := r.byKey(r.set.Services[s], f.Endpoint); e != nil {
			r.table.RecordRemoteFailure(e, f.Absent, now)
		}
	}
}

// ApplySummary implements schedule.Router.
func (r *Router) ApplySummary(s jaywind.ServiceName, sum schedule.Summary, at time.Time) {
	r.init()
	r.applyPlainSummary(s, sum, at)
	r.mu.Lock()
	defer r.mu.Unlock()
	sc := r.scheduledOf(s)
	sc.summary, sc.summaryAt = sum, at
	switch limit := r.Scheduling.Uneven; {
	case limit <= 0:
		sc.uneven = false
	case sum.Spread >= limit:
		sc.uneven = true
	case sum.Spread < spreadHysteresis*limit:
		sc.uneven = false
	}
	if r.set == nil || r.set.Services[s] == nil {
		return
	}
	rows := make(map[schedule.Key]schedule.Row, len(sum.Rows))
	for _, row := range sum.Rows {
		rows[row.Endpoint] = row
	}
	isScheduled := r.isScheduled(r.set.Services[s])
	for _, e := range r.table.OfService(r.set.Services[s]) {
		row, listed := rows[schedule.KeyOf(e.Ref())]
		if !listed || !isScheduled { // otherwise reports are too rare to choose by
			e.Fleet = endpoint.FleetLoad{}
			continue
		}
		e.Fleet = endpoint.FleetLoad{At: at, Runs: row.Runs, Held: row.Held, Prefill: row.Prefill, Factor: row.Factor}
	}
}

// usableStandby returns the endpoint that the owner of the schedule has chosen for the copy of the next run, if it can be used; the caller
// holds mu.
func (r *Router) usableStandby(st *streamCall, at *endpoint.Endpoint) *endpoint.Endpoint {
	e := st.grantedStandby
	st.grantedStandby = nil
	if e == nil || e == at || r.rowOf(e.Ref()) != e || r.table.CopyLost(e, time.Now()) {
		return nil
	}
	return e
}
