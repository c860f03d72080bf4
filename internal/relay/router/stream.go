package router

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"jaywind"
	"jaywind/internal/core/endpoint"
	"jaywind/internal/core/series"
	"jaywind/internal/core/silence"
)

const (
	streamRetryAfter = 700 * time.Millisecond // until a refused caller may try again
	maxRepeatedBytes = 1 << 20                // of events that the caller has already, in a row
)

// errCallerGone is returned when an event can't be written to the caller. The server may cancel the request only later.
var errCallerGone = errors.New("caller disconnected")

// errEventGap is returned if an event is missing before the next one.
var errEventGap = fmt.Errorf("%w: events are missing", jaywind.ErrBadAnswer)

// streamCall is the state of one stream.
type streamCall struct {
	*call
	plan        series.ResumePlan
	cursor      series.Cursor
	headSent    bool               // the status and header were written
	usualGap    time.Duration      // moving average of the time between two events
	lastEventAt time.Time          // zero before the first event
	gaps        int                // between events: one less than the events forwarded
	timeToFirst time.Duration      // from the arrival of the request to the first event
	longestGap  time.Duration      // longest time between two events
	standby     *endpoint.Endpoint // has a copy of the memory of the current attempt, or is to get one
	copy        jaywind.MemoryCopy // the copy at the standby
	producing   bool               // the current attempt has produced an event, so it has memory to copy
	copyState   copyState
	stalled     bool                 // the endpoint is silent, and the stream waits for it
	expected    bool                 // the current run is known to the tracker of silences
	answers     bool                 // the silent endpoint answers over a new connection
	silentSince time.Time            // of the last event of the current run, or its start
	unlistedAt  time.Time            // since when the endpoint is seen to be missing in the registry during a silence; zero if it is listed
	begunAt     time.Time            // of the first event of the current run; zero before
	survived    bool                 // the current run has survived its beginning
	proven      *endpoint.Endpoint   // has answered when the stream left a silent endpoint; nil for none
	mute        []jaywind.EndpointID // have not answered since the last event
	survey      silence.Survey       // when the stream left a silent endpoint
	retryTaken  bool                 // a retry was taken for the next attempt when the stream left a silent endpoint
	waits       bool                 // the wait for an endpoint or a retry was logged

	grantedStandby *endpoint.Endpoint // for the copy of the next run, as the owner of the schedule has chosen; nil for none
	speedGaps      []time.Duration    // between events of the current run, since its last sample of speed
	reportedEvent  time.Time          // of the last event, for the reports; Router.mu guards it
	reportedEvents int                // that the caller has; Router.mu guards it
}

// attempt is one run of a request at an endpoint.
type attempt struct {
	endpoint  *endpoint.Endpoint
	fromCopy  bool // started from a copy of the memory of an earlier attempt
	startedAt time.Time
	events    jaywind.EventStream
}

// serveStream forwards a stream to its end, with attempts at several endpoints if necessary.
func (r *Router) serveStream(ctx context.Context, c *call) {
	ctx, release := r.untilStop(ctx)
	defer release()
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	st := &streamCall{call: c, plan: series.ResumePlan{Retryable: c.route.Repeatable(), MaxAttempts: c.route.MaxAttempts}}
	if c.request.Resumed {
		st.cursor = series.CursorAfter(c.request.LastEventID)
	}
	if r.isQuarantined(st) {
		return
	}
	defer r.returnProbe(c)
	step, fromCopy := series.ActionRestart, false
	at := r.findCached(st)
	for {
		var refusal *Refusal
		if at == nil {
			at, fromCopy, refusal = r.awaitEndpoint(ctx, st, step)
		}
		if refusal != nil {
			r.writeRefusal(st.call, refusal.Reason, refusal.RetryAfter)
			return
		}
		if at == nil && ctx.Err() != nil {
			r.cancelStream(st, endCause(ctx))
			return
		}
		if at == nil {
			r.failStream(st, causeNoEndpoint)
			return
		}
		a := attempt{endpoint: at, fromCopy: fromCopy, startedAt: time.Now()}
		loss, err := r.runAttempt(ctx, st, a)
		if err == nil {
			return
		}
		if errors.Is(err, errCallerGone) {
			r.cancelStream(st, err)
			return
		}
		if ctx.Err() != nil {
			r.cancelStream(st, endCause(ctx))
			return
		}
		r.recordLoss(ctx, st, a, loss, err)
		step = st.plan.AfterFailure(loss, r.hasCopy(st))
		if loss != series.FailureNoCopy && loss != series.FailureLimited { // otherwise the endpoint is healthy
			c.requirements.Avoid = append(c.requirements.Avoid, at.ID)
		}
		r.logLoss(st, loss, step, err)
		if r.isQuarantined(st) {
			return
		}
		if st.requirements.Only = st.plan.Confined(); step != series.ActionGiveUp && r.isStranded(st) {
			step = series.ActionGiveUp
		}
		if step == series.ActionGiveUp {
			r.failStream(st, st.plan.GiveUpCause(loss))
			return
		}
		if !r.awaitRetry(ctx, st, err) {
			if ctx.Err() != nil {
				r.cancelStream(st, endCause(ctx))
				return
			}
			r.failStream(st, causeNoRetry)
			return
		}
		at = nil
	}
}

// logLoss logs why an attempt of a stream has failed, and what comes next.
func (r *Router) logLoss(st *streamCall, loss series.Failure, next series.Action, cause error) {
	if loss == series.FailureLimited {
		r.Log.Info("stream: the endpoint's limit is used up", st.fields(zap.Stringer("next", next))...)
		return
	}
	last, _ := st.cursor.LastID()
	fields := []zap.Field{zap.Error(cause), zap.Stringer("loss", loss), zap.Stringer("next", next),
		zap.Int64("event", last), zap.Int64("silent_ms", st.silentMs()), zap.Any("parts", st.parts())}
	if loss == series.FailureSilent {
		fields = append(fields, surveyFields(st.survey)...)
	}
	r.Log.Warn("stream: lost", st.fields(fields...)...)
}

// silentMs returns the time since the last event in milliseconds, or -1 before the first event.
func (st *streamCall) silentMs() int64 {
	if st.lastEventAt.IsZero() {
		return -1
	}
	return time.Since(st.lastEventAt).Milliseconds()
}

// nextEndpoint returns the endpoint of the next attempt and whether it has a copy, and counts the attempt there. The standby may
// have been lost since the step was decided.
func (r *Router) nextEndpoint(ctx context.Context, st *streamCall, step series.Action) (at *endpoint.Endpoint, fromCopy bool, refusal *Refusal) {
	if step == series.ActionUseCopy && r.hasCopy(st) {
		return r.takeStandby(st), true, nil
	}
	r.releaseStandby(st)
	st.requirements.Urgent = st.headSent || st.request.Resumed
	if at = r.takeProven(st); at != nil {
		return at, false, nil
	}
	r.mu.Lock()
	scheduled := r.isScheduled(st.service)
	r.mu.Unlock()
	if scheduled && len(st.requirements.Only) == 0 {
		at, refusal = r.reserve(ctx, st)
		return at, false, refusal
	}
	return r.acquireEndpoint(st.call), false, nil
}

// takeStandby counts the next attempt at the standby, which has a copy, and returns it.
func (r *Router) takeStandby(st *streamCall) *endpoint.Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := st.standby
	st.standby = nil
	st.lastEndpoint = at.ID
	r.table.RemoveCopy(at, st.requirements)
	r.table.StartCall(at, st.requirements)
	st.countStart(at)
	return at
}

// hasCopy reports whether the stream can continue at its standby: the copy has something to copy from, and the standby
// takes calls and does not run a version that may not run the stream.
func (r *Router) hasCopy(st *streamCall) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updateVersion(st.call)
	if st.standby != nil && slices.Contains(st.requirements.ExcludeVersions, st.standby.Version) {
		return false
	}
	if only := st.plan.Confined(); st.standby != nil && only != nil && !slices.Contains(only, st.standby.ID) {
		return false
	}
	return st.standby != nil && st.producing && r.rowOf(st.standby.Ref()) == st.standby && r.table.AcceptsCalls(st.standby, time.Now())
}

// releaseStandby ends the use of the standby, if there is one.
func (r *Router) releaseStandby(st *streamCall) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if st.standby != nil {
		r.table.RemoveCopy(st.standby, st.requirements)
		st.standby = nil
	}
}

// assignStandby chooses the endpoint that gets a copy of the memory of the next attempt.
func (r *Router) assignStandby(st *streamCall, at *endpoint.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	st.standby = r.usableStandby(st, at)
	if st.standby == nil {
		st.standby = r.table.ChooseStandby(st.service, at, st.requirements, time.Now())
	}
	st.copyState, st.producing = copyState{}, false
	if st.standby != nil {
		r.table.AddCopy(st.standby, st.requirements)
		st.copy = jaywind.MemoryCopy{Address: st.standby.Address, Name: string(st.request.ID)}
	}
}

// runAttempt runs a stream at one endpoint, from the event after the last one forwarded. A nil error means that the call
// has ended: the stream is complete, or a plain response was written.
func (r *Router) runAttempt(ctx context.Context, st *streamCall, a attempt) (loss series.Failure, err error) {
	prefilling := true
	prefillDone := func() {
		if prefilling {
			r.mu.Lock()
			r.table.FinishPrefill(a.endpoint, st.requirements)
			r.mu.Unlock()
			prefilling = false
		}
	}
	defer r.releaseEndpoint(st.call, a.endpoint)
	defer prefillDone()
	st.survey, st.expected, st.silentSince, st.answers = silence.Survey{}, false, a.startedAt, false
	defer func() { r.endExpectation(st, a, loss) }()

	s := st.upstreamRequest(a.endpoint, time.Now())
	s.LastEventID, s.Resumed = st.cursor.LastID()
	s.Urgent = st.headSent || st.request.Resumed
	st.begunAt, st.survived, st.stalled, st.unlistedAt = time.Time{}, false, false, time.Time{}
	opened := false
	s.OnStall = func() time.Duration {
		if !opened {
			r.expect(st, a, time.Now().Add(-series.MinSilence))
		}
		return r.waitForStalled(ctx, st, a.endpoint)
	}
	if a.fromCopy {
		s.Copy = st.copy
	}
	s.First = r.isMostUrgent(st.call)
	r.assignStandby(st, a.endpoint)
	st.speedGaps = st.speedGaps[:0]
	defer r.trackRun(st, a)()
	if st.standby != nil {
		s.Standby = st.standby.Address
	}
	limit := series.FirstEventTimeout
	if a.fromCopy {
		limit = series.SilenceTimeout(st.usualGap, 2*st.route.EventTimeout)
	}
	release, err := r.takePermit(ctx, st.call, a.endpoint)
	if err != nil {
		return r.recordOpenFailure(ctx, st, a, err)
	}
	events, reply, err := r.Upstream.Open(ctx, s, limit)
	defer func() {
		if a.fromCopy && errors.Is(err, jaywind.ErrBusy) {
			release(nil) // the copy is missing, which says nothing about room
			return
		}
		release(err)
	}()
	if err == nil && events == nil {
		st.mayHaveRun = true
		st.attempts++
		return r.handleReply(st, a, reply)
	}
	if err != nil {
		return r.recordOpenFailure(ctx, st, a, err)
	}
	defer func() { _ = events.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = events.Close() })
	defer stop()
	st.mayHaveRun = true
	st.attempts++
	st.plan.RunStarted(a.endpoint.ID)
	opened = true
	a.events = events
	copying, cancel := context.WithCancel(ctx)
	defer cancel() // stops a copy that is still being made
	return r.forwardEvents(ctx, copying, st, a, limit, prefillDone)
}

// recordOpenFailure records why no stream was opened, and classifies the failure.
func (r *Router) recordOpenFailure(ctx context.Context, st *streamCall, a attempt, err error) (series.Failure, error) {
	if !errors.Is(err, jaywind.ErrBusy) && ctx.Err() == nil {
		r.recordFailure(ctx, st.call, a.endpoint, err)
	}
	switch {
	case a.fromCopy && errors.Is(err, jaywind.ErrBusy):
		r.stats.copyMissing.Inc(1)
		return series.FailureNoCopy, err
	case errors.Is(err, jaywind.ErrLimited):
		st.limitRefusals++
		return series.FailureLimited, err
	case errors.Is(err, jaywind.ErrNotSent):
		return series.FailureNotSent, err
	case notRun(err):
		r.stats.notRun.Inc(1)
		return series.FailureNotRun, err
	}
	st.mayHaveRun = true
	st.attempts++
	st.plan.RunStarted(a.endpoint.ID)
	if errors.Is(err, jaywind.ErrIdleTimeout) {
		return series.FailureSilent, err
	}
	return series.FailureBroken, err
}

// handleReply handles a response that is no stream: it is forwarded unless the stream can continue elsewhere.
func (r *Router) handleReply(st *streamCall, a attempt, reply jaywind.Reply) (series.Failure, error) {
	st.plan.RunStarted(a.endpoint.ID)
	r.recordOutcome(st.call, a.endpoint, reply.Status >= http.StatusInternalServerError, false)
	if st.headSent || reply.Status >= http.StatusInternalServerError && st.attempts < st.route.MaxAttempts && st.route.Repeatable() {
		return series.FailureBroken, errors.New(http.StatusText(reply.Status))
	}
	r.writeReply(st.call, reply)
	return 0, nil
}

// forwardEvents forwards the events of an attempt. Only ctx itself tells whether the caller has disconnected: when it is
// cancelled, the connection may be closed before a context that derives from it, such as copying, is cancelled.
func (r *Router) forwardEvents(ctx, copying context.Context, st *streamCall, a attempt, limit time.Duration, onFirst func()) (series.Failure, error) {
	for {
		e, err := nextEvent(st, a.events, limit)
		switch {
		case errors.Is(err, io.EOF):
			r.completeStream(st, a)
			return 0, nil
		case err != nil && ctx.Err() != nil:
			return series.FailureBroken, err // this router closed the connection
		case errors.Is(err, jaywind.ErrIdleTimeout):
			if !st.answers { // otherwise only the connection is lost
				r.recordResult(a.endpoint, false)
			}
			return series.FailureSilent, err
		case errors.Is(err, errEventGap), errors.Is(err, jaywind.ErrRelayLost):
			return series.FailureBroken, err
		case err != nil:
			r.recordResult(a.endpoint, false)
			return series.FailureBroken, err
		}
		if !st.producing {
			onFirst()
			r.mu.Lock()
			st.producing, st.reportedEvent = true, time.Now() // before the write to the caller, which may take long
			r.mu.Unlock()
			r.expect(st, a, time.Now())
			r.reportPrefill(st, a)
			r.recordFirstEvent(st.call, a.endpoint)
		} else {
			r.countEvent(st.call)
		}
		if !st.headSent {
			st.headSent, st.plan.Begun = true, true
			st.timeToFirst = time.Since(st.request.Arrived)
			r.stats.firstEvent.Update(st.timeToFirst.Milliseconds())
			st.response.BeginStream(a.events.Head())
		}
		if err := st.response.WriteEvent(e.Raw); err != nil {
			return series.FailureBroken, fmt.Errorf("%w: %w", errCallerGone, err)
		}
		r.observeEvent(st, a)
		r.maintainCopy(copying, st, a)
		limit = series.SilenceTimeout(st.usualGap, st.route.EventTimeout)
	}
}

// nextEvent returns the next event that the caller does not have yet. Repeated ones before it give it no more time.
func nextEvent(st *streamCall, events jaywind.EventStream, limit time.Duration) (jaywind.Event, error) {
	until := time.Now().Add(limit)
	for repeated := 0; repeated <= maxRepeatedBytes; {
		left := time.Until(until)
		if left <= 0 {
			return jaywind.Event{}, jaywind.ErrIdleTimeout
		}
		e, err := events.Next(left)
		if err != nil {
			return jaywind.Event{}, err
		}
		switch st.cursor.Check(e.ID) {
		case series.Duplicate:
			repeated += len(e.Raw)
		case series.Gap:
			return jaywind.Event{}, errEventGap
		default:
			return e, nil
		}
	}
	return jaywind.Event{}, fmt.Errorf("%w: more than %d bytes of repeated events", jaywind.ErrBadAnswer, maxRepeatedBytes)
}

// observeEvent updates the statistics of the time between events.
func (r *Router) observeEvent(st *streamCall, a attempt) {
	now := time.Now()
	r.recordProgress(st, a, now)
	st.silentSince, st.answers, st.proven, st.mute = now, false, nil, nil
	st.unlistedAt = time.Time{}
	if st.stalled {
		st.stalled = false
		r.recordResult(a.endpoint, true)
	}
	if st.begunAt.IsZero() {
		st.begunAt = now
	}
	if now.Sub(st.begunAt) >= beginTime {
		r.recordSurvival(st)
	}
	if st.lastEventAt.IsZero() {
		st.lastEventAt = now
		return
	}
	gap := now.Sub(st.lastEventAt)
	st.lastEventAt = now
	if !st.begunAt.Equal(now) {
		r.sampleGap(st, a, gap)
	}
	st.gaps++
	st.longestGap = max(st.longestGap, gap)
	if st.attempts > 1 && a.fromCopy && gap > st.usualGap {
		r.stats.movePause.Update(gap.Milliseconds())
	}
	st.usualGap += (gap - st.usualGap) / 8
	if st.gaps == 1 {
		st.usualGap = gap
	}
}

// completeStream ends a stream that is complete.
func (r *Router) completeStream(st *streamCall, a attempt) {
	r.releaseStandby(st)
	r.recordSurvival(st)
	r.recordResult(a.endpoint, true)
	if !st.headSent {
		st.response.BeginStream(a.events.Head())
	}
	r.stats.recordAnswer(st.route.Kind, http.StatusOK, time.Since(st.request.Arrived))
	if a.fromCopy {
		r.stats.copyUsed.Inc(1)
	}
	r.Log.Info("stream: whole", st.fields(zap.Int("events", st.gaps), zap.Bool("from_copy", a.fromCopy), zap.Bool("resumed", st.request.Resumed), viaField(a.events.Head().Via),
		zap.Any("parts", st.request.SharedParts), zap.Int64("first_ms", st.timeToFirst.Milliseconds()), zap.Int64("longest_ms", st.longestGap.Milliseconds()))...)
}

// failStream ends a stream that can't continue. The cause is logged and counted if the caller has part of the answer.
func (r *Router) failStream(st *streamCall, cause string) {
	r.releaseStandby(st)
	switch {
	case st.headSent:
		r.stats.recordBroken(cause)
		r.recordCut(st.call, zap.WarnLevel, "stream: given up", cause, zap.Int64("silent_ms", st.silentMs()), zap.Int("events", st.gaps),
			zap.Duration("timeout", st.route.Timeout), zap.Duration("within", st.request.Timeout))
		st.response.AbortStream()
	case st.mayHaveRun:
		r.writeRefusal(st.call, ReasonAnswerLost, 0)
	default:
		r.refuseBusy(st.call, streamRetryAfter)
	}
}

// cancelStream ends a stream whose deadline has passed, whose caller has disconnected or whose router exits.
func (r *Router) cancelStream(st *streamCall, cause error) {
	r.releaseStandby(st)
	switch {
	case st.headSent && errors.Is(cause, context.DeadlineExceeded):
		r.failStream(st, "deadline")
		return
	case st.headSent && errors.Is(cause, errStopping):
		r.failStream(st, cause.Error())
		return
	}
	r.endCancelled(st.call, cause)
}
