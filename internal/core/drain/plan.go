package drain

import "time"

const (
	killMargin   = 400 * time.Millisecond  // before the kill, for answers to arrive
	settleTime   = 3500 * time.Millisecond // in which callers that kept the directory's answer still come
	settleFactor = 3                       // times that some callers keep an answer longer than told
	acceptTime   = 3 * time.Second         // in which all work is taken
	finishTime   = 150 * time.Millisecond  // for what is in progress at the end of the grace
	quietTime    = 250 * time.Millisecond  // without work, after which nothing is expected to come
)

// Plan is how one router ends; set its fields before use.
type Plan struct {
	Grace     time.Duration // from the order to end to the kill
	AnswerTTL time.Duration // that callers are told to keep the directory's answer
}

// last is when no work is taken any more.
func (p Plan) last() time.Duration { return p.Grace - killMargin }

// MaxWork returns how long new work may take when so much time has gone; 0 stands for any time.
func (p Plan) MaxWork(gone time.Duration) time.Duration {
	if gone < acceptTime {
		return 0
	}
	return max(time.Millisecond, p.last()-gone)
}

// Done tells whether the router ends when so much time has gone, the last of it without work, and so much is in progress.
func (p Plan) Done(gone, quiet time.Duration, active int64) bool {
	settled := min(max(settleTime, settleFactor*p.AnswerTTL), p.last())
	switch {
	case gone >= p.last()+finishTime:
		return true
	case gone >= p.last():
		return active == 0
	}
	return gone >= settled && quiet >= quietTime
}
