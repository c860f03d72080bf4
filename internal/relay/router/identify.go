package router

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"jaywind"
	"jaywind/internal/core/endpoint"
)

const identifyTimeout = 150 * time.Millisecond // a request waits for this call

// identify asks an engine that has replaced another one at its address for its identity, because the registry can't be
// read. The model of an engine shows its service if only one service has that model; other endpoints can't be matched to
// a service like this. The version is unknown, so nothing is identified during a roll-out of the service.
func (r *Router) identify(ctx context.Context, c *call, old *endpoint.Endpoint) {
	if c.service.Engine == nil || c.service.HealthPath == "" || c.set.ServiceFor(c.requirements.Model) != c.service || r.rolloutRunning(c.service.Name) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, identifyTimeout)
	defer cancel()
	id, err := r.Upstream.Identify(ctx, old.Ref(), c.service.HealthPath)
	if err != nil || !slices.Contains(id.Models, c.requirements.Model) {
		r.Log.Info("endpoint: identification failed", c.fields(zap.String("at", string(old.Address)), zap.Error(err))...)
		return
	}
	r.mu.Lock()
	e := old.Entry // the registry may change it meanwhile
	r.mu.Unlock()
	e.ID, e.Incarnation, e.Models, e.Leaving = id.ID, id.Incarnation, id.Models, id.Leaving
	if r.replaceEndpoint(e) && r.OnIdentified != nil {
		r.OnIdentified(e)
	}
}

// AddIdentified adds an engine that another router has identified, if this router can't read the registry either.
func (r *Router) AddIdentified(e endpoint.Entry) {
	r.init()
	set := r.Config()
	if r.RegistryUnavailable == nil || !r.RegistryUnavailable() || set == nil || set.Services[e.Service] == nil || set.Services[e.Service].Engine == nil || r.rolloutRunning(e.Service) {
		return
	}
	r.replaceEndpoint(e)
}

// replaceEndpoint adds an engine in place of an older one of the same service at its address. It returns false if there is
// no such engine or the new one is known already. The new engine expires unless the registry lists it once it is
// available.
func (r *Router) replaceEndpoint(e endpoint.Entry) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.table.ByAddress(e.Address)
	if old == nil || old.ID == e.ID || old.Service != e.Service || old.Incarnation >= e.Incarnation {
		return false
	}
	r.table.AddUnregistered(e)
	r.stats.identified.Inc(1)
	r.Log.Info("endpoint: identified", zap.String("endpoint", string(e.ID)), zap.String("instead_of", string(old.ID)),
		zap.String("at", string(e.Address)), zap.Int64("born", e.Incarnation))
	return true
}

// rolloutRunning tells whether a roll-out of a service is in progress.
func (r *Router) rolloutRunning(s jaywind.ServiceName) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	tr := r.rollouts[s]
	return tr != nil && !tr.rollout.State.Phase.Final()
}
