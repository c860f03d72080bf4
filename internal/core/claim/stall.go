package claim

import (
	"time"

	"jaywind/internal/core/table"
)

// stalled tells whether a claim would only wait for a store that does not answer. One claim
// at a time is let through to find out; the others are refused before anything is recorded.
func stalled(s *table.State) bool {
	l := &s.CommitHealth
	if l.UnansweredSince.IsZero() || s.Now.Sub(l.UnansweredSince) < stallAfter || forgotten(s) {
		return false
	}
	if s.Now.Sub(l.TrialAt) < trialPause {
		return true
	}
	l.TrialAt = s.Now
	return false
}

// forgotten tells whether the last failure is too old to say anything of the store.
func forgotten(s *table.State) bool {
	l := &s.CommitHealth
	return l.Outstanding == 0 && s.Now.Sub(l.FailedAt) > stallMemory
}

func noteCommit(s *table.State) {
	l := &s.CommitHealth
	if l.UnansweredSince.IsZero() || forgotten(s) {
		l.UnansweredSince = s.Now
	}
	l.Outstanding++
}

func noteAnswer(s *table.State, err error) {
	l := &s.CommitHealth
	l.Outstanding = max(0, l.Outstanding-1)
	if err != nil {
		l.FailedAt = s.Now
		return
	}
	l.UnansweredSince = s.Now
	if l.Outstanding == 0 {
		l.UnansweredSince = time.Time{}
	}
}
