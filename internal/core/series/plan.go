package series

import "time"

// Step is how a stream goes on.
type Step int

// The steps after a loss.
const (
	StepFresh Step = iota // another endpoint reads the prompt and what was made
	StepCopy              // the endpoint with the copy goes on
	StepEnd               // the stream is given up
)

var stepNames = [...]string{StepFresh: "read anew", StepCopy: "from the copy", StepEnd: "end"}

// String returns the step as logs name it.
func (s Step) String() string { return stepNames[s] }

// Loss is how an attempt ended.
type Loss int

// The losses.
const (
	LossNotRun Loss = iota // the endpoint says that it has not run
	LossUnsent             // no byte was sent
	LossBroken             // the connection broke, or its bytes made no sense
	LossSilent             // nothing came for too long
	LossNoCopy             // there is no copy at the standby
)

var lossNames = [...]string{
	LossNotRun: "not run", LossUnsent: "not sent", LossBroken: "broken", LossSilent: "silent", LossNoCopy: "no copy",
}

// String returns the loss as logs name it.
func (l Loss) String() string { return lossNames[l] }

// Plan decides how one stream goes on; set the exported fields before use.
type Plan struct {
	Repeatable bool // whether it may run more than once
	Attempts   int  // endpoints that it may run at

	runs   int
	misses int // sends that did not run, since the last run
}

// maxMisses bounds the sends of a stream that no endpoint takes.
const maxMisses = 4

// Began counts a run at an endpoint.
func (p *Plan) Began() {
	p.runs++
	p.misses = 0
}

// Lost returns how the stream goes on after a loss; copied tells whether an endpoint keeps a copy.
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
	silenceFloor  = 350 * time.Millisecond // a step with the prompts of two others read in between takes less
	silenceFactor = 6                      // of the usual time between two events
	recoverTime   = 250 * time.Millisecond // from the decision to the next event, from a copy
)

// Silence returns how long to wait for the next event when the usual gap and the longest allowed pause are known.
func Silence(gap, pause time.Duration) time.Duration {
	limit := max(silenceFloor, silenceFactor*gap)
	if pause > 0 {
		limit = min(limit, max(silenceFloor, pause-recoverTime))
	}
	return limit
}

// First is how long to wait for a first event before the endpoint is asked whether it lives, and after each time: a
// prompt of usual length is read by then.
const First = 1100 * time.Millisecond
