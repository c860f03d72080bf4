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

const (
	lookInterval  = series.MinSilence      // between two looks for a way to go on
	answerTimeout = 100 * time.Millisecond // of an endpoint that is asked whether it works; several round trips between failure domains
	eventTime     = 100 * time.Millisecond // in which an endpoint that works again sends an event
	maxAsked      = 2                      // endpoints without a copy that are asked at a time
	minSurveyed   = 5                      // engines that show whether a silence is common
)

// silencesOf returns the tracker of the engines of a service; the caller holds mu.
func (r *Router) silencesOf(s jaywind.ServiceName) *silence.Tracker {
	t := r.silences[s]
	if t == nil {
		t = &silence.Tracker{}
		r.silences[s] = t
	}
	return t
}

// expect records that a run should produce events from a time on.
func (r *Router) expect(st *streamCall, a attempt, from time.Time) {
	if st.expected {
		return
	}
	st.expected = true
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silencesOf(st.service.Name).Begin(a.endpoint.ID, a.endpoint.Domain, from)
}

// endExpectation records the end of a run that should have produced events, and how many engines were silent if it was left for that.
func (r *Router) endExpectation(st *streamCall, a attempt, loss series.Failure) {
	if !st.expected {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now, t := time.Now(), r.silencesOf(st.service.Name)
	silent := loss == series.FailureSilent
	if silent {
		st.survey = t.Survey(a.endpoint.ID, now)
	}
	t.End(a.endpoint.ID, silent, now)
}

// surveyFields returns the fields of a log line on a silent engine.
func surveyFields(s silence.Survey) []zap.Field {
	return []zap.Field{zap.Int("silent_engines", s.Silent), zap.Int("heard_engines", s.Heard), zap.Int("silent_domains", s.Domains)}
}

// canLeave reports whether a stream should leave a silent endpoint, and otherwise when to look again. It goes on at its standby if that
// answers, as the copy there saves most of the work, and else at another endpoint that has room and answers.
func (r *Router) canLeave(ctx context.Context, st *streamCall, e *endpoint.Endpoint, s silence.Survey) (leave bool, again time.Duration) {
	if s.IsCommon() && s.Silence < series.CommonPatience {
		return r.canLeaveCommon(ctx, st, e)
	}
	if r.hasCopy(st) && r.answers(ctx, st.standby) {
		return true, lookInterval
	}
	if s.Silence < series.CommonPatience && r.widenSurvey(ctx, st, e, s).IsCommon() {
		return r.canLeaveCommon(ctx, st, e)
	}
	return r.findOther(ctx, st, e), lookInterval
}

// canLeaveCommon is canLeave while many engines are silent together, so that this one will probably go on. The prompt is not read anew
// elsewhere, unless the endpoint answers over a new connection and sends nothing over the open one, which is lost then.
func (r *Router) canLeaveCommon(ctx context.Context, st *streamCall, e *endpoint.Endpoint) (leave bool, again time.Duration) {
	answeredBefore := st.answers
	own, standby := r.askBoth(ctx, st, e)
	st.answers = own
	switch {
	case !own:
		return standby, lookInterval
	case !answeredBefore: // it may just have gone on
		return false, eventTime
	}
	return standby || r.findOther(ctx, st, e), lookInterval
}

// askBoth asks a silent endpoint and the standby of its stream at the same time whether they work.
func (r *Router) askBoth(ctx context.Context, st *streamCall, e *endpoint.Endpoint) (own, standby bool) {
	var group conc.WaitGroup
	group.Go(func() { own = r.askNow(ctx, e) })
	if r.hasCopy(st) {
		standby = r.answers(ctx, st.standby)
	}
	group.Wait()
	return own, standby
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

// findOther reports whether another endpoint than the standby has room and answers. The next run of the stream is there. Endpoints that
// don't answer are not asked again before all others were.
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
			st.mute = nil
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
	r.updateVersion(st.call)
	if excluded, _ := r.excludedOf(st, time.Now()); slices.Contains(excluded, e) {
		return nil
	}
	r.startRun(st, e)
	return e
}
