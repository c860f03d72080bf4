package follow

import (
	"sync"
	"time"
)

// Grace is how long entries that lapsed while the store was away may take to come back once it is there.
const Grace = 2 * time.Second

// Outage is what a router knows of the times in which it could not reach the store; its zero value has seen none.
type Outage struct {
	mu    sync.Mutex
	away  bool
	since time.Time // the store has answered since then; zero if it has never been away
}

// Note takes whether a call was answered.
func (o *Outage) Note(ok bool, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if ok && o.away {
		o.since = now
	}
	o.away = !ok
}

// Settled tells whether the store has answered for as long as entries may take to come back. An entry that goes then has
// gone for good, and so has any that is still missing. Until then one that goes may have lapsed with the store away.
func (o *Outage) Settled(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.away && now.Sub(o.since) >= Grace
}
