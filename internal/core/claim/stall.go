package claim

import (
	"time"

	"jaywind/internal/core/table"
)

// storeStalled reports whether a claim is to be refused because the store has stopped answering.
// One claim per probeInterval is let through as a probe; the others are refused before anything is
// recorded.
func storeStalled(s *table.State) bool {
	l := &s.Ledger
	if l.Silent.IsZero() || s.Now.Sub(l.Silent) < stallAfter || failureExpired(s) {
		return false
	}
	if s.Now.Sub(l.Trial) < probeInterval {
		return true
	}
	l.Trial = s.Now
	return false
}

// failureExpired reports whether the last failure is too old to count against the store.
func failureExpired(s *table.State) bool {
	l := &s.Ledger
	return l.Out == 0 && s.Now.Sub(l.Failed) > failureMemory
}

func recordCommit(s *table.State) {
	l := &s.Ledger
	if l.Silent.IsZero() || failureExpired(s) {
		l.Silent = s.Now
	}
	l.Out++
}

func recordAnswer(s *table.State, err error) {
	l := &s.Ledger
	l.Out = max(0, l.Out-1)
	if err != nil {
		l.Failed = s.Now
		return
	}
	l.Silent = s.Now
	if l.Out == 0 {
		l.Silent = time.Time{}
	}
}
