package embed

import (
	"sync/atomic"

	"jaywind"
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
