package series

import "time"

// Action is how a stream goes on after a failed attempt.
type Step int

const (
	StepFresh Step = iota // another endpoint computes the prompt and the output so far anew
	StepCopy              // the endpoint that holds a copy continues the stream
	StepEnd               // the stream fails
)

var actionNames = [...]string{StepFresh: "read anew", StepCopy: "from the copy", StepEnd: "end"}

// String returns the action as it is logged.
func (s Step) String() string { return actionNames[s] }

// Failure is how an attempt failed.
type Loss int

const (
	LossNotRun Loss = iota // the endpoint reported that it did not run the call
	LossUnsent             // no byte was sent
	LossBroken             // the connection broke, or its bytes were invalid
	LossSilent             // no event came within the timeout
	LossNoCopy             // the standby endpoint has no copy
)

var failureNames = [...]string{
	LossNotRun: "not run", LossUnsent: "not sent", LossBroken: "broken", LossSilent: "silent", LossNoCopy: "no copy",
}

// String returns the failure as it is logged.
func (l Loss) String() string { return failureNames[l] }

// ResumePlan decides how one stream goes on after a failure; set the exported fields before use.
type Plan struct {
	Repeatable bool // the call may run more than once
	Attempts   int  // the most endpoints at which it may run

	runs   int
	misses int // attempts since the last run that did not run
}

// maxMisses is the most successive attempts of a stream that may end without a run.
const maxMisses = 4

// RunStarted counts a run at an endpoint.
func (p *Plan) Began() {
	p.runs++
	p.misses = 0
}

// AfterFailure returns how the stream goes on after a failed attempt; copied tells whether another
// endpoint holds a copy.
func (p *Plan) Lost(l Loss, copied bool) Step {
	switch l {
	case LossNotRun, LossUnsent, LossNoCopy:
		p.misses++
		if p.misses > maxMisses {
			return StepEnd
		}
		return StepFresh
	}
	if !p.Repeatable || p.runs >= p.Attempts {
		return StepEnd
	}
	if copied {
		return StepCopy
	}
	return StepFresh
}

const (
	minSilenceTimeout = 350 * time.Millisecond // an engine step that also prefills the prompts of two other requests takes less
	silenceFactor     = 6                      // of the usual time between two events
	resumeTime        = 250 * time.Millisecond // from the decision to leave an endpoint to the next event, with a copy
)

// SilenceTimeout returns how long to wait for the next event, from the usual gap between events and
// the longest allowed pause; a pause of 0 sets no bound.
func Silence(gap, pause time.Duration) time.Duration {
	limit := max(minSilenceTimeout, silenceFactor*gap)
	if pause > 0 {
		limit = min(limit, max(minSilenceTimeout, pause-resumeTime))
	}
	return limit
}

// FirstEventTimeout is how long to wait for the first event before a liveness check of the endpoint,
// and again after each check. A prompt of usual length is prefilled within it.
const First = 1100 * time.Millisecond
