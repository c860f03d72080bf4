package follow

import (
	"sync"
	"time"
)

// ReregisterGrace is how long the owners of entries that expired while the store was unavailable may take to register again
// once it is available.
const ReregisterGrace = 2 * time.Second

// OutageTracker tracks whether the store is reachable; its zero value has seen no outage.
type OutageTracker struct {
	mu             sync.Mutex
	unavailable    bool
	availableSince time.Time // end of the last outage; zero if there was none
}

// Record records whether a call was answered.
func (o *OutageTracker) Record(ok bool, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if ok && o.unavailable {
		o.availableSince = now
	}
	o.unavailable = !ok
}

// RecordRestore records that the store has come back from an older copy of itself, which lacks what was written since.
func (o *OutageTracker) RecordRestore(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.availableSince = now
}

// Recovered tells whether the store has answered for at least ReregisterGrace, or has never failed to. Entries that are
// deleted or still missing then are gone for good. Before that, a deleted entry may have expired because of the outage.
func (o *OutageTracker) Recovered(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.unavailable && now.Sub(o.availableSince) >= ReregisterGrace
}
