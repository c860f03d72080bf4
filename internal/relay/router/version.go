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

// change is a roll-out of a service as this router carries it.
type change struct {
	rollout *rollout.Rollout
	totals  rollout.Totals
	normal  map[jaywind.Route]*table.Quantile // of the old version's answers
}

// Order begins a roll-out, or does nothing if it has begun.
func (r *Router) Order(o rollout.Order, b rollout.Bounds) {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := r.changes[o.Service]; c != nil && c.rollout.Order.Target == o.Target {
		return
	}
	r.changes[o.Service] = &change{
		rollout: rollout.New(o, b),
		totals:  rollout.Totals{Outcomes: map[table.OutcomeKey]table.OutcomeCounts{}},
		normal:  map[jaywind.Route]*table.Quantile{},
	}
	r.Log.Info("rollout: ordered", zap.String("service", string(o.Service)), zap.String("target", string(o.Target)), zap.Duration("for", o.Duration))
}

// Follow puts the steps of a roll-out in force.
func (r *Router) Follow(s jaywind.ServiceName, steps rollout.State) {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.changes[s]
	if c == nil || c.rollout.Order.Target != steps.Target || c.rollout.State == steps {
		return
	}
	c.rollout.State = steps
	keep := jaywind.Version("")
	if steps.Phase == rollout.PhaseShift || steps.Phase == rollout.PhaseDone {
		keep = steps.Target
	}
	r.table.RetainVersion(s, keep)
	r.Log.Info("rollout: step", zap.String("service", string(s)), zap.String("target", string(steps.Target)),
		zap.String("phase", string(steps.Phase)), zap.Float64("share", steps.Share), zap.String("reason", steps.Reason),
		zap.Int("starts", c.totals.Starts), zap.Int("requests", c.totals.Requests))
}

// Totals returns what this router has counted for each roll-out that goes on.
func (r *Router) Totals() map[jaywind.ServiceName]rollout.Totals {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[jaywind.ServiceName]rollout.Totals{}
	for s, c := range r.changes {
		if c.rollout.State.Phase.Final() {
			continue
		}
		t := c.totals
		t.Outcomes = maps.Clone(t.Outcomes)
		out[s] = t
	}
	return out
}

// Hear takes the totals of a router, this one among them.
func (r *Router) Hear(vm jaywind.VM, s jaywind.ServiceName, t rollout.Totals) {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := r.changes[s]; c != nil {
		c.rollout.Report(vm, t)
	}
}

// Decide returns the steps that a lead would have in force now, for each roll-out.
func (r *Router) Decide(now time.Time) map[jaywind.ServiceName]rollout.State {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[jaywind.ServiceName]rollout.State{}
	for s, c := range r.changes {
		var endpoints []rule.Endpoint
		for _, e := range r.table.EntriesOf(s) {
			endpoints = append(endpoints, rule.Endpoint{ID: e.ID, Version: e.Version, Domain: e.Domain})
		}
		c.rollout.SetEndpoints(endpoints)
		out[s] = c.rollout.Decide(now)
	}
	return out
}

// version says which version of its service may run a call; the caller holds mu.
func (r *Router) version(c *call) {
	ch := r.changes[c.service.Name]
	if ch == nil {
		return
	}
	target := ch.rollout.Order.Target
	if !slices.ContainsFunc(r.table.EntriesOf(c.service.Name), func(e endpoint.Entry) bool { return e.Version == target && !e.Leaving }) {
		return
	}
	steps := ch.rollout.State
	switch {
	case steps.Phase == rollout.PhaseShift || steps.Phase == rollout.PhaseDone,
		steps.Phase == rollout.PhaseCanary && rand.Float64() < steps.Share:
		c.need.Version = target
	default:
		c.need.ExcludeVersion = target
	}
	if !steps.Phase.Final() {
		ch.totals.Requests++
		c.change = ch
	}
}

// lateFactor is how much slower than the old version's 0.95 quantile an answer counts as late.
const lateFactor = 1.5

// outcome counts what an attempt came to for a roll-out; took is to the answer or its first event, 0 if there was none.
func (r *Router) outcome(c *call, e *endpoint.Endpoint, failed bool, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ch := c.change
	if ch == nil {
		return
	}
	fresh := e.Version == ch.rollout.Order.Target
	source := table.Source(e.Domain)
	if fresh {
		source = table.Source(e.ID)
	}
	ch.count(table.OutcomeKey{RouteMeasure: table.RouteMeasure{Route: c.route.Name, Measure: table.MeasureFailure}, New: fresh}, failed, source)
	if failed || took == 0 {
		return
	}
	q := ch.normal[c.route.Name]
	if q == nil {
		q = &table.Quantile{}
		ch.normal[c.route.Name] = q
	}
	if q.Ready() {
		late := float64(took) > lateFactor*float64(q.Value)
		ch.count(table.OutcomeKey{RouteMeasure: table.RouteMeasure{Route: c.route.Name, Measure: table.MeasureFirstToken}, New: fresh}, late, source)
	}
	if !fresh {
		q.Observe(took)
	}
}

// count adds one outcome.
func (ch *change) count(cell table.OutcomeKey, bad bool, source table.Source) {
	n := ch.totals.Outcomes[cell]
	if !bad {
		n.Good++
	} else {
		n.Bad++
		n.BadBySource = maps.Clone(n.BadBySource) // reports that were handed out keep theirs
		if n.BadBySource == nil {
			n.BadBySource = map[table.Source]uint64{}
		}
		n.BadBySource[source]++
	}
	ch.totals.Outcomes[cell] = n
}

// started counts a request that is sent to the new version; the caller holds mu.
func (c *call) started(e *endpoint.Endpoint) {
	if c.change != nil && e.Version == c.change.rollout.Order.Target {
		c.change.totals.Starts++
	}
}
