package drain

import "time"

const (
	stopMargin    = 400 * time.Millisecond  // before the kill, so that answers can still arrive
	exitMargin    = 200 * time.Millisecond  // before the kill, for the process to end after its last call
	settleTime    = 3500 * time.Millisecond // in which callers with a cached directory answer still arrive, at least
	ttlFactor     = 3                       // some callers cache an answer up to this many times its TTL
	acceptAllTime = 3 * time.Second         // in which work is accepted regardless of its run time
	finishGrace   = 150 * time.Millisecond  // after new work is no longer accepted, for work in progress
	answerGrace   = 70 * time.Millisecond   // of it, for the answers to the calls that are ended
	idleTime      = 250 * time.Millisecond  // without work, after which no more is expected
)

// Plan is the shutdown schedule of a router. Set its fields before use.
type Plan struct {
	Grace     time.Duration // from the order to stop until the kill
	AnswerTTL time.Duration // for which callers are told to cache the directory's answer
}

// lastAccept returns the time after the order to stop from which no work is accepted.
func (p Plan) lastAccept() time.Duration { return p.Grace - stopMargin }

// MaxWait returns how long a drained router may wait for calls in the background; 0 if it must exit at once.
func (p Plan) MaxWait(elapsed time.Duration) time.Duration {
	return max(0, p.Grace-exitMargin-elapsed)
}

// MaxWork returns the longest run time of new work at a time after the order to stop; 0 stands for no limit.
func (p Plan) MaxWork(elapsed time.Duration) time.Duration {
	if elapsed < acceptAllTime {
		return 0
	}
	return max(time.Millisecond, p.lastAccept()-elapsed)
}

// EndsCalls reports whether the calls in progress are ended, so that their callers get an answer before the router exits.
func (p Plan) EndsCalls(elapsed time.Duration) bool {
	return elapsed >= p.lastAccept()+finishGrace-answerGrace
}

// Done reports whether the router exits, given the time since the order to stop, the time without
// work at its end, and the number of calls in progress.
func (p Plan) Done(elapsed, idle time.Duration, active int64) bool {
	settled := min(max(settleTime, ttlFactor*p.AnswerTTL), p.lastAccept())
	switch {
	case elapsed >= p.lastAccept()+finishGrace:
		return true
	case elapsed >= p.lastAccept():
		return active == 0
	}
	return elapsed >= settled && idle >= idleTime
}
