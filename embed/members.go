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
	epoch uint64 // used by the loop only
}

// publish replaces the list if it has changed.
func (v *memberView) publish(f *table.Fleet) {
	if v.list.Load() != nil && v.epoch == f.Epoch {
		return
	}
	live := f.Live()
	v.epoch = f.Epoch
	v.list.Store(&live)
}

// Members returns the routers that are believed alive, with this one, ordered by VM; the caller does not change the list.
func (r *Router) Members() []jaywind.Member {
	r.init()
	return *r.members.list.Load()
}

// Entries returns the home routers of an organisation, spread over failure domains; those in doubt only if there are no others.
func (r *Router) Entries(o jaywind.Organisation) []jaywind.Address {
	var out []jaywind.Address
	for _, m := range place.HomeRouters(r.Members(), o) {
		out = append(out, m.Entry)
	}
	return out
}

// Stop asks for a graceful shutdown: nothing new is taken, and what runs goes on.
func (r *Router) Stop() {
	r.init()
	r.post(table.StopRequested{})
}

// Stopping tells whether a graceful shutdown has begun.
func (r *Router) Stopping() bool {
	return r.stopping.Load()
}

const (
	leaveTime   = 2 * time.Second // for the fleet to hear that this router leaves
	drainPeriod = 50 * time.Millisecond
)

// Drain begins a graceful shutdown and returns when the fleet has heard of it and no request is left, or ctx ends.
func (r *Router) Drain(ctx context.Context) error {
	r.Stop()
	if r.Gossiper != nil {
		pause(ctx, leaveTime)
	}
	for {
		s, err := r.Status(ctx)
		if err != nil {
			return err
		}
		if s.Requests == 0 {
			return nil
		}
		pause(ctx, drainPeriod)
	}
}
