package claim

import (
	"time"

	"jaywind/internal/core/table"
)

// stalled tells whether a claim would only wait for a store that does not answer. One claim
// at a time is let through to find out; the others are refused before anything is recorded.
func stalled(s *table.State) bool {
	l := &s.Ledger
	if l.Silent.IsZero() || s.Now.Sub(l.Silent) < stallAfter || forgotten(s) {
		return false
	}
	if s.Now.Sub(l.Trial) < trialPause {
		return true
	}
	l.Trial = s.Now
	return false
}

// forgotten tells whether the last failure is too old to say anything of the store.
func forgotten(s *table.State) bool {
	l := &s.Ledger
	return l.Out == 0 && s.Now.Sub(l.Failed) > stallMemory
}

func noteCommit(s *table.State) {
	l := &s.Ledger
	if l.Silent.IsZero() || forgotten(s) {
		l.Silent = s.Now
	}
	l.Out++
}

func noteAnswer(s *table.State, err error) {
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
