package place

import (
	"time"

	"jaywind/internal/core/table"
)

const (
	newRequestWait    = time.Second             // for an endpoint, before any token
	resumeWait        = 3800 * time.Millisecond // for an endpoint and the prefill there, after the last token; output must continue within 4 s
	resumeRetryLimit  = 10 * time.Second        // for attempts that fail, after the last token
	resumeStartLimit  = 2 * time.Second         // for a throttled resume to start, so that output continues in time
	immediateAttempts = 3                       // attempts in a row without backoff
	maxAttempts       = 6                       // attempts without any token
	retryBackoff      = 50 * time.Millisecond   // doubled with each attempt or wait, up to maxRetryBackoff
	maxRetryBackoff   = time.Second
	maxResumeBackoff  = 200 * time.Millisecond // lower than maxRetryBackoff because the caller's output has stopped
	minRetryAfter     = 2 * time.Second        // told to callers; half of it at most is added as jitter
	maxBackoffShift   = 8                      // keeps the doubled backoff from overflowing
)

// placer tries the ready requests of a tick in order.
type placer struct {
	state           *table.State
	throttledTokens float64 // tokens to prefill for the resumes throttled so far
}

// place opens an attempt, keeps the request waiting or ends it.
func (p *placer) place(r *table.Request) {
	s := p.state
	if reason := p.exhaustedReason(r); reason != "" {
		p.giveUp(r, reason)
		return
	}
	if s.Now.Before(r.NextTry) {
		p.requeue(r)
		return
	}
	switch openAttempt(s, r) {
	case resultPlaced:
		p.recordAttempt(r)
	case resultThrottled:
		p.throttle(r)
	case resultNoEndpoint:
		p.waitForEndpoint(r)
	}
}

// exhaustedReason returns why a request may not be retried, or "" if it may.
func (p *placer) exhaustedReason(r *table.Request) string {
	switch {
	case p.state.Rules == nil || r.Tries == 0:
		return ""
	case r.Pinned():
		if p.state.Now.Sub(r.BrokenAt) >= resumeRetryLimit {
			return "no endpoint could go on with the generation"
		}
		return ""
	case r.Tries >= maxAttempts:
		return "no endpoint took the request"
	case !p.organisationBudget(r).CanRetry():
		return "the retries of the organisation are spent"
	}
	return ""
}

// recordAttempt charges an opened attempt to the retry budgets and sets the backoff before the next one.
func (p *placer) recordAttempt(r *table.Request) {
	for _, b := range []*table.RetryBudget{p.organisationBudget(r), p.state.RetryBudgetFor(table.RetryKey{Endpoint: r.Endpoint})} {
		if r.Tries == 1 {
			b.RecordRequest()
		} else {
			b.RecordRetry()
		}
	}
	if r.Tries >= immediateAttempts {
		r.NextTry = p.state.Now.Add(backoffAfter(r.Tries - immediateAttempts))
	}
}

func (p *placer) organisationBudget(r *table.Request) *table.RetryBudget {
	o, _ := p.state.OrganisationFor(r.Organisation)
	return p.state.RetryBudgetFor(table.RetryKey{Organisation: o.Name})
}

func backoffAfter(n int) time.Duration {
	return min(retryBackoff<<min(n, maxBackoffShift), maxRetryBackoff)
}

// throttle keeps a resume waiting, or ends it if the prefills ahead of it would take too long.
func (p *placer) throttle(r *table.Request) {
	s := p.state
	s.Counts.ThrottledResumes++
	rate := float64(windowSizeFor(s, r)) * table.PrefillRate
	wait := time.Duration(p.throttledTokens / rate * float64(time.Second))
	if s.Now.Sub(r.BrokenAt)+wait > resumeStartLimit {
		s.Counts.AbandonedResumes++
		p.giveUp(r, "too many generations are being resumed")
		return
	}
	p.throttledTokens += float64(r.PrefillTokens())
	p.requeue(r)
}

func windowSizeFor(s *table.State, r *table.Request) int {
	g := RingOf(s, r.Model, r.Version)
	if g == nil {
		return 1
	}
	return max(1, g.Size)
}

// waitForEndpoint keeps a request waiting with backoff while an endpoint could still become available in time.
func (p *placer) waitForEndpoint(r *table.Request) {
	s := p.state
	last := r.Arrived.Add(newRequestWait)
	pause := backoffAfter(r.Waits)
	if r.Pinned() {
		last = r.BrokenAt.Add(maxStartDelay(r))
		pause = min(pause, maxResumeBackoff)
	}
	if !s.Now.Before(last) {
		p.giveUp(r, "no endpoint can serve the request")
		return
	}
	r.Avoid = nil // the endpoints that the request left may be tried again, since no other is usable
	r.NextTry = s.Now.Add(min(pause, last.Sub(s.Now)))
	r.Waits++
	p.requeue(r)
}

// maxStartDelay returns how long after the last token a resume may start and still continue the output in time.
func maxStartDelay(r *table.Request) time.Duration {
	prefill := time.Duration(r.PrefillTokens()) * time.Second / table.PrefillRate
	return max(resumeStartLimit, resumeWait-prefill)
}

func (p *placer) requeue(r *table.Request) {
	p.state.Waiting = append(p.state.Waiting, r.ID)
}

// giveUp ends a request and tells its caller when to retry. It counts as failed if an attempt was sent, and as refused otherwise.
func (p *placer) giveUp(r *table.Request, reason string) {
	s := p.state
	outcome := table.OutcomeRefused
	if r.Sent {
		outcome = table.OutcomeFailed
	} else {
		s.Counts.Refused++
	}
	delete(s.Requests, r.ID)
	s.Emit(table.FinishRequest{
		Request:    r.ID,
		Outcome:    outcome,
		Reason:     reason,
		RetryAfter: addJitter(s, minRetryAfter),
		Bookmark:   r.Bookmark(),
	})
}

// addJitter adds up to a half, so that callers ended together don't retry together.
func addJitter(s *table.State, d time.Duration) time.Duration {
	return d + time.Duration(s.Random.Int64N(int64(d/2)+1))
}
