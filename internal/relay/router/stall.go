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
// number. A sound endpoint may fall silent, so the stream leaves it only if it has ended, or if the stream can go on at one that answers.
func (r *Router) waitsForStalled(ctx context.Context, st *streamCall, e *endpoint.Endpoint, runs int) bool {
	r.mu.Lock()
	listed := r.rowOf(e.Ref()) != nil
	survey := r.silencesOf(st.service.Name).Survey(e.ID, time.Now())
	r.mu.Unlock()
	elsewhere := st.plan.MayRunAgain(runs) && survey.Silence >= st.plan.Patience(runs, survey.IsCommon()) && r.canLeave(ctx, st, e)
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
		if !survey.IsCommon() {
			r.recordResult(e, false) // for new work
		}
	}
	r.logWait(st, "endpoint is silent", surveyFields(survey)...)
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

const (
	answerTimeout = 150 * time.Millisecond // of an endpoint that a stream may go on at; several round trips between failure domains
	maxAsked      = 2                      // endpoints without a copy that are asked at a time
)

// canLeave reports whether a stream can leave a silent endpoint: its standby, or another endpoint that has room, answers.
func (r *Router) canLeave(ctx context.Context, st *streamCall, e *endpoint.Endpoint) bool {
	r.mu.Lock()
	standby := st.standby
	if standby != nil && (!st.producing || !r.table.AcceptsWork(standby, time.Now())) {
		standby = nil
	}
	r.mu.Unlock()
	if standby != nil && r.answers(ctx, standby) {
		return true
	}
	st.proven = nil
	n := st.requirements
	n.Avoid = append(slices.Clone(n.Avoid), e.ID)
	if standby != nil {
		n.Avoid = append(n.Avoid, standby.ID)
	}
	for range maxAsked {
		r.mu.Lock()
		other := anyVersion(r.table.ChooseWithRoom, st.service, n)
		r.mu.Unlock()
		if other == nil || slices.Contains(n.Avoid, other.ID) {
			return false
		}
		if r.answers(ctx, other) {
			r.releaseStandby(st) // it does not answer
			st.proven = other
			return true
		}
		r.recordResult(other, false)
		n.Avoid = append(n.Avoid, other.ID)
	}
	return false
}

// answers reports whether an endpoint is known to work now, and asks it if it was not heard of lately.
func (r *Router) answers(ctx context.Context, e *endpoint.Endpoint) bool {
	r.mu.Lock()
	heard := r.silencesOf(e.Service).IsHeard(e.ID, time.Now().Add(-series.MinSilence/2))
	r.mu.Unlock()
	if heard {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	if !r.Upstream.Answers(ctx, e.Ref()) {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silencesOf(e.Service).Hear(e.ID, time.Now())
	return true
}

// takeProven counts the next run at the endpoint for which the stream has left a silent one, and returns it, or nil if there is none.
func (r *Router) takeProven(st *streamCall) *endpoint.Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := st.proven
	st.proven = nil
	if e == nil || r.rowOf(e.Ref()) != e {
		return nil
	}
	r.followRolloutEnd(st.call)
	if excluded, _ := r.excludedOf(st, time.Now()); slices.Contains(excluded, e) {
		return nil
	}
	r.startRun(st, e)
	return e
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
