package series

import (
	"slices"
	"time"

	"jaywind"
)

// Action is how a stream goes on after a failed attempt.
type Action int

// Actions after a failed attempt.
const (
	ActionRestart Action = iota // another endpoint computes the prompt and the output so far anew
	ActionUseCopy               // the endpoint that holds a copy continues the stream
	ActionGiveUp                // the stream fails
)

var actionNames = [...]string{ActionRestart: "read anew", ActionUseCopy: "from the copy", ActionGiveUp: "end"}

// String returns the action as it is logged.
func (a Action) String() string { return actionNames[a] }

// Failure is how an attempt failed.
type Failure int

// Failures of an attempt.
const (
	FailureNotRun  Failure = iota // the endpoint reported that it did not run the call
	FailureNotSent                // no byte was sent
	FailureBroken                 // the connection broke, or its bytes were invalid
	FailureSilent                 // no event came within the timeout
	FailureLimited                // no byte was sent, as the limit of the endpoint is used up
	FailureNoCopy                 // the standby endpoint has no copy
)

var failureNames = [...]string{
	FailureNotRun: "not run", FailureNotSent: "not sent", FailureBroken: "broken", FailureSilent: "silent", FailureLimited: "limited", FailureNoCopy: "no copy",
}

// String returns the failure as it is logged.
func (f Failure) String() string { return failureNames[f] }

// ResumePlan decides how one stream goes on after a failure; set the exported fields before use.
type ResumePlan struct {
	Retryable   bool // the call may run more than once
	MaxAttempts int  // the most endpoints at which it may run
	Begun       bool // the caller has part of the answer, which would be cut

	used     []jaywind.EndpointID // at which it has run, each once
	losses   int                  // successive runs that were lost at their beginning
	misses   int                  // attempts since the last run that did not run
	refusals int                  // of these, attempts that an endpoint refused
}

// usedWith returns the number of endpoints at which the stream has run, with the one of the run in progress.
func (p *ResumePlan) usedWith(at jaywind.EndpointID) int {
	if at == "" || slices.Contains(p.used, at) {
		return len(p.used)
	}
	return len(p.used) + 1
}

// MayRunAgain reports whether the stream may run once more after the run in progress at an endpoint, which may be empty. The attempts of a
// route are endpoints, so a stream that has begun may go back to one that it has used.
func (p *ResumePlan) MayRunAgain(at jaywind.EndpointID) bool {
	return p.Retryable && (p.Begun || p.usedWith(at) < p.MaxAttempts)
}

// Confined returns the only endpoints at which the stream may run, or nil while it may run at others as well.
func (p *ResumePlan) Confined() []jaywind.EndpointID {
	if len(p.used) < p.MaxAttempts {
		return nil
	}
	return p.used
}

// Patience returns for how long the engine of a run in progress has to be silent before the stream goes on elsewhere. The last endpoint
// that it may use is left for other failures than a pause.
func (p *ResumePlan) Patience(at jaywind.EndpointID) time.Duration {
	if p.usedWith(at)+1 >= p.MaxAttempts {
		return lastPatience
	}
	return 0
}

const (
	// CommonPatience is for how long a stream waits if many engines are silent together; sound ones pause for a second or so.
	CommonPatience = 1500 * time.Millisecond
	lastPatience   = 4 * time.Second // longer than the registry lists an engine that has ended
)

// Backoff returns how long a stream that has begun waits before its next attempt. Refusals count sooner, as each takes a retry
// from the budget. After runs that were lost one after the other, waiting spreads those to come over the caller's time.
func (p *ResumePlan) Backoff() time.Duration {
	n := max(p.misses-maxMisses, p.refusals-maxRefusals, p.losses-maxLosses)
	if n <= 0 {
		return 0
	}
	return min(maxBackoff, minBackoff<<min(n-1, 10))
}

const (
	maxRefusals = 1                      // successive ones without a pause
	maxLosses   = 2                      // the same
	minBackoff  = 100 * time.Millisecond // doubles with each further attempt that did not run
	maxBackoff  = 2 * time.Second
)

// GiveUpCause returns which limit makes a stream give up after a failure.
func (p *ResumePlan) GiveUpCause(f Failure) string {
	switch {
	case f == FailureNotRun || f == FailureNotSent || f == FailureLimited || f == FailureNoCopy:
		return "successive attempts did not run"
	case !p.Retryable:
		return "may not run again"
	}
	return "attempts are used up"
}

// maxUnsent is the same as maxMisses if the last one was not sent: a refused connection costs little, and the registry lists endpoints for
// seconds after they have crashed, of which one request may crash five.
const maxUnsent = 8

// maxMisses is the most successive attempts without a run, after which a stream gives up or, once it has begun, backs off.
const maxMisses = 4

// RunStarted counts a run at an endpoint.
func (p *ResumePlan) RunStarted(at jaywind.EndpointID) {
	if !slices.Contains(p.used, at) {
		p.used = append(p.used, at)
	}
	p.misses, p.refusals = 0, 0
}

// RunSurvived records that the last run has survived its beginning.
func (p *ResumePlan) RunSurvived() { p.losses = 0 }

// AfterFailure returns how the stream goes on after a failed attempt; copied tells whether another
// endpoint holds a copy.
func (p *ResumePlan) AfterFailure(f Failure, copied bool) Action {
	switch f {
	case FailureLimited:
		if p.Begun { // it waits for its turn; before, another endpoint is tried or the call refused at once
			p.misses++
		}
		return ActionRestart
	case FailureNotRun, FailureNotSent, FailureNoCopy:
		p.misses++
		if f == FailureNotRun {
			p.refusals++
		}
		limit := maxMisses
		if f == FailureNotSent {
			limit = maxUnsent
		}
		if p.misses > limit && !p.Begun {
			return ActionGiveUp
		}
		return ActionRestart
	}
	p.losses++
	if !p.MayRunAgain("") {
		return ActionGiveUp
	}
	if copied {
		return ActionUseCopy
	}
	return ActionRestart
}

const (
	// MinSilence is the least time without an event after which an engine counts as silent. A step of an engine that also prefills the
	// prompts of two other requests takes less.
	MinSilence    = 350 * time.Millisecond
	silenceFactor = 6                      // of the usual time between two events
	resumeTime    = 250 * time.Millisecond // from the decision to leave an endpoint to the next event, with a copy
)

// SilenceTimeout returns how long to wait for the next event, from the usual gap between events and
// the longest allowed pause; a pause of 0 sets no bound.
func SilenceTimeout(gap, pause time.Duration) time.Duration {
	limit := max(MinSilence, silenceFactor*gap)
	if pause > 0 {
		limit = min(limit, max(MinSilence, pause-resumeTime))
	}
	return limit
}

// FirstEventTimeout is how long to wait for the first event before a liveness check of the endpoint,
// and again after each check. A prompt of usual length is prefilled within it.
const FirstEventTimeout = 1100 * time.Millisecond
