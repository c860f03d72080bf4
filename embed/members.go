package embed

import (
	"context"
	"sync/atomic"
	"time"

	"jaywind"
	"jaywind/internal/core/place"
	"jaywind/internal/core/table"
)

// memberView holds the last published list of live members.
type memberView struct {
	list  atomic.Pointer[[]jaywind.Member]
	epoch uint64 // table.Fleet.Epoch of list; accessed only by the loop
}

// publish replaces the list if the epoch of the fleet has changed.
func (v *memberView) publish(f *table.Fleet) {
	if v.list.Load() != nil && v.epoch == f.Epoch {
		return
	}
	live := f.Live()
	v.epoch = f.Epoch
	v.list.Store(&live)
}

// Members returns the routers that are believed to be alive, including this one, ordered by VM. Do not modify the list.
func (r *Router) Members() []jaywind.Member {
	r.init()
	return *r.members.list.Load()
}

// HomeEntries returns the caller addresses of the home routers of an organisation, spread over failure domains.
// Suspect routers are included only if there are no others.
func (r *Router) HomeEntries(o jaywind.Organisation) []jaywind.Address {
	var entries []jaywind.Address
	for _, m := range place.HomeRouters(r.Members(), o) {
		entries = append(entries, m.Entry)
	}
	return entries
}

// Stop begins a graceful shutdown: new requests are refused, and running ones continue.
func (r *Router) Stop() {
	r.init()
	r.post(table.StopRequested{})
}

// Stopping reports whether a graceful shutdown has begun.
func (r *Router) Stopping() bool {
	return r.stopping.Load()
}

const (
	leaveNoticeTime  = 2 * time.Second // for the notice that this router is leaving to spread
	drainCheckPeriod = 50 * time.Millisecond
)

// Drain begins a graceful shutdown, gives the notice leaveNoticeTime to reach the fleet and then waits until no request is left.
// It returns an error if ctx is done first.
func (r *Router) Drain(ctx context.Context) error {
	r.Stop()
	if r.Gossiper != nil {
		sleep(ctx, leaveNoticeTime)
	}
	for {
		s, err := r.Status(ctx)
		if err != nil {
			return err
		}
		if s.ActiveRequests == 0 {
			return nil
		}
		sleep(ctx, drainCheckPeriod)
	}
}
