package router

import (
	"maps"
	"math/rand/v2"
	"slices"
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
	rollout   *rollout.Rollout
	totals    rollout.Totals
	baselines map[jaywind.Route]*table.Quantile // 0.95 quantiles of the old version's response times
}

// StartRollout starts a roll-out, or does nothing if it has started already.
func (r *Router) StartRollout(o rollout.Order, b rollout.Bounds) {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	if tr := r.rollouts[o.Service]; tr != nil && tr.rollout.Order.Target == o.Target {
		return
	}
	tr := &rolloutTracker{
		rollout:   rollout.New(o, b),
		totals:    rollout.Totals{Outcomes: map[table.OutcomeKey]table.OutcomeCounts{}},
		baselines: map[jaywind.Route]*table.Quantile{},
	}
	r.rollouts[o.Service] = tr
	r.Log.Info("rollout: started", zap.String("service", string(o.Service)), zap.String("target", string(o.Target)), zap.Duration("for", o.Duration))
	r.followState(o.Service, r.rolloutStates[o.Service])
}

// SetRolloutState puts the state of a roll-out in force, unless a later one is. A store that has come back from an older copy
// may show a state that is over. A state may come before its order, which StartRollout adds.
func (r *Router) SetRolloutState(s jaywind.ServiceName, state rollout.State) {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rolloutStates[s] = state
	r.followState(s, state)
}

// followState puts a state in force if its order is known and no later state is; the caller holds mu.
func (r *Router) followState(s jaywind.ServiceName, state rollout.State) {
	tr := r.rollouts[s]
	if tr == nil || tr.rollout.Order.Target != state.Target || !state.Supersedes(tr.rollout.State) {
		return
	}
	tr.rollout.State = state
	keep := jaywind.Version("")
	if state.Phase == rollout.PhaseShift || state.Phase == rollout.PhaseDone {
		keep = state.Target
	}
	r.table.RetainVersion(s, keep)
	r.Log.Info("rollout: state changed", zap.String("service", string(s)), zap.String("target", string(state.Target)),
		zap.String("phase", string(state.Phase)), zap.Float64("share", state.Share), zap.String("reason", state.Reason),
		zap.Int("starts", tr.totals.Starts), zap.Int("requests", tr.totals.Requests))
}

// RolloutTotals returns what this router has counted for each roll-out in progress.
func (r *Router) RolloutTotals() map[jaywind.ServiceName]rollout.Totals {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[jaywind.ServiceName]rollout.Totals{}
	for s, tr := range r.rollouts {
		if tr.rollout.State.Phase.Final() {
			continue
		}
		t := tr.totals
		t.Outcomes = maps.Clone(t.Outcomes)
		out[s] = t
	}
	return out
}

// ReportRollout records the totals of a router, which may be this one.
func (r *Router) ReportRollout(vm jaywind.VM, s jaywind.ServiceName, t rollout.Totals) {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	if tr := r.rollouts[s]; tr != nil {
		tr.rollout.Report(vm, t)
	}
}

// DecideRollouts returns the state that each roll-out should have now, according to the totals that were reported to this
// router. The leader writes it to the store.
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
	}
	return out
}

// restrictVersion sets which version of its service may run a call, once there is an endpoint of the new version; the caller
// holds mu.
func (r *Router) restrictVersion(c *call) {
	tr := r.rollouts[c.service.Name]
	if tr == nil {
		return
	}
	target := tr.rollout.Order.Target
	if !slices.ContainsFunc(r.table.EntriesOf(c.service.Name), func(e endpoint.Entry) bool { return e.Version == target && !e.Leaving }) {
		return
	}
	state := tr.rollout.State
	switch {
	case state.Phase == rollout.PhaseShift || state.Phase == rollout.PhaseDone,
		state.Phase == rollout.PhaseCanary && rand.Float64() < state.Share:
		c.requirements.Version = target
	default:
		c.requirements.ExcludeVersion = target
	}
	if !state.Phase.Final() {
		tr.totals.Requests++
		c.tracker = tr
	}
}

// followRolloutEnd binds a call to the version that remains once a roll-out of its service has ended; the caller holds mu.
func (r *Router) followRolloutEnd(c *call) {
	tr := r.rollouts[c.service.Name]
	if tr == nil {
		return
	}
	switch tr.rollout.State.Phase {
	case rollout.PhaseDone:
		c.requirements.Version, c.requirements.ExcludeVersion = tr.rollout.Order.Target, ""
	case rollout.PhaseRolledBack:
		c.requirements.Version, c.requirements.ExcludeVersion = "", tr.rollout.Order.Target
	}
}

// lateFactor times the old version's 0.95 quantile is the response time from which a response counts as late.
const lateFactor = 1.5

// recordOutcome counts the outcome of an attempt for a roll-out. took is the time to the response or to the first event, or 0
// without either.
func (r *Router) recordOutcome(c *call, e *endpoint.Endpoint, failed bool, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	tr := c.tracker
	if tr == nil {
		return
	}
	isNew := e.Version == tr.rollout.Order.Target
	source := table.Source(e.Domain)
	if isNew {
		source = table.Source(e.ID)
	}
	tr.addOutcome(table.OutcomeKey{RouteMeasure: table.RouteMeasure{Route: c.route.Name, Measure: table.MeasureFailure}, New: isNew}, failed, source)
	if failed || took == 0 {
		return
	}
	q := tr.baselines[c.route.Name]
	if q == nil {
		q = &table.Quantile{}
		tr.baselines[c.route.Name] = q
	}
	if q.Ready() {
		late := float64(took) > lateFactor*float64(q.Value)
		tr.addOutcome(table.OutcomeKey{RouteMeasure: table.RouteMeasure{Route: c.route.Name, Measure: table.MeasureFirstToken}, New: isNew}, late, source)
	}
	if !isNew {
		q.Observe(took)
	}
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
