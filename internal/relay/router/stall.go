package router

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"jaywind"
	"jaywind/internal/core/endpoint"
	"jaywind/internal/core/series"
	"jaywind/internal/core/silence"
)

// Causes for which a stream is given up or waits.
const (
	causeNoEndpoint = "no endpoint takes the call"
	causeNoRetry    = "retry budget is spent"
)

const waitInterval = 200 * time.Millisecond // between two looks for an endpoint or a retry

const (
	lookInterval  = series.MinSilence      // between two looks for a way to go on
	answerTimeout = 100 * time.Millisecond // of an endpoint that is asked whether it works; several round trips between failure domains
	eventTime     = 100 * time.Millisecond // in which an endpoint that works again sends an event
	maxAsked      = 2                      // endpoints without a copy that are asked at a time
	minSurveyed   = 5                      // engines that show whether a silence is common
)

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

// canLeave reports whether a stream should leave a silent endpoint, and otherwise when to look again. It leaves if its standby answers,
// which goes on with little work, or another endpoint that has room. While most endpoints are silent, the prompt is not read anew elsewhere
// for a while, unless this endpoint answers over a new connection and sends nothing over the open one, which is lost then.
func (r *Router) canLeave(ctx context.Context, st *streamCall, e *endpoint.Endpoint, s silence.Survey) (leave bool, again time.Duration) {
	if s.Silence >= series.CommonPatience {
		return r.hasCopy(st) && r.answers(ctx, st.standby) || r.findOther(ctx, st, e), lookInterval
	}
	if !s.IsCommon() {
		if r.hasCopy(st) && r.answers(ctx, st.standby) {
			return true, 0
		}
		if s = r.widenSurvey(ctx, st, e, s); !s.IsCommon() {
			return r.findOther(ctx, st, e), lookInterval
		}
	}
	answered := st.answers
	own, copied := r.askBoth(ctx, st, e)
	switch st.answers = own; {
	case own && !answered: // it may just have gone on
		return false, eventTime
	case own:
		return copied || r.findOther(ctx, st, e), lookInterval
	}
	return copied, lookInterval
}

// askBoth asks a silent endpoint and the standby of its stream at the same time whether they work.
func (r *Router) askBoth(ctx context.Context, st *streamCall, e *endpoint.Endpoint) (own, copied bool) {
	var group conc.WaitGroup
	group.Go(func() { own = r.askNow(ctx, e) })
	if r.hasCopy(st) {
		copied = r.answers(ctx, st.standby)
	}
	group.Wait()
	return own, copied
}

// widenSurvey asks some engines of the service at random if a router has runs at too few to tell whether a silence is common. They count in
// the surveys of other streams for a while.
func (r *Router) widenSurvey(ctx context.Context, st *streamCall, e *endpoint.Endpoint, s silence.Survey) silence.Survey {
	missing := minSurveyed - s.Silent - s.Heard
	if missing <= 0 || s.Silent == 0 {
		return s
	}
	r.mu.Lock()
	t := r.silencesOf(st.service.Name)
	var sample []*endpoint.Endpoint
	for _, o := range r.table.OfService(st.service) {
		if o != e && r.table.AcceptsCalls(o, time.Now()) && !t.IsExpected(o.ID) {
			sample = append(sample, o)
		}
	}
	r.mu.Unlock()
	rand.Shuffle(len(sample), func(i, j int) { sample[i], sample[j] = sample[j], sample[i] })
	sample = sample[:min(missing, len(sample))]
	works := make([]bool, len(sample))
	var group conc.WaitGroup
	for i, o := range sample {
		group.Go(func() { works[i] = r.askNow(ctx, o) })
	}
	group.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for i, o := range sample {
		t.RecordAnswer(o.ID, o.Domain, works[i], now)
	}
	return t.Survey(e.ID, now)
}

// findOther reports whether another endpoint than the standby has room and answers. The stream then goes on there.
func (r *Router) findOther(ctx context.Context, st *streamCall, e *endpoint.Endpoint) bool {
	st.proven = nil
	n := st.requirements
	n.Avoid = append(slices.Concat(n.Avoid, st.mute), e.ID)
	if st.standby != nil {
		n.Avoid = append(n.Avoid, st.standby.ID)
	}
	for range maxAsked {
		r.mu.Lock()
		other := anyVersion(r.table.ChooseWithRoom, st.service, n)
		r.mu.Unlock()
		if other == nil || slices.Contains(n.Avoid, other.ID) {
			st.mute = nil // all were asked, and are asked again at the next look
			return false
		}
		if r.answers(ctx, other) {
			r.releaseStandby(st) // it has no copy, or does not answer
			st.proven = other
			return true
		}
		st.mute = append(st.mute, other.ID)
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
	if !r.askNow(ctx, e) {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silencesOf(e.Service).Hear(e.ID, time.Now())
	return true
}

// askNow asks an endpoint whether it works. Streams that ask at the same time share the answer.
func (r *Router) askNow(ctx context.Context, e *endpoint.Endpoint) bool {
	works, _, _ := r.asks.Do(string(e.ID), func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), answerTimeout)
		defer cancel()
		return r.Upstream.Answers(ctx, e.Ref()), nil
	})
	return works == true
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
