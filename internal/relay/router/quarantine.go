package router

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"jaywind"
	"jaywind/internal/backend/link"
	"jaywind/internal/core/endpoint"
	"jaywind/internal/core/series"
	"jaywind/internal/core/suspect"
)

// beginTime is how long after its first event a run has survived its beginning.
const beginTime = 300 * time.Millisecond

// quarantineDelay is usually enough for a loss to be collected and a quarantine to be announced.
const quarantineDelay = 250 * time.Millisecond

// causeQuarantined is why a stream that has run is given up because of its prompt or the whole request.
const causeQuarantined = "it crashes engines"

// endCheckTimeout bounds the check whether an endpoint that has closed a connection has ended.
const endCheckTimeout = 200 * time.Millisecond

// quarantineReturnSpread is the time over which callers return after a quarantine.
const quarantineReturnSpread = 10 * time.Second

// AddQuarantine keeps back the requests whose prompts have the parts of a group, and reports whether that is news.
func (r *Router) AddQuarantine(g suspect.Group) bool {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.quarantine.Add(g, time.Now()) {
		return false
	}
	r.stats.quarantined.Update(int64(r.quarantine.Count()))
	r.Log.Warn("quarantine: requests crash endpoints", zap.Bool("whole", g.IsRequest()), zap.String("service", string(g.Service)), zap.Any("parts", g.Parts))
	return true
}

// LiftQuarantine lets the requests of a group run again, and reports whether they were kept back.
func (r *Router) LiftQuarantine(g suspect.Group) bool {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.quarantine.Lift(g, time.Now()) {
		return false
	}
	r.stats.quarantined.Update(int64(r.quarantine.Count()))
	r.Log.Warn("quarantine: lifted, a run has survived", zap.String("service", string(g.Service)), zap.Any("parts", g.Parts))
	return true
}

// IsLifted reports whether the quarantine of a group was lifted lately.
func (r *Router) IsLifted(g suspect.Group) bool {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.quarantine.IsLifted(g, time.Now())
}

// Quarantined returns the groups in force that a prompt with these shared parts has.
func (r *Router) Quarantined(s jaywind.ServiceName, shared []jaywind.PromptPart) []suspect.Group {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.quarantine.Matching(s, shared, time.Now())
}

// AllowProbe lets one request of a quarantined group run after a delay. If it survives, the quarantine is lifted.
func (r *Router) AllowProbe(g suspect.Group, delay time.Duration) {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.quarantine.AllowProbe(g, time.Now().Add(delay))
}

// EndProbes lets no request of a quarantined group run, until AllowProbe is called again.
func (r *Router) EndProbes(g suspect.Group) {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.quarantine.EndProbes(g)
}

// QuarantinesInForce returns all groups that are quarantined.
func (r *Router) QuarantinesInForce() []suspect.Group {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.quarantine.InForce(time.Now())
}

// SoundParts returns those of a service's parts under which runs of this router have survived their beginning, and whether any run of
// the service has lately.
func (r *Router) SoundParts(s jaywind.ServiceName, parts []jaywind.PromptPart) (sound []jaywind.PromptPart, survived bool) {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.survivors.Among(s, parts), r.survivors.Any(s, time.Now())
}

// quarantineOf returns why a request is kept back and for how long, or an empty reason. A request that has not run may be let through
// as a probe.
func (r *Router) quarantineOf(c *call) (why Reason, left time.Duration) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.quarantine.Count() == 0 {
		return "", 0
	}
	held := r.quarantine.Matching(c.service.Name, c.parts(), now)
	if len(held) == 0 {
		return "", 0
	}
	switch {
	case c.mayHaveRun:
	case c.isProbe && len(held) == 1:
		return "", 0
	case r.quarantine.TakeProbe(c.service.Name, c.parts(), now):
		c.isProbe = true
		r.Log.Info("quarantine: a request is let through", c.fields(zap.Any("parts", c.parts()))...)
		return "", 0
	}
	left, _ = r.quarantine.Holds(c.service.Name, c.parts(), now)
	r.Log.Info("quarantine: a request is refused", c.fields(zap.Any("parts", c.parts()), zap.Duration("left", left))...)
	for _, g := range held {
		if g.IsRequest() {
			return ReasonDeadly, left
		}
	}
	return ReasonQuarantined, left
}

// returnProbe lets another request run as a probe if this one was let through and has not run.
func (r *Router) returnProbe(c *call) {
	if !c.isProbe || c.mayHaveRun {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.quarantine.ReturnProbe(c.service.Name, c.parts(), time.Now())
}

// isQuarantined reports whether a stream is kept back. It ends the stream if so.
func (r *Router) isQuarantined(st *streamCall) bool {
	why, left := r.quarantineOf(st.call)
	switch {
	case why == "":
		return false
	case st.mayHaveRun:
		r.failStream(st, causeQuarantined)
	default:
		r.releaseStandby(st)
		r.writeRefusal(st.call, why, left+rand.N(quarantineReturnSpread))
	}
	return true
}

// recordSurvival records that the current run of a stream has survived its beginning, once.
func (r *Router) recordSurvival(st *streamCall) {
	if !st.survived {
		st.survived = true
		st.plan.RunSurvived()
		r.addSurvivor(st.call)
	}
}

// addSurvivor records that a run of a request has survived, which lifts a quarantine of it.
func (r *Router) addSurvivor(c *call) {
	now := time.Now()
	r.mu.Lock()
	r.survivors.Add(c.service.Name, c.parts(), now)
	refuted := r.quarantine.Matching(c.service.Name, c.parts(), now)
	r.mu.Unlock()
	for _, g := range refuted {
		if r.LiftQuarantine(g) && r.OnLifted != nil {
			r.OnLifted(g)
		}
	}
}

// recordLoss reports the loss of a stream's run at its beginning if the engine closed the connection, as one does that ends. It then
// waits for a quarantine that the loss may lead to.
func (r *Router) recordLoss(ctx context.Context, st *streamCall, a attempt, loss series.Failure, cause error) {
	if loss != series.FailureBroken || st.survived || !link.IsConnectionEnd(cause) || st.service.Engine == nil {
		return
	}
	r.stats.beginLosses.Inc(1)
	if r.OnLoss != nil {
		r.reportLoss(st.call, a.endpoint, a.startedAt)
		pause(ctx, quarantineDelay)
	}
}

// reportLoss reports a run that was lost as its endpoint closed the connection, once it is known whether the endpoint has ended.
func (r *Router) reportLoss(c *call, at *endpoint.Endpoint, startedAt time.Time) {
	now := time.Now()
	health := c.service.HealthPath
	l := suspect.Loss{Service: c.service.Name, Engine: at.Ref(), Domain: at.Domain, LostAt: now, Ran: now.Sub(startedAt), Prompt: c.request.LastPart, Shared: c.request.SharedParts, Request: c.wholePart()}
	r.runInBackground(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, endCheckTimeout)
		defer cancel()
		l.Ended = r.Upstream.HasEnded(ctx, l.Engine, health)
		r.OnLoss(l)
	})
}

// recordPlainLoss reports the loss of a plain call. From the second one on it waits for a quarantine that the losses may lead to, and
// reports whether the call may not be sent again.
func (r *Router) recordPlainLoss(ctx context.Context, c *call, a attempt, cause error) (heldBack bool) {
	r.countPlainLoss(c, a, cause)
	if r.OnLoss == nil {
		return false
	}
	if c.losses > 1 && c.attempts < c.route.MaxAttempts {
		pause(ctx, quarantineDelay)
	}
	why, _ := r.quarantineOf(c)
	return why != ""
}

// countPlainLoss reports the loss of a plain call.
func (r *Router) countPlainLoss(c *call, a attempt, cause error) {
	r.stats.lost.Inc(1)
	r.Log.Warn("request: lost with its endpoint", c.fields(zap.Error(cause), zap.String("whole", string(c.wholePart())))...)
	c.losses++
	if r.OnLoss != nil {
		r.reportLoss(c, a.endpoint, a.startedAt)
	}
}
