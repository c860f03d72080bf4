package router

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"os"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"jaywind"
	"jaywind/internal/backend/link"
	"jaywind/internal/core/balance"
	"jaywind/internal/core/endpoint"
	"jaywind/internal/core/route"
)

const (
	maxNotRun        = 3                      // attempts of one call that did not run
	maxLimitRefusals = 16                     // attempts of one call that the limits of endpoints did not allow
	plainRetryAfter  = 250 * time.Millisecond // until a refused caller may try again
)

// servePlain sends a plain call until an endpoint answers it, or until it may not be sent again.
func (r *Router) servePlain(ctx context.Context, c *call) {
	if c.route.Kind == route.KindUnsafe {
		// Not cancelled when the caller disconnects, as that would only leave the outcome of the call unknown.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, release := r.untilStop(ctx)
	defer release()
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	notRunCount := 0
	var failed *jaywind.Reply // last server error of an endpoint; the final response if no other endpoint gives a better one
	if why, left := r.quarantineOf(c); why != "" {
		r.writeRefusal(c, why, left+rand.N(quarantineReturnSpread))
		return
	}
	defer r.returnProbe(c)
	if r.shedPlain(c) {
		return
	}
	for {
		e := r.acquireEndpoint(c)
		if e == nil {
			r.endUnanswered(c, failed)
			return
		}
		a := attempt{endpoint: e, startedAt: time.Now()}
		reply, err := r.sendHedged(ctx, c, &a)
		switch {
		case err == nil && reply.Status < http.StatusInternalServerError:
			r.writeReply(c, reply)
			return
		case err == nil:
			failed = &reply
		case ctx.Err() != nil:
			r.endCancelled(c, endCause(ctx))
			return
		case errors.Is(err, jaywind.ErrLimited):
			c.limitRefusals++
			r.Log.Info("request: the endpoint's limit is used up", c.fields()...)
			continue // the endpoint is held for all calls
		case notRun(err):
			notRunCount++
		case link.IsConnectionEnd(err):
			if r.recordPlainLoss(ctx, c, a, err) {
				r.endUnanswered(c, failed)
				return
			}
		}
		if errors.Is(err, jaywind.ErrBusy) && r.rejectedByAll(c, e) {
			r.endRejected(c, failed)
			return
		}
		again := notRun(err) && notRunCount <= maxNotRun && r.takeRetry(ctx, c, err) || !notRun(err) && r.mayRetry(ctx, c, err)
		if !again {
			r.endUnanswered(c, failed)
			return
		}
		c.requirements.Avoid = append(c.requirements.Avoid, a.endpoint.ID)
		r.Log.Info("request: retrying", c.fields(zap.Int("status", reply.Status), zap.NamedError("cause", err))...)
	}
}

// endUnanswered ends a call that is not sent again, with an endpoint's error response if there was one.
func (r *Router) endUnanswered(c *call, failed *jaywind.Reply) {
	switch {
	case failed != nil:
		r.writeReply(c, *failed)
	case c.mayHaveRun:
		r.writeRefusal(c, ReasonAnswerLost, 0)
	default:
		r.refuseBusy(c, plainRetryAfter)
	}
}

// refuseBusy ends a call that no endpoint takes. If all endpoints have asked for a pause or their limits are used up, the caller may
// try again when the first of them takes calls, which may lie past its deadline; otherwise after a usual time.
func (r *Router) refuseBusy(c *call, usual time.Duration) {
	r.recordNoRoom(c.service.Name)
	now := time.Now()
	r.mu.Lock()
	unrestricted := c.requirements
	unrestricted.Version = "" // as in acquireEndpoint
	wait, limited := r.table.OpensIn(c.service.Name, unrestricted, now)
	r.mu.Unlock()
	if wait == 0 {
		r.writeRefusal(c, ReasonBusy, jitter(usual))
		return
	}
	reason := ReasonPaused
	if limited {
		reason = ReasonLimited
	}
	r.Log.Info("request: no endpoint takes calls now", c.fields(zap.Duration("wait", wait), zap.Bool("limited", limited), zap.Bool("past_deadline", wait > c.timeLeft(now)))...)
	r.writeRefusal(c, reason, wait+rand.N(wait/4+returnSpread))
}

// returnSpread is the least time over which callers return after a pause.
const returnSpread = 200 * time.Millisecond

// mayRetry takes a retry from the budget if the call may run at one more endpoint.
func (r *Router) mayRetry(ctx context.Context, c *call, cause error) bool {
	return c.route.Repeatable() && c.attempts < c.route.MaxAttempts && r.takeRetry(ctx, c, cause)
}

// send makes one attempt and records its outcome.
func (r *Router) send(ctx context.Context, c *call, e *endpoint.Endpoint) (jaywind.Reply, error) {
	defer r.releaseEndpoint(c, e)
	release, err := r.takePermit(ctx, c, e)
	if err != nil {
		return jaywind.Reply{}, err
	}
	started := r.startBalanced(c, e)
	defer r.endBalanced(c, started, balance.NotSent) // has no effect unless Do panics
	reply, err := r.Upstream.Do(ctx, c.upstreamRequest(e, time.Now()))
	r.endBalanced(c, started, outcomeOf(ctx, reply, err))
	release(err)
	if errors.Is(err, jaywind.ErrLimited) {
		return reply, err
	}
	if notRun(err) {
		r.stats.notRun.Inc(1)
		if !errors.Is(err, jaywind.ErrBusy) && ctx.Err() == nil {
			r.recordFailure(ctx, c, e, err)
		}
		return reply, err
	}
	c.mayHaveRun = true
	c.attempts++
	if err == nil {
		r.addSurvivor(c)
	}
	if ctx.Err() == nil && !errors.Is(err, jaywind.ErrRelayLost) {
		r.recordResult(e, err == nil)
		r.recordOutcome(c, e, err != nil || reply.Status >= http.StatusInternalServerError, true)
	}
	return reply, err
}

// notRun tells whether an error shows that the attempt certainly did not run.
func notRun(err error) bool {
	return errors.Is(err, jaywind.ErrNotSent) || errors.Is(err, jaywind.ErrBusy) || errors.Is(err, jaywind.ErrEndpointReplaced)
}

// recordCut logs that a call ends without a whole answer.
func (r *Router) recordCut(c *call, level zapcore.Level, message, cause string, more ...zap.Field) {
	fields := c.fields(more...)[1:] // the recorder adds the request
	r.Cuts.Record(level, message, c.request.ID, cause, fields...)
}

// writeReply forwards an endpoint's response.
func (r *Router) writeReply(c *call, reply jaywind.Reply) {
	r.stats.recordAnswer(c.route.Kind, reply.Status, time.Since(c.request.Arrived))
	r.Log.Info("request: answered", c.fields(zap.Int("status", reply.Status), viaField(reply.Via))...)
	c.response.Reply(reply)
}

// writeRefusal ends a call with the router's own response; a retryAfter of 0 tells the caller nothing.
func (r *Router) writeRefusal(c *call, reason Reason, retryAfter time.Duration) {
	refusal := Refusal{Reason: reason, RetryAfter: retryAfter}
	r.stats.recordRefusal(refusal)
	r.Log.Warn("request: failed", c.fields(zap.String("reason", string(reason)), zap.Bool("may_have_run", c.mayHaveRun),
		zap.Duration("retry_after", refusal.RetryAfter))...)
	c.response.Refuse(refusal)
}

// endCancelled ends a call whose deadline has passed, whose caller has disconnected or whose router exits.
func (r *Router) endCancelled(c *call, cause error) {
	switch {
	case errors.Is(cause, errCallerGone) && errors.Is(cause, os.ErrDeadlineExceeded):
		r.recordCut(c, zap.WarnLevel, "request: cut", "the caller does not read")
		c.response.AbortStream()
	case errors.Is(cause, context.Canceled), errors.Is(cause, errCallerGone):
		r.stats.callerGone.Inc(1)
		r.recordCut(c, zap.InfoLevel, "request: caller disconnected", "caller disconnected")
		c.response.AbortStream() // a caller that has only closed its sending side still reads
	case c.mayHaveRun && errors.Is(cause, errStopping):
		r.writeRefusal(c, ReasonStopping, 0)
	case c.mayHaveRun:
		r.writeRefusal(c, ReasonTimeout, 0)
	default:
		r.writeRefusal(c, ReasonNotSent, jitter(plainRetryAfter))
	}
}
