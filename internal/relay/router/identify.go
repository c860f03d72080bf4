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
	if c.service.Engine == nil || c.service.Health == "" || c.set.Serving(c.need.Model) != c.service || r.changing(c.service.Name) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, identifyLimit)
	defer cancel()
	id, err := r.Upstream.Identify(ctx, old.Address, c.service.Health)
	if err != nil || !slices.Contains(id.Models, c.need.Model) {
		r.Log.Info("endpoint: not identified", c.fields(zap.String("at", string(old.Address)), zap.Error(err))...)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.table.Get(id.ID); e != nil {
		return // the registry, or another call, was faster
	}
	e := old.Entry
	e.ID, e.Born, e.Models, e.Leaving = id.ID, id.Born, id.Models, false
	r.table.Set(e)
	r.table.Miss(e.ID, time.Now()) // it lapses unless the registry confirms it
	r.meter.identified.Inc(1)
	r.Log.Info("endpoint: identified", c.fields(zap.String("as", string(e.ID)), zap.String("at", string(e.Address)),
		zap.Int64("born", e.Born))...)
}

// changing tells whether a roll-out of a service goes on.
func (r *Router) changing(s jaywind.ServiceName) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.changes[s]
	return c != nil && !c.rollout.Steps.Phase.Final()
}
