package recall

import (
	"time"

	"jaywind"
)

// Barrier tells when all routers have recorded again what they remember. Set the exported fields before the first call.
type Barrier struct {
	Span    time.Duration // for which routers remember claims
	Started time.Time     // when this router began to see the others

	seen    map[jaywind.VM]time.Time // when each router was last a member
	entered time.Time                // when this router learned of the restore
	reports map[jaywind.VM]bool      // whether the memory of each router that has reported was complete
}

// See records the present members of the fleet, including this router.
func (b *Barrier) See(members []jaywind.VM, now time.Time) {
	if b.seen == nil {
		b.seen = map[jaywind.VM]time.Time{}
	}
	for _, vm := range members {
		b.seen[vm] = now
	}
	for vm, at := range b.seen {
		if now.Sub(at) > b.Span {
			delete(b.seen, vm)
		}
	}
}

// Enter begins to wait, as the store was restored.
func (b *Barrier) Enter(now time.Time) {
	b.entered = now
	b.reports = map[jaywind.VM]bool{}
}

// Report records that a router has recorded again what it remembers, and whether that is all of the last span.
func (b *Barrier) Report(vm jaywind.VM, complete bool) { b.reports[vm] = complete }

// Done reports whether no claim is missing any more, or those that are belong to callers of more than a span ago. Routers that were members
// within the span count even if they are gone.
func (b *Barrier) Done(now time.Time) bool {
	if now.Sub(b.entered) >= b.Span {
		return true
	}
	if b.entered.Sub(b.Started) < b.Span || len(b.seen) == 0 {
		return false // routers that are gone may be unknown
	}
	for vm := range b.seen {
		if !b.reports[vm] {
			return false
		}
	}
	return true
}

// Missing returns the routers that have not reported, or do not remember all.
func (b *Barrier) Missing() []jaywind.VM {
	var out []jaywind.VM
	for vm := range b.seen {
		if !b.reports[vm] {
			out = append(out, vm)
		}
	}
	return out
}
