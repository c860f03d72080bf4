package router

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"jaywind"
	"jaywind/internal/core/endpoint"
	"jaywind/internal/core/retry"
	"jaywind/internal/core/route"
)

const (
	defaultWithin = 30 * time.Second      // for a caller that does not say how long it waits
	lastMoment    = 10 * time.Millisecond // before a caller's own limit, for the final answer to arrive
)

// Router carries calls; set the exported fields before the first call.
type Router struct {
	Self     jaywind.VM
	Domain   jaywind.Domain
	Upstream jaywind.Upstream
	Log      *zap.Logger
	Metrics  metrics.Registry
	Repeats  retry.Budget // of each service: its Share, Spare, Window and Since
	// Sighted is told of an engine that this router has identified while the registry is away; it must not wait. May be nil.
	Sighted func(e endpoint.Entry)
	// Borrow takes a repeat of a service from another router's part of the budget; nil for never.
	Borrow func(ctx context.Context, s jaywind.ServiceName) bool
	Blind  func() bool // whether the registry can't be read now; nil for never

	start sync.Once
	meter meter
	group conc.WaitGroup // of copies that are being made

	mu      sync.Mutex
	set     *route.Set
	table   endpoint.Table
	budgets map[jaywind.ServiceName]*retry.Budget
	routers int // that share the budgets
	surveys map[jaywind.ServiceName]*survey
	changes map[jaywind.ServiceName]*change
}

func (r *Router) init() {
	r.start.Do(func() {
		if r.Log == nil {
			r.Log = zap.NewNop()
		}
		if r.Metrics == nil {
			r.Metrics = metrics.NewRegistry()
		}
		r.meter.register(r.Metrics)
		r.budgets = map[jaywind.ServiceName]*retry.Budget{}
		r.surveys = map[jaywind.ServiceName]*survey{}
		r.changes = map[jaywind.ServiceName]*change{}
		r.routers = 1
	})
}

// Adopt puts a configuration in force unless a newer one is, and returns whether it did.
func (r *Router) Adopt(s *route.Set) bool {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.set != nil && s.Version <= r.set.Version {
		return false
	}
	r.set = s
	r.meter.version.Update(int64(s.Version))
	return true
}

// Config returns the configuration in force, or nil.
func (r *Router) Config() *route.Set {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.set
}

// Learn takes an entry of the registry.
func (r *Router) Learn(e endpoint.Entry) {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.table.Set(e) {
		r.Log.Info("endpoint: learnt", zap.String("endpoint", string(e.ID)), zap.String("service", string(e.Service)),
			zap.String("at", string(e.Address)), zap.String("domain", string(e.Domain)),
			zap.String("version", string(e.Version)), zap.Int64("born", e.Incarnation), zap.Bool("leaving", e.Leaving))
	}
	r.meter.endpoints.Update(int64(r.table.Count()))
}

// Forget drops an endpoint whose entry is gone; it is kept until expiry if the entry may come back.
func (r *Router) Forget(id jaywind.EndpointID, mayReturn bool) {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.table.Get(id) == nil {
		return
	}
	if mayReturn {
		r.table.MarkMissing(id, time.Now())
		r.Log.Info("endpoint: entry missing", zap.String("endpoint", string(id)))
		return
	}
	r.table.Remove(id)
	r.Log.Info("endpoint: gone", zap.String("endpoint", string(id)))
	r.meter.endpoints.Update(int64(r.table.Count()))
}

// Expire drops the endpoints whose entries have been missing since before a time.
func (r *Router) Expire(before time.Time) {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range r.table.Expire(before) {
		r.Log.Info("endpoint: gone", zap.String("endpoint", string(id)))
	}
	r.meter.endpoints.Update(int64(r.table.Count()))
}

// Share tells how many routers share the budgets and the endpoints, and which of them this one is, from 0.
func (r *Router) Share(place, routers int) {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.routers = max(1, routers)
	r.table.SetPartition(place, routers)
	r.meter.members.Update(int64(r.routers))
}

// Ready tells whether calls can be served.
func (r *Router) Ready() bool {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.set != nil && r.table.Count() > 0
}

// Wait returns when all copies that were being made have ended; no call may be served any more.
func (r *Router) Wait() { r.group.Wait() }

// Serve takes a request to its final answer. It ends early when ctx does, which says that the caller is gone.
func (r *Router) Serve(ctx context.Context, ask *Ask, answer Answer) {
	r.init()
	c, refusal := r.admit(ask, answer)
	if refusal.Reason != "" {
		r.meter.refuse(refusal)
		r.Log.Info("request: refused", zap.String("request", string(ask.ID)), zap.String("reason", string(refusal.Reason)),
			zap.String("host", ask.Host), zap.Duration("retry_after", refusal.After))
		answer.Refuse(refusal)
		return
	}
	if c.route.Kind == route.KindStream {
		r.stream(ctx, c)
		return
	}
	r.plain(ctx, c)
}

// admit finds the route of a request and checks its key.
func (r *Router) admit(ask *Ask, answer Answer) (*call, Refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.set == nil {
		return nil, Refusal{Reason: ReasonUnready, After: jitter(time.Second)}
	}
	rt := r.set.Match(ask.Host, ask.Path)
	if rt == nil {
		return nil, Refusal{Reason: ReasonRoute}
	}
	holder, known := r.set.OwnerOf(ask.Key)
	if !known && !rt.AllowAnonymous && r.set.RequiresKey() {
		return nil, Refusal{Reason: ReasonKey}
	}
	c := &call{ask: ask, answer: answer, route: rt, set: r.set, holder: holder}
	c.service = r.pickService(rt)
	if c.service == nil {
		return nil, Refusal{Reason: ReasonBusy, After: jitter(time.Second)}
	}
	within := defaultWithin
	if ask.Within > 0 {
		within = max(0, ask.Within-lastMoment)
	}
	if rt.Timeout > 0 {
		within = min(within, rt.Timeout)
	}
	c.due = ask.Arrived.Add(within)
	c.need = endpoint.Requirements{Model: ask.Model, MemoryTokens: ask.Prompt + ask.Output, PromptTokens: ask.Prompt}
	if c.service.Engine == nil {
		c.need = endpoint.Requirements{}
	}
	r.version(c)
	r.budget(c.service).RecordRequest(ask.Arrived)
	return c, Refusal{}
}

// streamTime is how long a stream takes as a rule, beside others.
const streamTime = 7 * time.Second

// TooLate tells whether work on a route can't be expected to end within a time; 0 stands for any time.
func (r *Router) TooLate(host, path string, within time.Duration) bool {
	if within <= 0 {
		return false
	}
	c := r.Config()
	if c == nil {
		return true
	}
	rt := c.Match(host, path)
	switch {
	case rt == nil:
		return false
	case rt.Kind == route.KindStream:
		return within < streamTime
	}
	return within < min(rt.Timeout, plainTime)
}

// plainTime is how long a plain call may take to be finished by a router that ends.
const plainTime = 1500 * time.Millisecond

// pickService draws one of a route's services by weight.
func (r *Router) pickService(rt *route.Route) *route.Service {
	total := 0
	for _, s := range rt.Backends {
		total += s.Weight
	}
	if total <= 0 {
		return nil
	}
	n := rand.IntN(total)
	for _, s := range rt.Backends {
		if n -= s.Weight; n < 0 {
			return r.set.Services[s.Service]
		}
	}
	return nil
}

func (r *Router) budget(s *route.Service) *retry.Budget {
	b := r.budgets[s.Name]
	if b == nil {
		b = &retry.Budget{Ratio: r.Repeats.Ratio, Reserve: r.Repeats.Reserve, Window: r.Repeats.Window, Started: r.Repeats.Started}
		r.budgets[s.Name] = b
	}
	return b
}

// repeat takes another send of a call from the budget, from this router's part or another's. If the last attempt did not
// get as far as the endpoint, which cause tells, the next one is no repeat.
func (r *Router) repeat(ctx context.Context, c *call, cause error) bool {
	if errors.Is(cause, jaywind.ErrNotSent) {
		return true
	}
	r.mu.Lock()
	ok := r.budget(c.service).Take(time.Now(), r.routers)
	r.mu.Unlock()
	if !ok && r.Borrow != nil && r.Borrow(ctx, c.service.Name) {
		r.meter.borrowed.Inc(1)
		ok = true
	}
	if !ok {
		r.meter.exhausted.Inc(1)
		r.Log.Info("request: no repeat left", c.fields()...)
	}
	return ok
}

// Lend counts a repeat of another router as this one's, if that is in its budget.
func (r *Router) Lend(s jaywind.ServiceName) bool {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.budgets[s]
	return b != nil && b.Lend(time.Now(), r.routers)
}

// place chooses an endpoint for a call and counts the call there.
func (r *Router) place(c *call) *endpoint.Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.table.Choose(c.service, c.need, time.Now())
	if e == nil && c.need.Version != "" {
		// Rather another version that runs than none, unless that one is known to be bad.
		other := c.need
		other.Version = ""
		e = r.table.Choose(c.service, other, time.Now())
	}
	if e != nil {
		r.table.StartCall(e, c.need)
		c.started(e)
		c.last = e.ID
	}
	return e
}

func (r *Router) finish(c *call, e *endpoint.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.FinishCall(e, c.need)
}

// blame counts a failure of an endpoint; one that does not answer a new connection, or that another has replaced, is gone.
func (r *Router) blame(ctx context.Context, c *call, e *endpoint.Endpoint, cause error) {
	r.mu.Lock()
	if errors.Is(cause, jaywind.ErrNotSent) || errors.Is(cause, jaywind.ErrEndpointReplaced) {
		r.table.RecordAbsence(e, time.Now())
	} else {
		r.table.RecordFailure(e, time.Now())
	}
	r.mu.Unlock()
	if errors.Is(cause, jaywind.ErrEndpointReplaced) && r.Blind != nil && r.Blind() {
		r.identify(ctx, c, e)
	}
}

// judge counts what an attempt showed of its endpoint.
func (r *Router) judge(e *endpoint.Endpoint, works bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if works {
		r.table.RecordSuccess(e)
		return
	}
	r.table.RecordFailure(e, time.Now())
}

// sending returns what an attempt of a call sends to an endpoint.
func (c *call) sending(e *endpoint.Endpoint, now time.Time) jaywind.UpstreamRequest {
	return jaywind.UpstreamRequest{
		Request: c.ask.ID, Endpoint: e.ID, Incarnation: e.Incarnation, Address: e.Address,
		Method: c.ask.Method, Host: c.ask.Host, Target: c.ask.Target, Header: c.ask.Header, Body: c.ask.Body,
		Organisation: c.holder.Organisation,
		TimeLeft:     c.left(now),
	}
}

// jitter spreads callers who come back over half to one and a half times d.
func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)))
}
