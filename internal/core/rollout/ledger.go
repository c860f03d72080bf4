package rollout

import (
	"slices"

	"jaywind"
)

// Standing is what is known of a version of a service besides the one that is being rolled out.
type Standing string

// The standings. Their texts are stored, so they must not change.
const (
	StandingInUse     Standing = "in_use"    // runs requests
	StandingWithdrawn Standing = "withdrawn" // another order replaced its own before it was trusted
	StandingRejected  Standing = "rejected"  // was rolled back
)

// LedgerEntry is the standing of one version.
type LedgerEntry struct {
	Version  jaywind.Version `json:"version"`
	Standing Standing        `json:"standing"`
}

// Ledger holds the standings of a service's versions, the latest last. A version without an entry may run requests.
type Ledger []LedgerEntry

// maxLedger bounds the entries of a ledger, so that its state fits into a value of the store. The oldest that is not in use is forgotten.
const maxLedger = 32

// Of returns the standing of a version, or nothing if it has none.
func (l Ledger) Of(v jaywind.Version) Standing {
	for _, e := range l {
		if e.Version == v {
			return e.Standing
		}
	}
	return ""
}

// with returns the ledger with another standing of a version.
func (l Ledger) with(v jaywind.Version, s Standing) Ledger {
	next := slices.DeleteFunc(slices.Clone(l), func(e LedgerEntry) bool { return e.Version == v })
	next = append(next, LedgerEntry{Version: v, Standing: s})
	if oldest := slices.IndexFunc(next, func(e LedgerEntry) bool { return e.Standing != StandingInUse }); len(next) > maxLedger && oldest >= 0 {
		next = slices.Delete(next, oldest, oldest+1)
	}
	return next
}

// barred returns the versions that may not run requests.
func (l Ledger) barred() (versions []jaywind.Version) {
	for _, e := range l {
		if e.Standing != StandingInUse {
			versions = append(versions, e.Version)
		}
	}
	return versions
}

// merge returns the ledger with the entries of another one for versions that it does not have. A version that was rejected stays so.
func (l Ledger) merge(other Ledger) Ledger {
	for _, e := range other {
		if known := l.Of(e.Version); known == "" || e.Standing == StandingRejected && known != StandingRejected {
			l = l.with(e.Version, e.Standing)
		}
	}
	return l
}

// equal reports whether two ledgers hold the same entries, in any order.
func (l Ledger) equal(other Ledger) bool {
	return len(l) == len(other) && !slices.ContainsFunc(other, func(e LedgerEntry) bool { return l.Of(e.Version) != e.Standing })
}

// After returns the ledger with which a new order begins, given the state of the roll-out before it, which is zero if there was none, and
// the versions that have endpoints now.
func After(previous State, target jaywind.Version, present []jaywind.Version) Ledger {
	l := previous.Ledger
	switch {
	case previous.Target == "":
		for _, v := range present {
			if v != target { // which may be new, and the endpoints of the others not known yet
				l = l.with(v, StandingInUse)
			}
		}
	case previous.Target == target:
	case previous.Phase == PhaseDone:
		l = slices.DeleteFunc(slices.Clone(l), func(e LedgerEntry) bool { return e.Standing == StandingInUse })
		l = l.with(previous.Target, StandingInUse)
	case previous.Phase == PhaseRolledBack:
		l = l.with(previous.Target, StandingRejected)
	case l.Of(previous.Target) == StandingInUse: // its order would have gone back to it
	default:
		l = l.with(previous.Target, StandingWithdrawn)
	}
	return l
}
