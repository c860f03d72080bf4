package router

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"jaywind"
	"jaywind/internal/core/balance"
	"jaywind/internal/core/endpoint"
	"jaywind/internal/core/route"
	"jaywind/internal/core/schedule"
)

// balancing is what the choice of endpoints by learned times keeps of a plain call.
type balancing struct {
	choice     balance.Choice // of the current attempt
	rejectedBy []schedule.Key
	exhausted  bool // all endpoints that may take the call have rejected it
}

// balancerOf returns the balancer of a plain service, or nil if calls are not balanced; the caller holds mu.
func (r *Router) balancerOf(s jaywind.ServiceName) *balance.Balancer {
	if r.BalanceUneven <= 0 {
		return nil
	}
	b := r.balancers[s]
	if b == nil {
		if r.balancers == nil {
			r.balancers = map[jaywind.ServiceName]*balance.Balancer{}
		}
		b = &balance.Balancer{}
		r.balancers[s] = b
	}
	b.Routers = r.routers
	return b
}

// balancerFor returns the balancer for a call, or nil if the call is not balanced; the caller holds mu.
func (r *Router) balancerFor(c *call) *balance.Balancer {
	if c.route.Kind == route.KindStream || c.service.Engine != nil {
		return nil
	}
	return r.balancerOf(c.service.Name)
}

// plainSamples returns what this router has seen of the plain calls to a service since it was last asked.
func (r *Router) plainSamples(s jaywind.ServiceName) []schedule.PlainSample {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.balancerOf(s)
	if b == nil {
		return nil
	}
	return b.Samples()
}

// applyPlainSummary takes over a summary of the plain calls of all routers, which was made at a time by this router's clock.
func (r *Router) applyPlainSummary(s jaywind.ServiceName, sum schedule.Summary, at time.Time) {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	if b := r.balancerOf(s); b != nil {
		b.Apply(sum, at)
	}
}

// callKind returns the kind of a route's calls for the balancer.
func callKind(k route.Kind) balance.Kind {
	if k == route.KindSafe {
		return balance.Safe
	}
	return balance.Unsafe
}

// chooserFor returns the function that chooses the endpoint of a call; the caller holds mu.
func (r *Router) chooserFor(c *call) func(*route.Service, endpoint.Requirements, time.Time) *endpoint.Endpoint {
	b := r.balancerFor(c)
	if b == nil {
		return r.table.Choose
	}
	return func(s *route.Service, n endpoint.Requirements, now time.Time) *endpoint.Endpoint {
		return r.chooseBalanced(b, c, n, now)
	}
}

// chooseBalanced chooses among the endpoints that may take a call: as the table does, unless their learned times differ or they reject
// calls. It returns nil if there is none, or if all have rejected the call.
func (r *Router) chooseBalanced(b *balance.Balancer, c *call, n endpoint.Requirements, now time.Time) *endpoint.Endpoint {
	c.balancing.choice = balance.Choice{}
	all := r.table.Eligible(c.service, n, now)
	if len(all) == 0 || c.balancing.exhausted {
		return nil
	}
	candidates := candidatesOf(all)
	spread := b.Spread(candidates, now)
	metrics.GetOrRegisterGaugeFloat64("plain.spread."+metricName(string(c.service.Name)), r.Metrics).Update(spread)
	if spread < r.BalanceUneven && !b.Rejecting(candidates, now) {
		return all[0]
	}
	all = slices.DeleteFunc(all, func(e *endpoint.Endpoint) bool {
		return slices.Contains(c.balancing.rejectedBy, schedule.KeyOf(e.Ref()))
	})
	if len(all) == 0 {
		c.balancing.exhausted = true
		return nil
	}
	choice := b.Choose(candidatesOf(all), callKind(c.route.Kind), now)
	c.balancing.choice = choice
	e := all[choice.Index]
	log := r.Log.Debug
	if choice.Probe {
		metrics.GetOrRegisterCounter("plain.probes", r.Metrics).Inc(1)
		log = r.Log.Info
	}
	log("request: balanced", c.fields(zap.String("to", string(e.ID)), zap.Bool("probe", choice.Probe), zap.Duration("expected", choice.Expected),
		zap.Int("open", choice.Open), zap.Float64("bad", choice.Bad), zap.Float64("spread", spread), zap.Int("candidates", len(all)))...)
	return e
}

// candidatesOf returns endpoints as the balancer knows them.
func candidatesOf(all []*endpoint.Endpoint) []balance.Candidate {
	out := make([]balance.Candidate, len(all))
	for i, e := range all {
		out[i] = balance.Candidate{Key: schedule.KeyOf(e.Ref()), Slots: e.Slots}
	}
	return out
}

// eligibleFor returns the endpoints that may take a call, as anyVersion does for one endpoint; the caller holds mu.
func (r *Router) eligibleFor(c *call, now time.Time) []*endpoint.Endpoint {
	n := c.requirements
	all := r.table.Eligible(c.service, n, now)
	if len(all) == 0 && n.Version != "" {
		n.Version = ""
		all = r.table.Eligible(c.service, n, now)
	}
	return all
}

// shedPlain refuses a call at its arrival if its service rejects more calls than it can serve, and reports whether it has.
func (r *Router) shedPlain(c *call) bool {
	now := time.Now()
	r.mu.Lock()
	b := r.balancerFor(c)
	if b == nil {
		r.mu.Unlock()
		return false
	}
	candidates := candidatesOf(r.eligibleFor(c, now))
	shed := b.Arrive(candidates, callKind(c.route.Kind), now)
	wait, share := b.RetryAfter(candidates, now), b.ShedShare()
	r.mu.Unlock()
	if !shed {
		return false
	}
	metrics.GetOrRegisterCounter("plain.shed", r.Metrics).Inc(1)
	r.Log.Info("request: shed", c.fields(zap.Float64("share", share), zap.Duration("drain", wait), zap.Int("candidates", len(candidates)))...)
	r.writeRefusal(c, ReasonRejecting, spreadReturn(wait))
	return true
}

// rejectedByAll reports whether all endpoints that may take a call have rejected it, the last one just now. Sending it again before one
// of them has worked off its queue would only add to the rejections.
func (r *Router) rejectedByAll(c *call, last *endpoint.Endpoint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.balancerFor(c) == nil {
		return false
	}
	n := c.requirements
	c.requirements.Avoid = append(slices.Clone(n.Avoid), last.ID)
	all := r.eligibleFor(c, time.Now())
	c.requirements = n
	c.balancing.exhausted = len(all) > 0 && !slices.ContainsFunc(all, func(e *endpoint.Endpoint) bool {
		return !slices.Contains(c.balancing.rejectedBy, schedule.KeyOf(e.Ref()))
	})
	return c.balancing.exhausted
}

// endRejected ends a call that all endpoints have rejected. The caller may try again when the first of them has worked off its queue.
func (r *Router) endRejected(c *call, failed *jaywind.Reply) {
	if failed != nil || c.mayHaveRun {
		r.endUnanswered(c, failed)
		return
	}
	now := time.Now()
	r.mu.Lock()
	wait := plainRetryAfter
	if b := r.balancerFor(c); b != nil {
		wait = b.RetryAfter(candidatesOf(r.eligibleFor(c, now)), now)
	}
	r.mu.Unlock()
	r.Log.Info("request: rejected by all endpoints", c.fields(zap.Int("endpoints", len(c.balancing.rejectedBy)), zap.Duration("drain", wait))...)
	r.writeRefusal(c, ReasonRejecting, spreadReturn(wait))
}

// spreadReturn returns a delay of up to half as much again, which spreads callers that try again.
func spreadReturn(d time.Duration) time.Duration { return d + rand.N(d/2+1) }

// startBalanced counts an attempt that is about to be sent. It returns nil if calls are not balanced.
func (r *Router) startBalanced(c *call, e *endpoint.Endpoint) *balance.Call {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.balancerFor(c)
	if b == nil {
		return nil
	}
	choice := c.balancing.choice
	choice.Key = schedule.KeyOf(e.Ref())
	return b.Start(choice, time.Now())
}

// endBalanced records the outcome of an attempt, unless one is recorded already.
func (r *Router) endBalanced(c *call, started *balance.Call, o balance.Outcome) {
	if started == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if o == balance.Rejected {
		c.balancing.rejectedBy = append(c.balancing.rejectedBy, started.Endpoint())
	}
	r.balancerOf(c.service.Name).End(started, o, time.Now())
}

// outcomeOf returns the outcome of an attempt for the balancer.
func outcomeOf(ctx context.Context, reply jaywind.Reply, err error) balance.Outcome {
	switch {
	case err == nil && reply.Status >= http.StatusInternalServerError:
		return balance.Failed
	case err == nil:
		return balance.Answered
	case errors.Is(err, jaywind.ErrBusy):
		return balance.Rejected
	case notRun(err), errors.Is(err, jaywind.ErrRelayLost):
		return balance.NotSent
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return balance.TimedOut
	case ctx.Err() != nil:
		return balance.Abandoned
	}
	return balance.Failed
}
