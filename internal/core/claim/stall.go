package claim

import (
	"time"

	"jaywind/internal/core/table"
)

// storeStalled reports whether a claim is to be refused because the store has stopped answering.
// One claim per probeInterval is let through as a probe; the others are refused before anything is
// recorded.
func storeStalled(s *table.State) bool {
	l := &s.CommitHealth
	if l.UnansweredSince.IsZero() || s.Now.Sub(l.UnansweredSince) < stallAfter || failureExpired(s) {
		return false
	}
	if s.Now.Sub(l.ProbedAt) < probeInterval {
		return true
	}
	l.ProbedAt = s.Now
	return false
}

// failureExpired reports whether the last failure is too old to count against the store.
func failureExpired(s *table.State) bool {
	l := &s.CommitHealth
	return l.Outstanding == 0 && s.Now.Sub(l.FailedAt) > failureMemory
}

func recordCommit(s *table.State) {
	l := &s.CommitHealth
	if l.UnansweredSince.IsZero() || failureExpired(s) {
		l.UnansweredSince = s.Now
	}
	l.Outstanding++
}

func recordAnswer(s *table.State, err error) {
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
