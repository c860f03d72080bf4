package router

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"jaywind"
	"jaywind/internal/core/endpoint"
)

const identifyLimit = 150 * time.Millisecond // for an engine to say who it is, while a call waits

// identify asks the engine that has replaced another one at its address who it is, as the registry can't be read. Only
// an engine can be known so: its model tells which service it belongs to, if just one serves it. During a roll-out its
// version can't be told.
func (r *Router) identify(ctx context.Context, c *call, old *endpoint.Endpoint) {
	if c.service.Engine == nil || c.service.HealthPath == "" || c.set.ServiceFor(c.need.Model) != c.service || r.changing(c.service.Name) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, identifyLimit)
	defer cancel()
	id, err := r.Upstream.Identify(ctx, old.Address, c.service.HealthPath)
	if err != nil || !slices.Contains(id.Models, c.need.Model) {
		r.Log.Info("endpoint: not identified", c.fields(zap.String("at", string(old.Address)), zap.Error(err))...)
		return
	}
	e := old.Entry
	e.ID, e.Incarnation, e.Models, e.Leaving = id.ID, id.Incarnation, id.Models, false
	if r.confirm(e) && r.Sighted != nil {
		r.Sighted(e)
	}
}

// HearOf takes an engine that another router has identified, if this one can't read the registry either.
func (r *Router) HearOf(e endpoint.Entry) {
	r.init()
	c := r.Config()
	if r.Blind == nil || !r.Blind() || c == nil || c.Services[e.Service] == nil || c.Services[e.Service].Engine == nil || r.changing(e.Service) {
		return
	}
	r.confirm(e)
}

// confirm adds an engine that has replaced a known one at its address, and returns false if it is known already or that
// one is not. It lapses unless the registry has it once it is back.
func (r *Router) confirm(e endpoint.Entry) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.table.ByAddress(e.Address)
	if old == nil || old.ID == e.ID || old.Service != e.Service || old.Incarnation >= e.Incarnation {
		return false
	}
	r.table.AddUnregistered(e)
	r.meter.identified.Inc(1)
	r.Log.Info("endpoint: identified", zap.String("endpoint", string(e.ID)), zap.String("instead_of", string(old.ID)),
		zap.String("at", string(e.Address)), zap.Int64("born", e.Incarnation))
	return true
}

// changing tells whether a roll-out of a service goes on.
func (r *Router) changing(s jaywind.ServiceName) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.changes[s]
	return c != nil && !c.rollout.State.Phase.Final()
}
