package router

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"jaywind"
	"jaywind/internal/backend/link"
	"jaywind/internal/core/endpoint"
	"jaywind/internal/core/hedge"
	"jaywind/internal/core/route"
	"jaywind/internal/core/table"
)

// Denials of the router itself; the others come from the budget.
const (
	deniedNoEndpoint  hedge.Denial = "no endpoint" // of another failure domain that is not slow takes the call
	deniedQuarantined hedge.Denial = "quarantined" // the request may crash endpoints
)

// hedgeState is what a router has learned for hedging; Router.mu guards it.
type hedgeState struct {
	learner hedge.Learner
	budgets map[jaywind.ServiceName]*hedge.Budget
	index   int // of this router among those that share the endpoints
}

// budgetOf returns the hedge budget of a service.
func (s *hedgeState) budgetOf(name jaywind.ServiceName, share float64) *hedge.Budget {
	b := s.budgets[name]
	if b == nil {
		if s.budgets == nil {
			s.budgets = map[jaywind.ServiceName]*hedge.Budget{}
		}
		b = &hedge.Budget{Share: share}
		s.budgets[name] = b
	}
	return b
}

// hedgedAttempt is one of the attempts of a call that may run at two endpoints. It has a copy of the call, as both attempts change it.
type hedgedAttempt struct {
	attempt
	call   *call
	sends  int // of the call when the attempt started
	cancel context.CancelFunc

	reply jaywind.Reply
	err   error
	took  time.Duration
}

// errAttemptPanicked is the outcome of an attempt that has panicked.
var errAttemptPanicked = errors.New("the attempt has panicked")

// isGood reports whether the outcome of an attempt is the answer to the call.
func isGood(reply jaywind.Reply, err error) bool {
	return err == nil && reply.Status < http.StatusInternalServerError
}

// sendHedged makes an attempt of a plain call. If it takes longer than usual, a second one is made in another failure domain, and
// the first good answer is returned; the other attempt is cancelled. If both fail, the outcome that says most is returned. The
// argument a becomes the attempt whose outcome is returned; the endpoint of another one that has failed is added to Avoid.
func (r *Router) sendHedged(ctx context.Context, c *call, a *attempt) (jaywind.Reply, error) {
	delay, mayHedge := r.hedgeDelay(c)
	if !mayHedge {
		reply, err := r.send(ctx, c, a.endpoint)
		r.learnAnswerTime(c, a.endpoint, time.Since(a.startedAt), isGood(reply, err))
		return reply, err
	}
	var group conc.WaitGroup
	ended := make(chan *hedgedAttempt, 2)
	first := r.startHedged(ctx, &group, c, *a, ended)
	defer first.cancel()
	var second, outcome *hedgedAttempt
	timer := time.NewTimer(delay)
	defer timer.Stop()
	running := 1
	for running > 0 && (outcome == nil || !isGood(outcome.reply, outcome.err)) {
		select {
		case h := <-ended:
			running--
			c.attempts += h.call.attempts - h.sends
			c.mayHaveRun = c.mayHaveRun || h.call.mayHaveRun
			outcome = r.preferOutcome(ctx, c, outcome, h)
		case <-timer.C:
			if len(ended) > 0 || ctx.Err() != nil {
				continue
			}
			if second = r.startSecond(ctx, &group, c, first, ended); second != nil {
				defer second.cancel()
				running++
			}
		}
	}
	*a = outcome.attempt
	c.lastEndpoint = a.endpoint.ID
	if second == nil {
		group.Wait()
		late := ctx.Err() != nil && outcome.took >= delay // a lower bound of its time
		r.learnAnswerTime(c, a.endpoint, outcome.took, late || isGood(outcome.reply, outcome.err))
		return outcome.reply, outcome.err
	}
	r.endHedge(c, first, second, outcome, delay, running > 0, &group)
	return outcome.reply, outcome.err
}

// hedgeDelay returns after which time a call may be hedged, or false if it is not.
func (r *Router) hedgeDelay(c *call) (time.Duration, bool) {
	if r.HedgeShare <= 0 || c.route.Kind != route.KindSafe || c.route.MaxAttempts < 2 {
		return 0, false
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !c.hedgeable {
		c.hedgeable = true
		r.hedges.budgetOf(c.service.Name, r.HedgeShare).RecordRequest(now)
	}
	if c.hedged || c.losses > 0 || c.attempts+2 > c.route.MaxAttempts { // a request that ends endpoints runs at one at a time
		return 0, false
	}
	return r.hedges.learner.Delay(c.hedgeKey(), now)
}

// hedgeKey names the requests to which the answer times of a call are comparable.
func (c *call) hedgeKey() hedge.Key {
	return hedge.Key{Route: c.route.Name, Service: c.service.Name}
}

// startHedged starts an attempt that sends its outcome to ended.
func (r *Router) startHedged(ctx context.Context, group *conc.WaitGroup, c *call, a attempt, ended chan<- *hedgedAttempt) *hedgedAttempt {
	copied := *c
	c.observation = nil // the attempt ends it
	ctx, cancel := context.WithCancel(ctx)
	h := &hedgedAttempt{attempt: a, call: &copied, sends: c.attempts, cancel: cancel, err: errAttemptPanicked}
	group.Go(func() {
		defer func() { ended <- h }() // also after a panic, which the group returns
		h.reply, h.err = r.send(ctx, h.call, h.endpoint)
		h.took = time.Since(h.startedAt)
	})
	return h
}

// startSecond starts the second attempt of a call, or returns nil if there may be none.
func (r *Router) startSecond(ctx context.Context, group *conc.WaitGroup, c *call, first *hedgedAttempt, ended chan<- *hedgedAttempt) *hedgedAttempt {
	copied := *c
	e, denial := r.acquireHedge(&copied, first.endpoint, time.Now())
	if denial != hedge.Allowed {
		r.stats.recordHedgeDenied(denial)
		r.Log.Debug("request: not hedged", c.fields(zap.String("reason", string(denial)))...)
		return nil
	}
	c.hedged = true
	r.stats.hedges.Inc(1)
	return r.startHedged(ctx, group, &copied, attempt{endpoint: e, startedAt: time.Now()}, ended)
}

// acquireHedge chooses the endpoint of a second attempt and counts the call there, or returns why there is no such attempt.
func (r *Router) acquireHedge(c *call, first *endpoint.Endpoint, now time.Time) (*endpoint.Endpoint, hedge.Denial) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.quarantine.Count() > 0 && len(r.quarantine.Matching(c.service.Name, c.parts(), now)) > 0 {
		return nil, deniedQuarantined
	}
	slow := func(e *endpoint.Endpoint) bool { return r.hedges.learner.Slow(c.hedgeKey(), e.ID, now) }
	e := r.table.ChooseHedge(c.service, first, c.requirements, slow, now)
	if e == nil {
		return nil, deniedNoEndpoint
	}
	retries := r.budgetFor(c.service)
	sharers := r.sharers.Most(now, r.RetryBudget.Window)
	part := hedge.Part{Index: r.hedges.index, Routers: r.routers}
	if denial := r.hedges.budgetOf(c.service.Name, r.HedgeShare).Take(now, part, retries.Left(now, sharers)); denial != hedge.Allowed {
		return nil, denial
	}
	if !retries.Take(now, sharers) { // never, as half of the budget is left
		return nil, hedge.DeniedRetries
	}
	r.table.StartCall(e, c.requirements)
	c.countStart(e)
	r.observe(c, e, table.MeasureFirstToken)
	c.lastEndpoint = e.ID
	return e, hedge.Allowed
}

// preferOutcome returns the outcome of an attempt of a call, or that of an earlier one if it says more. It records the failure of the
// other one.
func (r *Router) preferOutcome(ctx context.Context, c *call, earlier, h *hedgedAttempt) *hedgedAttempt {
	if earlier == nil {
		return h
	}
	other := earlier
	if outcomeRank(earlier) < outcomeRank(h) {
		h, other = earlier, h
	}
	if ctx.Err() != nil {
		return h
	}
	if !errors.Is(other.err, jaywind.ErrLimited) { // otherwise the endpoint is held for all calls
		c.requirements.Avoid = append(c.requirements.Avoid, other.endpoint.ID)
	}
	if link.IsConnectionEnd(other.err) {
		c.lastEndpoint = other.endpoint.ID
		r.countPlainLoss(c, other.attempt, other.err)
	}
	return h
}

// outcomeRank orders outcomes by how much they say about a call: an answer, an error response, a failure, a call that did not run.
func outcomeRank(h *hedgedAttempt) int {
	switch {
	case isGood(h.reply, h.err):
		return 0
	case h.err == nil:
		return 1
	case !notRun(h.err):
		return 2
	case !errors.Is(h.err, jaywind.ErrLimited):
		return 3
	}
	return 4
}

// endHedge cancels the attempt of a hedged call that still runs, and records the outcomes.
func (r *Router) endHedge(c *call, first, second, outcome *hedgedAttempt, delay time.Duration, running bool, group *conc.WaitGroup) {
	winner := ""
	for _, h := range []*hedgedAttempt{first, second} {
		switch {
		case h != outcome && running:
			h.cancel()
			c.attempts++ // its endpoint may have received bytes
			r.stats.hedgesCancelled.Inc(1)
			// The lower bound of its time shows that the endpoint is slow.
			if took := time.Since(h.startedAt); took >= delay {
				r.learnAnswerTime(c, h.endpoint, took, true)
			}
		case isGood(h.reply, h.err):
			r.learnAnswerTime(c, h.endpoint, h.took, true)
		case errors.Is(h.err, jaywind.ErrBusy):
			r.recordNoRoom(c.service.Name)
		}
	}
	if isGood(outcome.reply, outcome.err) {
		winner = string(outcome.endpoint.ID)
		if outcome == second {
			r.stats.hedgesWon.Inc(1)
		}
	}
	if running {
		r.runInBackground(func(context.Context) { group.Wait() }) // the caller does not wait for it, but the stop of the router does
	} else {
		group.Wait()
	}
	r.Log.Info("request: hedged", c.fields(zap.Duration("delay", second.startedAt.Sub(first.startedAt)), zap.Duration("quantile", delay),
		zap.String("first", string(first.endpoint.ID)), zap.String("second", string(second.endpoint.ID)), zap.String("winner", winner))...)
}

// learnAnswerTime records how long an endpoint took for a good answer to a call that may be hedged.
func (r *Router) learnAnswerTime(c *call, e *endpoint.Endpoint, took time.Duration, good bool) {
	if !good || !c.hedgeable {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hedges.learner.Add(c.hedgeKey(), e.ID, took, time.Now())
}

// recordNoRoom stops the hedges of a service for a while, as a request of it was refused or waits.
func (r *Router) recordNoRoom(s jaywind.ServiceName) {
	if r.HedgeShare <= 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hedges.budgetOf(s, r.HedgeShare).RecordNoRoom(time.Now())
}
