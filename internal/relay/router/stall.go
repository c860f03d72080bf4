package router

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"jaywind/internal/core/endpoint"
	"jaywind/internal/core/series"
)

// Causes for which a stream is given up or waits.
const (
	causeNoEndpoint = "no endpoint takes the call"
	causeNoRetry    = "retry budget is spent"
)

const waitInterval = 200 * time.Millisecond // between two looks for an endpoint or a retry

// waitsForStalled reports whether a stream waits on for an endpoint that is silent, at which it is in its last run of the given
// number. A sound endpoint may fall silent, so the stream leaves it only if it has ended, or if the stream can go on elsewhere.
func (r *Router) waitsForStalled(ctx context.Context, st *streamCall, e *endpoint.Endpoint, runs int) bool {
	r.mu.Lock()
	listed := r.rowOf(e.Ref()) != nil
	elsewhere := st.plan.MayRunAgain(runs) && r.canLeave(st, e)
	r.mu.Unlock()
	if ctx.Err() != nil {
		return false
	}
	take := r.takeRetry
	if st.stalled { // it has looked for a retry before
		take = r.tryRetry
	}
	if elsewhere && take(ctx, st.call, nil) {
		st.retryTaken = true
		return false
	}
	if st.hasEnded(listed, time.Now()) {
		return false
	}
	if !st.stalled {
		st.stalled = true
		r.recordResult(e, false) // for new work
	}
	r.logWait(st, "endpoint is silent")
	return true
}

// unlistedTime is for how long a silent endpoint that the registry does not list may still go on.
const unlistedTime = 2500 * time.Millisecond

// hasEnded reports whether the silent endpoint of a stream has ended, to judge by the time since the registry does not list it.
func (st *streamCall) hasEnded(listed bool, now time.Time) bool {
	if listed {
		st.unlistedAt = time.Time{}
		return false
	}
	if st.unlistedAt.IsZero() {
		st.unlistedAt = now
	}
	return now.Sub(st.unlistedAt) > unlistedTime
}

// canLeave reports whether a stream can go on at its standby or at another endpoint that has room; the caller holds mu.
func (r *Router) canLeave(st *streamCall, e *endpoint.Endpoint) bool {
	if st.standby != nil && st.producing && r.table.AcceptsWork(st.standby, time.Now()) {
		return true
	}
	n := st.requirements
	n.Avoid = append(slices.Clone(n.Avoid), e.ID)
	return anyVersion(r.table.ChooseWithRoom, st.service, n) != nil
}

// awaitEndpoint returns the endpoint of the next attempt, as nextEndpoint does. A stream that has begun waits for one. It returns nil
// if there is none or if ctx ends, and a refusal if the schedule has no room for the stream.
func (r *Router) awaitEndpoint(ctx context.Context, st *streamCall, step series.Action) (at *endpoint.Endpoint, fromCopy bool, refusal *Refusal) {
	if backoff := st.plan.Backoff(); st.plan.Begun && backoff > 0 && !pause(ctx, jitter(backoff)) {
		return nil, false, nil
	}
	for {
		at, fromCopy, refusal = r.nextEndpoint(ctx, st, step)
		if at != nil || refusal != nil || !st.plan.Begun {
			return at, fromCopy, refusal
		}
		r.logWait(st, causeNoEndpoint)
		if !pause(ctx, jitter(waitInterval)) {
			return nil, false, nil
		}
	}
}

// awaitRetry takes a retry for the next attempt of a stream. A stream that has begun waits for one until ctx ends.
func (r *Router) awaitRetry(ctx context.Context, st *streamCall, cause error) bool {
	if st.retryTaken {
		st.retryTaken = false
		return true
	}
	if r.takeRetry(ctx, st.call, cause) {
		return true
	}
	for st.plan.Begun {
		r.logWait(st, causeNoRetry)
		if !pause(ctx, jitter(waitInterval)) {
			return false
		}
		if r.tryRetry(ctx, st.call, cause) {
			return true
		}
	}
	return false
}

// logWait logs and counts the first wait of a stream.
func (r *Router) logWait(st *streamCall, cause string) {
	if st.waits {
		return
	}
	st.waits = true
	if cause == causeNoEndpoint {
		r.recordNoRoom(st.service.Name)
	}
	r.stats.streamWaits.Inc(1)
	r.Log.Info("stream: waiting", st.fields(zap.String("cause", cause), zap.Int64("silent_ms", st.silentMs()))...)
}

// pause waits for d, or returns false if ctx ends before.
func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
