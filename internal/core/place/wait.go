package place

import (
	"time"

	"jaywind/internal/core/table"
)

const (
	freshWait   = time.Second             // for an endpoint, before any token
	resumeWait  = 3800 * time.Millisecond // for an endpoint and the prefill there, after the last token; output has to go on within 4 s
	resumeEnd   = 10 * time.Second        // for attempts that fail, after the last token
	resumeStart = 2 * time.Second         // for a paced resume to start, so that output goes on in time
	quickTries  = 3                       // attempts in a row without a wait
	triesLimit  = 6                       // attempts without any token
	tryPause    = 50 * time.Millisecond
	tryCap      = time.Second
	resumeCap   = 200 * time.Millisecond // the same for a resume, whose caller waits
	returnAfter = 2 * time.Second        // what a caller is told when nothing better is known
	maxShift    = 8
)

// queue goes through the ready requests of a tick in their order.
type queue struct {
	state *table.State
	ahead float64 // tokens of the paced resumes so far
}

// try opens an attempt, keeps the request waiting or gives it up.
func (q *queue) try(r *table.Request) {
	s := q.state
	if reason := q.spent(r); reason != "" {
		q.giveUp(r, reason)
		return
	}
	if s.Now.Before(r.NextTry) {
		q.keep(r)
		return
	}
	switch open(s, r) {
	case verdictFound:
		q.spend(r)
	case verdictPaced:
		q.pace(r)
	case verdictNone:
		q.wait(r)
	}
}

// spent returns why a request may not be tried again, or nothing.
func (q *queue) spent(r *table.Request) string {
	switch {
	case q.state.Rules == nil || r.Tries == 0:
		return ""
	case r.Pinned():
		if q.state.Now.Sub(r.BrokenAt) >= resumeEnd {
			return "no endpoint could go on with the generation"
		}
		return ""
	case r.Tries >= triesLimit:
		return "no endpoint took the request"
	case !q.ofOrganisation(r).CanRetry():
		return "the retries of the organisation are spent"
	}
	return ""
}

// spend counts an attempt that was opened and sets the pause before the next.
func (q *queue) spend(r *table.Request) {
	for _, b := range []*table.RetryBudget{q.ofOrganisation(r), q.state.RetryBudgetFor(table.RetryKey{Endpoint: r.Endpoint})} {
		if r.Tries == 1 {
			b.RecordRequest()
		} else {
			b.RecordRetry()
		}
	}
	if r.Tries >= quickTries {
		r.NextTry = q.state.Now.Add(pauseAfter(r.Tries - quickTries))
	}
}

func (q *queue) ofOrganisation(r *table.Request) *table.RetryBudget {
	o, _ := q.state.OrganisationFor(r.Organisation)
	return q.state.RetryBudgetFor(table.RetryKey{Organisation: o.Name})
}

func pauseAfter(n int) time.Duration {
	return min(tryPause<<min(n, maxShift), tryCap)
}

// pace holds a resume back, or gives it up when those before it take too long.
func (q *queue) pace(r *table.Request) {
	s := q.state
	s.Counts.PacedResumes++
	rate := float64(windowOf(s, r)) * table.PrefillRate
	wait := time.Duration(q.ahead / rate * float64(time.Second))
	if s.Now.Sub(r.BrokenAt)+wait > resumeStart {
		s.Counts.AbandonedResumes++
		q.giveUp(r, "too many generations are being resumed")
		return
	}
	q.ahead += float64(r.PrefillTokens())
	q.keep(r)
}

func windowOf(s *table.State, r *table.Request) int {
	g := RingOf(s, r.Model, r.Version)
	if g == nil {
		return 1
	}
	return max(1, g.Size)
}

// wait keeps a request without an endpoint while one could still come in time.
func (q *queue) wait(r *table.Request) {
	s := q.state
	last := r.Arrived.Add(freshWait)
	pause := pauseAfter(r.Waits)
	if r.Pinned() {
		last = r.BrokenAt.Add(latestStart(r))
		pause = min(pause, resumeCap)
	}
	if !s.Now.Before(last) {
		q.giveUp(r, "no endpoint can serve the request")
		return
	}
	r.Avoid = nil
	r.NextTry = s.Now.Add(min(pause, last.Sub(s.Now)))
	r.Waits++
	q.keep(r)
}

// latestStart returns when a resume has to start after the last token, so that output goes on in time.
func latestStart(r *table.Request) time.Duration {
	prefill := time.Duration(r.PrefillTokens()) * time.Second / table.PrefillRate
	return max(resumeStart, resumeWait-prefill)
}

func (q *queue) keep(r *table.Request) {
	q.state.Waiting = append(q.state.Waiting, r.ID)
}

// giveUp ends a request at once with when to come back.
func (q *queue) giveUp(r *table.Request, reason string) {
	s := q.state
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
		RetryAfter: jitter(s, returnAfter),
		Bookmark:   r.Bookmark(),
	})
}

// jitter adds up to a half, so that refused callers don't return together.
func jitter(s *table.State, d time.Duration) time.Duration {
	return d + time.Duration(s.Random.Int64N(int64(d/2)+1))
}
