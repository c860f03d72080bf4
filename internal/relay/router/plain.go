package router

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"jaywind"
	"jaywind/internal/core/endpoint"
	"jaywind/internal/core/route"
)

const (
	maxMisses  = 3                      // sends of one call that endpoints did not take
	plainPause = 250 * time.Millisecond // for a refused caller to come back
)

// plain sends a call until it has an answer that counts, or may not be sent again.
func (r *Router) plain(ctx context.Context, c *call) {
	if c.route.Kind == route.KindUnsafe {
		// The call runs on when its caller leaves: to break it off would only leave its outcome unknown.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, c.due)
	defer cancel()
	misses := 0
	var failed *jaywind.Reply // an endpoint's own failure, which is the answer if nothing better comes
	for {
		e := r.place(c)
		if e == nil {
			r.settle(c, failed)
			return
		}
		reply, err := r.send(ctx, c, e)
		switch {
		case err == nil && reply.Status < http.StatusInternalServerError:
			r.reply(c, reply)
			return
		case err == nil:
			failed = &reply
		case ctx.Err() != nil:
			r.expire(c, ctx.Err())
			return
		case notRun(err):
			misses++
		}
		again := notRun(err) && misses <= maxMisses && r.repeat(ctx, c, err) || !notRun(err) && r.mayRepeat(ctx, c, err)
		if !again {
			r.settle(c, failed)
			return
		}
		c.need.Avoid = append(c.need.Avoid, e.ID)
		r.Log.Info("request: sent again", c.fields(zap.Int("status", reply.Status), zap.NamedError("cause", err))...)
	}
}

// settle ends a call that is not sent again, with an endpoint's failure if there was one.
func (r *Router) settle(c *call, failed *jaywind.Reply) {
	switch {
	case failed != nil:
		r.reply(c, *failed)
	case c.ran:
		r.refuse(c, ReasonLost, 0)
	default:
		r.refuse(c, ReasonBusy, plainPause)
	}
}

// mayRepeat takes a repeat from the budget if the call may run at one more endpoint.
func (r *Router) mayRepeat(ctx context.Context, c *call, cause error) bool {
	return c.route.Repeatable() && c.sends < c.route.MaxAttempts && r.repeat(ctx, c, cause)
}

// send makes one attempt and notes what it showed.
func (r *Router) send(ctx context.Context, c *call, e *endpoint.Endpoint) (jaywind.Reply, error) {
	defer r.finish(c, e)
	now := time.Now()
	reply, err := r.Upstream.Do(ctx, c.sending(e, now))
	if notRun(err) {
		r.meter.missed.Inc(1)
		if !errors.Is(err, jaywind.ErrBusy) && ctx.Err() == nil {
			r.blame(ctx, c, e, err)
		}
		return reply, err
	}
	c.ran = true
	c.sends++
	if ctx.Err() == nil {
		r.judge(e, err == nil)
		r.outcome(c, e, err != nil || reply.Status >= http.StatusInternalServerError, time.Since(now))
	}
	return reply, err
}

// notRun tells whether an attempt certainly did not run.
func notRun(err error) bool {
	return errors.Is(err, jaywind.ErrNotSent) || errors.Is(err, jaywind.ErrBusy) || errors.Is(err, jaywind.ErrEndpointReplaced)
}

// reply passes on an endpoint's answer.
func (r *Router) reply(c *call, reply jaywind.Reply) {
	r.meter.served(c.route.Kind, reply.Status, time.Since(c.ask.Arrived))
	r.Log.Info("request: answered", c.fields(zap.Int("status", reply.Status))...)
	c.answer.Reply(reply)
}

// refuse gives the router's own answer to a call.
func (r *Router) refuse(c *call, reason Reason, pause time.Duration) {
	refusal := Refusal{Reason: reason}
	if pause > 0 {
		refusal.After = jitter(pause)
	}
	r.meter.refuse(refusal)
	r.Log.Warn("request: given up", c.fields(zap.String("reason", string(reason)), zap.Bool("may_have_run", c.ran),
		zap.Duration("retry_after", refusal.After))...)
	c.answer.Refuse(refusal)
}

// expire ends a call whose time is over or whose caller is gone.
func (r *Router) expire(c *call, cause error) {
	switch {
	case errors.Is(cause, context.Canceled):
		r.meter.gone.Inc(1)
		r.Log.Info("request: caller gone", c.fields()...)
	case c.ran:
		r.refuse(c, ReasonLate, 0)
	default:
		r.refuse(c, ReasonUnsent, plainPause)
	}
}
