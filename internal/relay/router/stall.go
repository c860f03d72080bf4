package router

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"jaywind"
	"jaywind/internal/core/endpoint"
	"jaywind/internal/core/series"
)

// Causes for which a stream is given up or waits.
const (
	causeNoEndpoint = "no endpoint takes the call"
	causeNoRetry    = "retry budget is spent"
)

const waitInterval = 200 * time.Millisecond // between two looks for an endpoint or a retry

// waitForStalled returns for how long a stream waits on for an endpoint that is silent, or 0. A sound endpoint may fall silent, so the
// stream leaves it only if it has ended, or if the stream can go on at one that answers.
func (r *Router) waitForStalled(ctx context.Context, st *streamCall, e *endpoint.Endpoint) time.Duration {
	r.mu.Lock()
	listed := r.rowOf(e.Ref()) != nil
	survey := r.silencesOf(st.service.Name).Survey(e.ID, time.Now())
	r.mu.Unlock()
	elsewhere, wait := false, lookInterval
	if st.plan.MayRunAgain(e.ID) && time.Since(st.silentSince) >= st.plan.Patience(e.ID) {
		elsewhere, wait = r.canLeave(ctx, st, e, survey)
	}
	if ctx.Err() != nil {
		return 0
	}
	take := r.takeRetry
	if st.stalled { // it has looked for a retry before
		take = r.tryRetry
	}
	if elsewhere && take(ctx, st.call, nil) {
		st.retryTaken = true
		return 0
	}
	if st.hasEnded(listed, time.Now()) {
		return 0
	}
	if !st.stalled {
		st.stalled = true
		if !survey.IsCommon() {
			r.recordResult(e, false) // for new work
		}
	}
	r.logWait(st, "endpoint is silent", surveyFields(survey)...)
	return wait
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

// isStranded reports whether the registry lists none of the endpoints at which a stream may still run.
func (r *Router) isStranded(st *streamCall) bool {
	if len(st.requirements.Only) == 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return !slices.ContainsFunc(st.requirements.Only, func(id jaywind.EndpointID) bool { return r.table.Get(id) != nil })
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
func (r *Router) logWait(st *streamCall, cause string, more ...zap.Field) {
	if st.waits {
		return
	}
	st.waits = true
	if cause == causeNoEndpoint {
		r.recordNoRoom(st.service.Name)
	}
	r.stats.streamWaits.Inc(1)
	r.Log.Info("stream: waiting", st.fields(append([]zap.Field{zap.String("cause", cause), zap.Int64("silent_ms", st.silentMs())}, more...)...)...)
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
