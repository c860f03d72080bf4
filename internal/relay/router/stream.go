package router

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"jaywind"
	"jaywind/internal/core/endpoint"
	"jaywind/internal/core/series"
)

const streamPause = 700 * time.Millisecond // for a refused caller to come back

// errCallerGone says that an event could not be passed on, which the server may notice only later.
var errCallerGone = errors.New("the caller is gone")

// flow is a stream on its way.
type flow struct {
	*call
	plan    series.ResumePlan
	cursor  series.Cursor
	begun   bool          // the head was passed on
	gap     time.Duration // usual time between two events
	lastAt  time.Time     // of the last event
	events  int
	first   time.Duration      // to the first event
	longest time.Duration      // between two events
	standby *endpoint.Endpoint // keeps a copy of the current run
	copy    jaywind.MemoryCopy // that it keeps
	grown   bool               // the current run has made an event, and so has memory to copy
	guard   guard
}

// run is one attempt of a stream at an endpoint.
type run struct {
	at     *endpoint.Endpoint
	copied bool // goes on from a copy
	begun  time.Time
	events jaywind.EventStream
}

// stream carries a stream to its end, at as many endpoints as it takes.
func (r *Router) stream(ctx context.Context, c *call) {
	ctx, cancel := context.WithDeadline(ctx, c.due)
	defer cancel()
	f := &flow{call: c, plan: series.ResumePlan{Retryable: c.route.Repeatable(), MaxAttempts: c.route.MaxAttempts}}
	if c.ask.Resumed {
		f.cursor = series.CursorAfter(c.ask.After)
	}
	step := series.ActionRestart
	at := r.recall(ctx, f)
	for {
		if at == nil {
			at = r.next(f, step)
		}
		if at == nil {
			r.giveUp(f)
			return
		}
		loss, err := r.attempt(ctx, f, run{at: at, copied: step == series.ActionUseCopy, begun: time.Now()})
		if err == nil {
			return
		}
		if errors.Is(err, errCallerGone) {
			r.cutShort(f, context.Canceled)
			return
		}
		if ctx.Err() != nil {
			r.cutShort(f, ctx.Err())
			return
		}
		step = f.plan.AfterFailure(loss, f.standby != nil && f.grown)
		if loss != series.FailureNoCopy { // an endpoint without the copy is as good as any other
			c.need.Avoid = append(c.need.Avoid, at.ID)
		}
		last, _ := f.cursor.LastID()
		r.Log.Warn("stream: lost", c.fields(zap.Error(err), zap.Stringer("loss", loss), zap.Stringer("next", step),
			zap.Int64("event", last), zap.Int64("silent_ms", f.silent()))...)
		if step == series.ActionGiveUp || !r.repeat(ctx, c, err) {
			r.giveUp(f)
			return
		}
		at = nil
	}
}

func (f *flow) silent() int64 {
	if f.lastAt.IsZero() {
		return -1
	}
	return time.Since(f.lastAt).Milliseconds()
}

// next returns the endpoint of the next attempt, which counts there already.
func (r *Router) next(f *flow, step series.Action) *endpoint.Endpoint {
	if step == series.ActionUseCopy {
		r.mu.Lock()
		defer r.mu.Unlock()
		at := f.standby
		f.standby = nil
		f.last = at.ID
		r.table.RemoveCopy(at, f.need)
		r.table.StartCall(at, f.need)
		return at
	}
	r.dropCopy(f)
	return r.place(f.call)
}

func (r *Router) dropCopy(f *flow) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f.standby != nil {
		r.table.RemoveCopy(f.standby, f.need)
		f.standby = nil
	}
}

// keepCopy chooses the endpoint that keeps a copy of the next run.
func (r *Router) keepCopy(f *flow, at *endpoint.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f.standby = r.table.ChooseStandby(f.service, at, f.need, time.Now())
	f.guard, f.grown = guard{}, false
	if f.standby != nil {
		r.table.AddCopy(f.standby, f.need)
		f.copy = jaywind.MemoryCopy{Address: f.standby.Address, Name: string(f.ask.ID)}
	}
}

// attempt carries a stream on at one endpoint; a nil error means that it has ended whole or was answered.
func (r *Router) attempt(ctx context.Context, f *flow, n run) (series.Failure, error) {
	reading := true
	stopReading := func() {
		if reading {
			r.mu.Lock()
			r.table.FinishPrefill(n.at, f.need)
			r.mu.Unlock()
			reading = false
		}
	}
	defer r.finish(f.call, n.at)
	defer stopReading()

	s := f.sending(n.at, time.Now())
	s.LastEventID, s.Resumed = f.cursor.LastID()
	s.Urgent = f.begun || f.ask.Resumed
	if n.copied {
		s.Copy = f.copy
	}
	r.keepCopy(f, n.at)
	if f.standby != nil {
		s.Standby = f.standby.Address
	}
	limit := series.FirstEventTimeout
	if n.copied {
		limit = series.SilenceTimeout(f.gap, 2*f.route.EventTimeout)
	}
	events, reply, err := r.Upstream.Open(ctx, s, limit)
	if err == nil && events == nil {
		f.ran = true
		f.sends++
		return r.refusedStream(f, n, reply)
	}
	if err != nil {
		return r.unopened(ctx, f, n, err)
	}
	defer func() { _ = events.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = events.Close() })
	defer stop()
	f.ran = true
	f.sends++
	f.plan.RunStarted()
	n.events = events
	copying, cancel := context.WithCancel(ctx)
	defer cancel() // with the run
	return r.follow(ctx, copying, f, n, limit, stopReading)
}

// unopened notes why no stream was opened.
func (r *Router) unopened(ctx context.Context, f *flow, n run, err error) (series.Failure, error) {
	if !errors.Is(err, jaywind.ErrBusy) && ctx.Err() == nil {
		r.blame(ctx, f.call, n.at, err)
	}
	switch {
	case n.copied && errors.Is(err, jaywind.ErrBusy):
		r.meter.copyMissing.Inc(1)
		return series.FailureNoCopy, err
	case errors.Is(err, jaywind.ErrNotSent):
		return series.FailureNotSent, err
	case notRun(err):
		r.meter.missed.Inc(1)
		return series.FailureNotRun, err
	}
	f.ran = true
	f.sends++
	f.plan.RunStarted()
	if errors.Is(err, jaywind.ErrIdleTimeout) {
		return series.FailureSilent, err
	}
	return series.FailureBroken, err
}

// refusedStream handles an endpoint's answer that is no stream.
func (r *Router) refusedStream(f *flow, n run, reply jaywind.Reply) (series.Failure, error) {
	f.plan.RunStarted()
	r.outcome(f.call, n.at, reply.Status >= http.StatusInternalServerError, 0)
	if f.begun || reply.Status >= http.StatusInternalServerError && f.sends < f.route.MaxAttempts && f.route.Repeatable() {
		return series.FailureBroken, errors.New(http.StatusText(reply.Status))
	}
	r.reply(f.call, reply)
	return 0, nil
}

// follow passes the events of an attempt on. Whether the caller is gone is told by ctx itself: when it ends, the connection
// may be closed before a context that derives from it, such as copying, has ended.
func (r *Router) follow(ctx, copying context.Context, f *flow, n run, limit time.Duration, first func()) (series.Failure, error) {
	for {
		e, err := n.events.Next(limit)
		switch {
		case errors.Is(err, io.EOF):
			r.whole(f, n)
			return 0, nil
		case err != nil && ctx.Err() != nil:
			return series.FailureBroken, err // the router closed the connection itself
		case errors.Is(err, jaywind.ErrIdleTimeout):
			r.judge(n.at, false)
			return series.FailureSilent, err
		case err != nil:
			r.judge(n.at, false)
			return series.FailureBroken, err
		}
		switch f.cursor.Check(e.ID) {
		case series.Duplicate:
			continue
		case series.Gap:
			return series.FailureBroken, jaywind.ErrBadAnswer
		}
		if !f.grown {
			first()
			f.grown = true
			r.outcome(f.call, n.at, false, time.Since(n.begun))
		}
		if !f.begun {
			f.begun = true
			f.first = time.Since(f.ask.Arrived)
			r.meter.first.Update(f.first.Milliseconds())
			f.answer.Begin(n.events.Head())
		}
		if err := f.answer.Event(e.Raw); err != nil {
			return series.FailureBroken, fmt.Errorf("%w: %w", errCallerGone, err)
		}
		r.pace(f, n)
		r.keepGuard(copying, f, n)
		limit = series.SilenceTimeout(f.gap, f.route.EventTimeout)
	}
}

// pace measures the time between events.
func (r *Router) pace(f *flow, n run) {
	now := time.Now()
	if f.lastAt.IsZero() {
		f.lastAt = now
		return
	}
	gap := now.Sub(f.lastAt)
	f.lastAt = now
	f.events++
	f.longest = max(f.longest, gap)
	if f.sends > 1 && n.copied && gap > f.gap {
		r.meter.pause.Update(gap.Milliseconds())
	}
	f.gap += (gap - f.gap) / 8
	if f.events == 1 {
		f.gap = gap
	}
}

// whole ends a stream that came to its end.
func (r *Router) whole(f *flow, n run) {
	r.dropCopy(f)
	r.judge(n.at, true)
	if !f.begun {
		f.answer.Begin(n.events.Head())
	}
	r.meter.served(f.route.Kind, http.StatusOK, time.Since(f.ask.Arrived))
	if n.copied {
		r.meter.copyUsed.Inc(1)
	}
	r.Log.Info("stream: whole", f.fields(zap.Int("events", f.events), zap.Bool("from_copy", n.copied), zap.Bool("resumed", f.ask.Resumed),
		zap.Int64("first_ms", f.first.Milliseconds()), zap.Int64("longest_ms", f.longest.Milliseconds()))...)
}

// giveUp ends a stream that can't go on.
func (r *Router) giveUp(f *flow) {
	r.dropCopy(f)
	switch {
	case f.begun:
		r.meter.broken.Inc(1)
		r.Log.Warn("stream: given up", f.fields(zap.Int("events", f.events), zap.Duration("timeout", f.route.Timeout),
			zap.Duration("within", f.ask.Within))...)
		f.answer.Break()
	case f.ran:
		r.refuse(f.call, ReasonLost, 0)
	default:
		r.refuse(f.call, ReasonBusy, streamPause)
	}
}

// cutShort ends a stream whose time is over or whose caller is gone.
func (r *Router) cutShort(f *flow, cause error) {
	r.dropCopy(f)
	if f.begun && !errors.Is(cause, context.Canceled) {
		r.giveUp(f)
		return
	}
	r.expire(f.call, cause)
}
