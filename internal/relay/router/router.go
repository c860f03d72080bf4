package router

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/singleflight"

	"jaywind"
	"jaywind/internal/core/balance"
	"jaywind/internal/core/drain"
	"jaywind/internal/core/endpoint"
	"jaywind/internal/core/limit"
	"jaywind/internal/core/permit"
	"jaywind/internal/core/retry"
	"jaywind/internal/core/rollout"
	"jaywind/internal/core/route"
	"jaywind/internal/core/silence"
	"jaywind/internal/core/suspect"
	"jaywind/internal/core/table"
	"jaywind/internal/operator/cuts"
)

const (
	defaultTimeout = 30 * time.Second      // for a caller that states no time limit
	replyMargin    = 10 * time.Millisecond // subtracted from the caller's time limit, so that the final response arrives in time
	maxLoggedHost  = 96                    // bytes
)

// Router forwards requests; set the exported fields before the first call.
type Router struct {
	Self        jaywind.VM
	Domain      jaywind.Domain
	Upstream    jaywind.Upstream
	Log         *zap.Logger
	Cuts        *cuts.Recorder // of the requests that end without a whole answer; writes to Log if nil
	Metrics     metrics.Registry
	RetryBudget retry.Budget // settings of each service's budget: Ratio, Reserve, Window and Started
	// OnIdentified is called with an engine that this router has identified while the registry was unavailable. It must not
	// block. May be nil.
	OnIdentified func(e endpoint.Entry)
	// OnLeaving is called with an endpoint that is leaving, if the other routers may not know it. It must not block. May be nil.
	OnLeaving func(e jaywind.EndpointRef)
	// OnRelayedPause is called with a pause that an endpoint has asked for in an answer that came through another router, which the
	// endpoint takes for the one that called it. It must not block. May be nil.
	OnRelayedPause func(via jaywind.Address, e jaywind.EndpointRef, d time.Duration)
	// OnLoss is called with each run that is lost at its beginning because its engine ended. It must not block. May be nil.
	OnLoss func(l suspect.Loss)
	// OnLifted is called with a group whose quarantine this router has lifted. It must not block. May be nil.
	OnLifted func(g suspect.Group)
	// BorrowRetry takes a retry for a service from another router's part of the budget. May be nil.
	BorrowRetry         func(ctx context.Context, s jaywind.ServiceName) bool
	Limiter             Limiter         // counts the calls to endpoints that name a limit; nil for not at all
	Permits             Permits         // bounds the calls under way at brittle endpoints; nil for not at all
	Scheduler           Scheduler       // assigns the runs of all routers to engines; nil for not at all
	Scheduling          Scheduling      // says for which services
	Stopping            context.Context // ends shortly before this router exits, and with it the calls in progress; never if nil
	Calls               *drain.Calls    // runs the calls to endpoints that no request waits for; set by the first call if nil
	BalanceUneven       float64         // ratio of the learned times of a plain service's endpoints from which on calls are balanced by them; 0 for never
	RegistryUnavailable func() bool     // reports whether the registry can't be read now; nil for never
	HedgeShare          float64         // of the repeatable requests of a service that may be hedged; 0 for none

	start sync.Once
	stats callStats

	mu        sync.Mutex
	set       *route.Set
	table     endpoint.Table
	budgets   map[jaywind.ServiceName]*retry.Budget
	routers   int           // number of routers that share the endpoints
	sharers   retry.Sharers // that share the budgets
	lookups   map[jaywind.ServiceName]*cacheLookup
	rollouts  map[jaywind.ServiceName]*rolloutTracker
	baselines map[jaywind.ServiceName]map[table.RouteMeasure]*table.Durations // without those of new versions in a roll-out

	rolloutStates map[jaywind.ServiceName]rollout.State // as last read, whether or not their orders are known

	balancers  map[jaywind.ServiceName]*balance.Balancer // of plain services; nil before the first call
	scheduling map[jaywind.ServiceName]*scheduled
	silences   map[jaywind.ServiceName]*silence.Tracker // of engines
	asks       singleflight.Group                       // whether endpoints work

	brittle    permit.Tracker
	quarantine suspect.Quarantine
	survivors  suspect.Survivors
	departures []departure // endpoints whose departure may have to be announced
	hedges     hedgeState
}

// Limiter counts the calls of all routers to endpoints that name a limit for them together.
type Limiter interface {
	// Observe applies what an endpoint said in an answer, and reports whether it is news.
	Observe(e jaywind.EndpointRef, r limit.Reading) bool
	// Take reports whether a call may be sent to an endpoint now, and if not, when one of that priority may.
	Take(ctx context.Context, e jaywind.EndpointRef, p jaywind.Priority) (allowed bool, retryAt time.Time)
}

// Permits grants permits for the calls of all routers to brittle endpoints.
type Permits interface {
	// Take returns a function that returns the permit and is told whether the endpoint has turned the call away; or nil, and when a permit
	// may be free.
	Take(ctx context.Context, e jaywind.EndpointRef, q permit.Question) (release func(rejected bool), retryAt time.Time)
}

func (r *Router) init() {
	r.start.Do(func() {
		if r.Log == nil {
			r.Log = zap.NewNop()
		}
		if r.Metrics == nil {
			r.Metrics = metrics.NewRegistry()
		}
		if r.Calls == nil {
			r.Calls = &drain.Calls{}
		}
		if r.Cuts == nil {
			r.Cuts = &cuts.Recorder{Log: r.Log}
		}
		r.stats.register(r.Metrics)
		r.budgets = map[jaywind.ServiceName]*retry.Budget{}
		r.lookups = map[jaywind.ServiceName]*cacheLookup{}
		r.rollouts = map[jaywind.ServiceName]*rolloutTracker{}
		r.baselines = map[jaywind.ServiceName]map[table.RouteMeasure]*table.Durations{}
		r.rolloutStates = map[jaywind.ServiceName]rollout.State{}
		r.scheduling = map[jaywind.ServiceName]*scheduled{}
		r.silences = map[jaywind.ServiceName]*silence.Tracker{}
		r.routers = 1
	})
}

// SetConfig puts a configuration in force unless one of the same or a newer version is, and returns whether it did.
func (r *Router) SetConfig(s *route.Set) bool {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.set != nil && s.Version <= r.set.Version {
		return false
	}
	r.set = s
	r.stats.version.Update(int64(s.Version))
	return true
}

// Config returns the configuration in force, or nil.
func (r *Router) Config() *route.Set {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.set
}

// UpdateEndpoint adds or updates an endpoint from its registry entry.
func (r *Router) UpdateEndpoint(e endpoint.Entry) {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.Leaving {
		r.forgetDeparture(e.Ref())
	}
	if r.table.Set(e) {
		r.Log.Info("endpoint: updated", zap.String("endpoint", string(e.ID)), zap.String("service", string(e.Service)),
			zap.String("at", string(e.Address)), zap.String("domain", string(e.Domain)),
			zap.String("version", string(e.Version)), zap.Int64("born", e.Incarnation), zap.Bool("leaving", e.Leaving))
	}
	r.stats.endpoints.Update(int64(r.table.Count()))
}

// RemoveEndpoint removes an endpoint whose registry entry is gone. If the entry may return, the endpoint stays until
// ExpireEndpoints removes it.
func (r *Router) RemoveEndpoint(id jaywind.EndpointID, mayReturn bool) {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.table.Get(id) == nil {
		return
	}
	if mayReturn {
		r.table.MarkMissing(id, time.Now())
		r.Log.Info("endpoint: registry entry missing", zap.String("endpoint", string(id)))
		return
	}
	r.table.Remove(id)
	r.Log.Info("endpoint: removed", zap.String("endpoint", string(id)))
	r.stats.endpoints.Update(int64(r.table.Count()))
}

// ExpireEndpoints removes the endpoints whose entries went missing before a time, and the identified ones that the
// registry does not list.
func (r *Router) ExpireEndpoints(before time.Time) {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range r.table.Expire(before) {
		r.Log.Info("endpoint: removed", zap.String("endpoint", string(id)))
	}
	r.stats.endpoints.Update(int64(r.table.Count()))
}

// SetPartition sets the number of routers that share the budgets and the endpoints, and the index of this one, from 0.
func (r *Router) SetPartition(index, routers int) {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.routers = max(1, routers)
	r.sharers.Set(r.routers, time.Now())
	r.table.SetPartition(index, routers)
	r.hedges.index = index
	r.stats.members.Update(int64(r.routers))
}

// Ready tells whether there are a configuration and an endpoint, so that requests can be served.
func (r *Router) Ready() bool {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.set != nil && r.table.Count() > 0
}

// runInBackground runs a call to endpoints that no request waits for. A panic in it ends that call only.
func (r *Router) runInBackground(call func(ctx context.Context)) {
	r.init()
	r.Calls.Go(func(ctx context.Context) {
		defer func() {
			if cause := recover(); cause != nil {
				r.Log.Error("router: panic in a call to endpoints", zap.Any("cause", cause), zap.Stack("stack"))
			}
		}()
		call(ctx)
	})
}

// errStopping ends the calls in progress when the router exits.
var errStopping = errors.New("the router stops")

// untilStop returns a context that also ends with errStopping when the router exits, and a function that releases it.
func (r *Router) untilStop(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	release := func() { cancel(nil) }
	if r.Stopping == nil {
		return ctx, release
	}
	stop := context.AfterFunc(r.Stopping, func() { cancel(errStopping) })
	return ctx, func() { stop(); release() }
}

// endCause returns why the context of a call has ended, or nil if it has not.
func endCause(ctx context.Context) error {
	if errors.Is(context.Cause(ctx), errStopping) {
		return errStopping
	}
	return ctx.Err()
}

// Serve forwards a request and writes its final response. When ctx is cancelled the caller has disconnected, and Serve ends
// early.
func (r *Router) Serve(ctx context.Context, request *Request, response ResponseWriter) {
	r.init()
	c, refusal := r.admit(request, response)
	if refusal.Reason != "" {
		r.stats.recordRefusal(refusal)
		r.Log.Info("request: refused", zap.String("request", request.ID.Logged()), zap.String("reason", string(refusal.Reason)),
			zap.String("host", request.Host[:min(len(request.Host), maxLoggedHost)]), zap.Duration("retry_after", refusal.RetryAfter))
		response.Refuse(refusal)
		return
	}
	if c.route.Kind == route.KindStream {
		r.serveStream(ctx, c)
		return
	}
	r.servePlain(ctx, c)
}

// admit matches a request to its route, checks its key and sets its deadline and its requirements on endpoints.
func (r *Router) admit(request *Request, response ResponseWriter) (*call, Refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.set == nil {
		return nil, Refusal{Reason: ReasonNoConfig, RetryAfter: jitter(time.Second)}
	}
	rt := r.set.Match(request.Host, request.Path)
	if rt == nil {
		return nil, Refusal{Reason: ReasonNoRoute}
	}
	owner, known := r.set.OwnerOf(request.APIKey)
	if !known && !rt.AllowAnonymous && r.set.RequiresKey() {
		return nil, Refusal{Reason: ReasonUnknownKey}
	}
	c := &call{request: request, response: response, route: rt, set: r.set, keyOwner: owner, draw: rand.Float64()}
	c.service = r.pickService(rt)
	if c.service == nil {
		return nil, Refusal{Reason: ReasonBusy, RetryAfter: jitter(time.Second)}
	}
	c.deadline = request.Arrived.Add(r.timeoutOf(request, rt))
	c.requirements = endpoint.Requirements{Model: request.Model, MemoryTokens: request.PromptTokens + request.MaxTokens, PromptTokens: request.PromptTokens}
	if c.service.Engine == nil {
		c.requirements = endpoint.Requirements{}
	}
	r.restrictVersion(c)
	r.budgetFor(c.service).RecordRequest(request.Arrived)
	return c, Refusal{}
}

// usualStreamTime is how long a stream usually takes under load.
const usualStreamTime = 7 * time.Second

// CannotFinish tells whether a request, of which only host, path and timeout need be known, is not expected to end within the remaining
// time; 0 means no limit. One that may run once only needs all of the time that it may take, as its outcome would be unknown.
func (r *Router) CannotFinish(q *Request, remaining time.Duration) bool {
	if remaining <= 0 {
		return false
	}
	set := r.Config()
	if set == nil {
		return true
	}
	rt := set.Match(q.Host, q.Path)
	switch {
	case rt == nil:
		return false
	case rt.Kind == route.KindStream:
		return remaining < usualStreamTime
	}
	limit := r.timeoutOf(q, rt)
	if rt.Kind == route.KindSafe {
		limit = min(limit, plainFinishTime)
	}
	return remaining < limit
}

// timeoutOf returns the time in which a request gets its final response.
func (r *Router) timeoutOf(q *Request, rt *route.Route) time.Duration {
	timeout := defaultTimeout
	if q.Timeout > 0 {
		timeout = max(0, q.Timeout-replyMargin)
	}
	if rt.Timeout > 0 {
		timeout = min(timeout, rt.Timeout)
	}
	return timeout
}

// plainFinishTime is the time that a router which is shutting down allows for a plain request that may be repeated.
const plainFinishTime = 1500 * time.Millisecond

// pickService draws one of a route's services at random by weight.
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

func (r *Router) budgetFor(s *route.Service) *retry.Budget {
	b := r.budgets[s.Name]
	if b == nil {
		b = &retry.Budget{Ratio: r.RetryBudget.Ratio, Reserve: r.RetryBudget.Reserve, Window: r.RetryBudget.Window, Started: r.RetryBudget.Started}
		r.budgets[s.Name] = b
	}
	return b
}

// takeRetry takes a retry of a call from this router's part of the budget, or else from another router's. If the last
// attempt, which ended with cause, sent nothing to its endpoint, the next one does not count as a retry.
func (r *Router) takeRetry(ctx context.Context, c *call, cause error) bool {
	ok := r.tryRetry(ctx, c, cause)
	if !ok {
		r.stats.overBudget.Inc(1)
		r.Log.Info("request: retry budget is spent", c.fields()...)
	}
	return ok
}

// tryRetry is takeRetry for a call that looks for a retry again and again. It does not log or count that there is none.
func (r *Router) tryRetry(ctx context.Context, c *call, cause error) bool {
	if errors.Is(cause, jaywind.ErrNotSent) {
		return true
	}
	r.mu.Lock()
	now := time.Now()
	ok := r.budgetFor(c.service).Take(now, r.sharers.Most(now, r.RetryBudget.Window))
	r.mu.Unlock()
	if !ok && r.BorrowRetry != nil && r.BorrowRetry(ctx, c.service.Name) {
		r.stats.borrowed.Inc(1)
		ok = true
	}
	return ok
}

// LendRetry counts a retry of another router against this router's budget and returns true, or returns false if the budget
// does not allow it.
func (r *Router) LendRetry(s jaywind.ServiceName) bool {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	b, now := r.budgets[s], time.Now()
	return b != nil && b.Lend(now, r.sharers.Most(now, r.RetryBudget.Window))
}

// acquireEndpoint chooses an endpoint for a call and counts the call there until releaseEndpoint. It returns nil if there is
// none.
func (r *Router) acquireEndpoint(c *call) *endpoint.Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updateVersion(c)
	if c.exceedsLimitRefusals() {
		return nil
	}
	e := anyVersion(r.chooserFor(c), c.service, c.requirements)
	if e != nil {
		r.table.StartCall(e, c.requirements)
		c.countStart(e)
		r.observe(c, e, table.MeasureFirstToken)
		c.lastEndpoint = e.ID
	}
	return e
}

// exceedsLimitRefusals reports whether the limits of endpoints have turned a call away so often that it is not tried again.
func (c *call) exceedsLimitRefusals() bool {
	return c.limitRefusals > maxLimitRefusals && !c.requirements.Urgent
}

// anyVersion chooses an endpoint of the required version, or of another one that is not excluded if there is none.
func anyVersion(choose func(*route.Service, endpoint.Requirements, time.Time) *endpoint.Endpoint, s *route.Service, n endpoint.Requirements) *endpoint.Endpoint {
	e := choose(s, n, time.Now())
	if e == nil && n.Version != "" {
		n.Version = ""
		e = choose(s, n, time.Now())
	}
	return e
}

func (r *Router) releaseEndpoint(c *call, e *endpoint.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.FinishCall(e, c.requirements)
	r.endObservation(c, false)
}

// recordFailure counts a failure of an endpoint. One that accepts no connection, or that another endpoint has replaced at its
// address, is recorded as absent. A call that was held back because of a pause, or that was lost with the router that relayed it, is no
// failure.
func (r *Router) recordFailure(ctx context.Context, c *call, e *endpoint.Endpoint, cause error) {
	if errors.Is(cause, jaywind.ErrPushedBack) || errors.Is(cause, jaywind.ErrRelayLost) {
		return
	}
	r.mu.Lock()
	absent := errors.Is(cause, jaywind.ErrNotSent) || errors.Is(cause, jaywind.ErrEndpointReplaced)
	if absent {
		r.table.RecordAbsence(e, time.Now())
	} else {
		r.table.RecordFailure(e, time.Now())
	}
	r.reportFailure(e, absent)
	r.mu.Unlock()
	if errors.Is(cause, jaywind.ErrEndpointReplaced) && r.RegistryUnavailable != nil && r.RegistryUnavailable() {
		r.identify(ctx, c, e)
	}
}

// recordResult counts a success or a failure of an endpoint.
func (r *Router) recordResult(e *endpoint.Endpoint, works bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if works {
		r.table.RecordSuccess(e)
		return
	}
	r.table.RecordFailure(e, time.Now())
	r.reportFailure(e, false)
}

// upstreamRequest returns the request that an attempt of a call sends to an endpoint.
func (c *call) upstreamRequest(e *endpoint.Endpoint, now time.Time) jaywind.UpstreamRequest {
	return jaywind.UpstreamRequest{
		Request: c.request.ID, Endpoint: e.Ref(),
		Method: c.request.Method, Host: c.request.Host, Target: c.request.Target, Header: c.request.Header, Body: c.request.Body,
		Organisation: c.keyOwner.Organisation,
		TimeLeft:     c.timeLeft(now),
	}
}

// jitter returns a random delay between 0.5 and 1.5 times d, which spreads callers that try again.
func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)))
}
