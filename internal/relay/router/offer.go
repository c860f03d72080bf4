package router

import (
	"context"
	"time"

	"go.uber.org/zap"

	"jaywind"
	"jaywind/internal/core/endpoint"
	"jaywind/internal/fleet/offer"
)

const (
	askFrom   = 0.3              // of the load that the best engine of the own part has, other routers are asked
	askGain   = 0.1              // by which another router's engine has to be better
	guestTime = 30 * time.Second // that another router's request is counted, if its end is not told
)

// market is where engines of other routers' parts are offered.
type market interface {
	Ask(ctx context.Context, s jaywind.ServiceName, n endpoint.Need) []offer.Offer
	Take(o offer.Offer, s jaywind.ServiceName, n endpoint.Need, request jaywind.RequestID)
	Release(o offer.Offer, request jaywind.RequestID)
}

// guest is a request of another router at an engine of this one's part.
type guest struct {
	at   *endpoint.Endpoint
	work *endpoint.Work
	till time.Time
}

// shop returns the engine that another router offers for a call, or nil if the own part is as good.
func (r *Router) shop(ctx context.Context, c *call) *endpoint.Endpoint {
	if r.Market == nil || c.service.Engine == nil {
		return nil
	}
	r.mu.Lock()
	own, load := r.table.Own(c.service, c.need, time.Now())
	r.mu.Unlock()
	if own != nil && load < askFrom {
		return nil
	}
	offers := r.Market.Ask(ctx, c.service.Name, c.need)
	r.mu.Lock()
	defer r.mu.Unlock()
	var best *endpoint.Endpoint
	var from offer.Offer
	for _, o := range offers {
		e := r.table.Get(o.Engine)
		if e == nil || !r.table.Suits(e, c.service, c.need, time.Now()) || own != nil && o.Load > load-askGain || best != nil && o.Load >= from.Load {
			continue
		}
		best, from = e, o
	}
	if best != nil {
		r.Market.Take(from, c.service.Name, c.need, c.ask.ID)
		c.lent = &from
		r.meter.offered.Inc(1)
	}
	return best
}

// Offer returns the engine of this router's part that suits a call best, and its load; empty if there is none.
func (r *Router) Offer(s jaywind.ServiceName, n endpoint.Need) (jaywind.EndpointID, float64) {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.set == nil || r.set.Services[s] == nil {
		return "", 0
	}
	e, load := r.table.Own(r.set.Services[s], n, time.Now())
	if e == nil {
		return "", 0
	}
	return e.ID, load
}

// Admit counts another router's request at an engine.
func (r *Router) Admit(request jaywind.RequestID, id jaywind.EndpointID, n endpoint.Need) {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.table.Get(id)
	if e == nil {
		return
	}
	if r.guests == nil {
		r.guests = map[jaywind.RequestID]guest{}
	}
	r.release(request)
	r.guests[request] = guest{at: e, work: r.table.Start(e, n), till: time.Now().Add(guestTime)}
}

// Release counts the end of another router's request.
func (r *Router) Release(request jaywind.RequestID) {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.release(request)
}

// release forgets a guest and those whose end was never told; the caller holds mu.
func (r *Router) release(request jaywind.RequestID) {
	now := time.Now()
	for id, g := range r.guests {
		if id == request || now.After(g.till) {
			r.table.Finish(g.at, g.work)
			delete(r.guests, id)
		}
	}
}

// giveBack tells the router that offered an engine that the call has ended there; the caller holds mu.
func (r *Router) giveBack(c *call) {
	if c.lent == nil {
		return
	}
	r.Market.Release(*c.lent, c.ask.ID)
	r.Log.Debug("offer: given back", zap.String("request", string(c.ask.ID)))
	c.lent = nil
}
