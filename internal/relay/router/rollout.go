package router

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"jaywind"
	"jaywind/internal/core/endpoint"
	"jaywind/internal/core/rollout"
	"jaywind/internal/core/rule"
	"jaywind/internal/core/table"
)

// rolloutTracker is the state of a roll-out of a service at this router.
type rolloutTracker struct {
	rollout    *rollout.Rollout
	totals     rollout.Totals
	lateLimits rollout.LateLimits
	open       map[*observation]struct{} // not ended, and not known to be late
	unjudged   []observation             // ended before they had a limit

	loggedShare float64 // of new work at this router, as last logged
}

// observation is a duration of an attempt: of its first response or event, or of the events after the first one.
type observation struct {
	key       table.OutcomeKey
	source    table.Source
	startedAt time.Time
	events    int           // since startedAt
	took      time.Duration // once it has ended
	whole     bool          // otherwise took is only a lower bound
}

// gapEvents is the number of events after the first one whose duration is compared.
const gapEvents = 31

// maxUnjudged is the number of ended observations that a router keeps for a roll-out until it knows the limits.
const maxUnjudged = 256

// StartRollout starts the roll-out of an order, which replaces the one before. An order for the same version has started already, perhaps
// with a later deadline.
func (r *Router) StartRollout(o rollout.Order, b rollout.Bounds) {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	previous := r.rolloutStates[o.Service]
	if tr := r.rollouts[o.Service]; tr != nil {
		if tr.rollout.Order.Target == o.Target {
			tr.rollout.Shorten(o)
			return
		}
		previous = tr.rollout.State
	}
	ledger := rollout.After(previous, o.Target, r.table.Versions(o.Service))
	tr := &rolloutTracker{
		rollout: rollout.New(o, b, ledger),
		totals:  rollout.Totals{Outcomes: map[table.OutcomeKey]table.OutcomeCounts{}},
		open:    map[*observation]struct{}{},
	}
	r.rollouts[o.Service] = tr
	r.Log.Info("rollout: started", zap.String("service", string(o.Service)), zap.String("target", string(o.Target)), zap.Duration("for", o.Duration),
		zap.String("phase", string(tr.rollout.State.Phase)), zap.Any("ledger", ledger))
	r.retainVersion(o.Service, tr)
	state := r.rolloutStates[o.Service]
	if at := state.OrderedAt(time.Now()); state.Target == o.Target && !at.IsZero() {
		tr.rollout.Backdate(at)
	}
	r.followState(o.Service, state)
}

// SetRolloutState puts the state of a roll-out in force, unless a later one is. A store that has come back from an older copy
// may show a state that is over. A state may come before its order, which StartRollout adds.
func (r *Router) SetRolloutState(s jaywind.ServiceName, state rollout.State) {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rolloutStates[s] = state
	if tr := r.rollouts[s]; tr != nil && state.Phase == rollout.PhaseShift && tr.rollout.State.Phase == rollout.PhaseCanary {
		tr.rollout.Follow(rollout.LoadFull, time.Now()) // its leader has just written the state
	}
	r.followState(s, state)
}

// followState puts a state in force if its order is known and no later state is; the caller holds mu.
func (r *Router) followState(s jaywind.ServiceName, state rollout.State) {
	tr := r.rollouts[s]
	if tr == nil || tr.rollout.Order.Target != state.Target || !state.Supersedes(tr.rollout.State) {
		return
	}
	tr.rollout.FollowState(state)
	r.retainVersion(s, tr)
	r.Log.Info("rollout: state changed", zap.String("service", string(s)), zap.String("target", string(state.Target)),
		zap.String("phase", string(state.Phase)), zap.Float64("share", state.Share), zap.String("reason", state.Reason),
		zap.Int("starts", tr.totals.Starts), zap.Int("requests", tr.totals.Requests))
}

// retainVersion sets the version at whose endpoints copies are kept, which is the new one once it gets the full load; the caller holds mu.
func (r *Router) retainVersion(s jaywind.ServiceName, tr *rolloutTracker) {
	keep := jaywind.Version("")
	if state := tr.rollout.State; state.Phase == rollout.PhaseShift || state.Phase == rollout.PhaseDone {
		keep = state.Target
	}
	r.table.RetainVersion(s, keep)
}

// RolloutTotals returns what this router has counted for each roll-out in progress. Attempts that go on for longer
// than their limit are counted as late.
func (r *Router) RolloutTotals() map[jaywind.ServiceName]rollout.Totals {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[jaywind.ServiceName]rollout.Totals{}
	for s, tr := range r.rollouts {
		if tr.rollout.State.Phase.Final() {
			continue
		}
		tr.countLatePending(time.Now())
		t := tr.totals
		t.Target, t.Age = tr.rollout.Order.Target, time.Since(tr.rollout.Order.ReceivedAt)
		t.Outcomes = maps.Clone(t.Outcomes)
		t.Baselines = map[table.RouteMeasure]table.Durations{}
		for pair, d := range r.baselines[s] {
			t.Baselines[pair] = table.Durations{Counts: maps.Clone(d.Counts)}
		}
		out[s] = t
	}
	return out
}

// ReportRollout records the totals of a router, which may be this one. It returns what this router has decided as the leader,
// for the other one to follow.
func (r *Router) ReportRollout(vm jaywind.VM, s jaywind.ServiceName, t rollout.Totals) rollout.Reply {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	tr := r.rollouts[s]
	if tr == nil {
		return rollout.Reply{}
	}
	tr.rollout.Report(vm, t)
	if t.Target == tr.rollout.Order.Target {
		tr.rollout.Backdate(time.Now().Add(-t.Age))
	}
	return tr.rollout.Reply()
}

// FollowRolloutLeader applies the leader's reply to totals that were sent at a time.
func (r *Router) FollowRolloutLeader(s jaywind.ServiceName, reply rollout.Reply, sentAt time.Time) {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	tr := r.rollouts[s]
	if tr == nil {
		return
	}
	tr.rollout.Follow(reply.Load, sentAt)
	r.logShare(s, tr, sentAt)
	if len(reply.Limits) == 0 {
		return
	}
	tr.lateLimits = reply.Limits
	ended := tr.unjudged
	tr.unjudged = nil
	for _, o := range ended {
		if o.countsAsAnswer() {
			tr.totals.Unjudged--
		}
		tr.judge(o)
	}
}

// logShare logs a change of the share of new work that the new version may get; the caller holds mu.
func (r *Router) logShare(s jaywind.ServiceName, tr *rolloutTracker, now time.Time) {
	share := tr.rollout.Share(now)
	if share == tr.loggedShare {
		return
	}
	tr.loggedShare = share
	r.Log.Info("rollout: share changed", zap.String("service", string(s)), zap.String("target", string(tr.rollout.Order.Target)),
		zap.Float64("share", share), zap.String("phase", string(tr.rollout.State.Phase)), zap.Bool("held", tr.rollout.Held()),
		zap.Int("starts", tr.totals.Starts), zap.Int("requests", tr.totals.Requests))
}

// DecideRollouts returns the state that each roll-out should have now, according to the totals that were reported to this
// router. The leader writes it to the store. At any other router, whose own totals are all that it knows, a bad version gets no
// more work from this router only.
func (r *Router) DecideRollouts(now time.Time) map[jaywind.ServiceName]rollout.State {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[jaywind.ServiceName]rollout.State{}
	for s, tr := range r.rollouts {
		var endpoints []rule.Endpoint
		for _, e := range r.table.EntriesOf(s) {
			endpoints = append(endpoints, rule.Endpoint{ID: e.ID, Version: e.Version, Domain: e.Domain})
		}
		tr.rollout.SetEndpoints(endpoints)
		out[s] = tr.rollout.Decide(now)
		r.logShare(s, tr, now)
	}
	return out
}

// restrictVersion counts a call for the roll-out of its service, and sets which version may run it; the caller holds mu.
func (r *Router) restrictVersion(c *call) {
	tr := r.rollouts[c.service.Name]
	if tr == nil {
		return
	}
	if !tr.rollout.State.Phase.Final() {
		tr.totals.Requests++
		c.tracker = tr
	}
	r.updateVersion(c)
}

// updateVersion sets which versions may run the next attempt of a call. What is known of them may have changed since the last attempt;
// the caller holds mu.
func (r *Router) updateVersion(c *call) {
	tr := r.rollouts[c.service.Name]
	if tr == nil {
		return
	}
	rule := tr.rollout.Rule(r.table.Versions(c.service.Name), c.draw, time.Now())
	c.requirements.Version, c.requirements.ExcludeVersions = rule.Prefer, rule.Exclude
}

// isBarred reports whether an endpoint's version may run no call now; the caller holds mu.
func (r *Router) isBarred(e *endpoint.Endpoint) bool {
	tr := r.rollouts[e.Service]
	return tr != nil && tr.rollout.IsBarred(e.Version, r.table.Versions(e.Service), time.Now())
}

// observe starts to observe an attempt of a call at an endpoint; the caller holds mu.
func (r *Router) observe(c *call, e *endpoint.Endpoint, m table.Measure) {
	o := &observation{startedAt: time.Now()}
	o.key = table.OutcomeKey{RouteMeasure: table.RouteMeasure{Route: c.route.Name, Measure: m}}
	if tr := c.tracker; tr != nil {
		o.key.New = e.Version == tr.rollout.Order.Target
		o.source = outcomeSource(e, o.key.New)
		tr.open[o] = struct{}{}
	}
	c.observation = o
}

// countEvent counts an event after the first one of the current attempt.
func (r *Router) countEvent(c *call) {
	if c.observation == nil {
		return
	}
	if c.observation.events++; c.observation.events == gapEvents {
		r.mu.Lock()
		r.endObservation(c, true)
		r.mu.Unlock()
	}
}

// endObservation ends the observation of the current attempt, if there is one; the caller holds mu.
func (r *Router) endObservation(c *call, whole bool) {
	o, tr := c.observation, c.tracker
	c.observation = nil
	if o == nil {
		return
	}
	o.took, o.whole = time.Since(o.startedAt), whole
	if whole && !o.key.New {
		r.observeBaseline(c.service.Name, o.key.RouteMeasure, o.took)
	}
	if tr == nil {
		return
	}
	if _, open := tr.open[o]; open { // otherwise it was counted as late
		delete(tr.open, o)
		tr.judge(*o)
	}
}

// observeBaseline adds a duration of the version in use; the caller holds mu.
func (r *Router) observeBaseline(s jaywind.ServiceName, pair table.RouteMeasure, took time.Duration) {
	if r.baselines[s] == nil {
		r.baselines[s] = map[table.RouteMeasure]*table.Durations{}
	}
	d := r.baselines[s][pair]
	if d == nil {
		d = &table.Durations{}
		r.baselines[s][pair] = d
	}
	d.Observe(took)
}

// limitOf returns the duration above which an observation is late.
func (tr *rolloutTracker) limitOf(o *observation) (time.Duration, bool) {
	if limit, ok := tr.lateLimits[o.key.RouteMeasure]; ok {
		return limit, true
	}
	limit, ok := tr.lateLimits[table.RouteMeasure{Route: rollout.AllRoutes, Measure: o.key.Measure}]
	return limit, ok
}

// countsAsAnswer reports whether an observation belongs to a success of the new version.
func (o *observation) countsAsAnswer() bool {
	return o.whole && o.key.New && o.key.Measure == table.MeasureFirstToken
}

// judge counts an observation that has ended, or keeps it until there is a limit.
func (tr *rolloutTracker) judge(o observation) {
	limit, ok := tr.limitOf(&o)
	switch {
	case !ok:
		if o.countsAsAnswer() {
			tr.totals.Unjudged++
		}
		if len(tr.unjudged) < maxUnjudged {
			tr.unjudged = append(tr.unjudged, o)
		}
	case o.took > limit:
		tr.addOutcome(o.key, true, o.source)
	case o.whole:
		tr.addOutcome(o.key, false, o.source)
	}
}

// countLatePending counts the observations that have not ended and are late already.
func (tr *rolloutTracker) countLatePending(now time.Time) {
	for o := range tr.open {
		if limit, ok := tr.limitOf(o); ok && now.Sub(o.startedAt) > limit {
			tr.addOutcome(o.key, true, o.source)
			delete(tr.open, o)
		}
	}
}

// recordOutcome counts the outcome of an attempt for a roll-out. A failure, or a response that is not comparable to others,
// has no response time.
func (r *Router) recordOutcome(c *call, e *endpoint.Endpoint, failed, timed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endObservation(c, timed && !failed)
	tr := c.tracker
	if tr == nil {
		return
	}
	isNew := e.Version == tr.rollout.Order.Target
	key := table.OutcomeKey{RouteMeasure: table.RouteMeasure{Route: c.route.Name, Measure: table.MeasureFailure}, New: isNew}
	tr.addOutcome(key, failed, outcomeSource(e, isNew))
}

// recordFirstEvent counts the success of an attempt, and observes its further events. An attempt that continues from a copy
// is not comparable to others.
func (r *Router) recordFirstEvent(c *call, e *endpoint.Endpoint) {
	observed := c.observation != nil
	r.recordOutcome(c, e, false, true)
	if observed {
		r.mu.Lock()
		r.observe(c, e, table.MeasureTokenGap)
		r.mu.Unlock()
	}
}

// outcomeSource returns what a bad outcome at an endpoint is attributed to.
func outcomeSource(e *endpoint.Endpoint, isNew bool) table.Source {
	if isNew {
		return table.Source(e.ID)
	}
	return table.Source(e.Domain)
}

// addOutcome counts one outcome.
func (tr *rolloutTracker) addOutcome(cell table.OutcomeKey, bad bool, source table.Source) {
	n := tr.totals.Outcomes[cell]
	if !bad {
		n.Good++
	} else {
		n.Bad++
		n.BadBySource = maps.Clone(n.BadBySource) // RolloutTotals has returned the old map
		if n.BadBySource == nil {
			n.BadBySource = map[table.Source]uint64{}
		}
		n.BadBySource[source]++
	}
	tr.totals.Outcomes[cell] = n
}

// countStart counts a call that is sent to the new version; the caller holds mu.
func (c *call) countStart(e *endpoint.Endpoint) {
	if c.tracker != nil && e.Version == c.tracker.rollout.Order.Target {
		c.tracker.totals.Starts++
	}
}
