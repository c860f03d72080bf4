package reach

import (
	"math/rand/v2"
	"slices"
	"time"

	"jaywind"
)

const (
	// MaxTries is the number of helpers that are tried for one connection.
	MaxTries = 4

	avoidTime  = time.Second // for which a helper is not asked after it could not help
	maxWorking = 4           // helpers that are preferred because they have connected lately
	newHelper  = 4           // one in so many connections tries another helper first, so that no one carries all
)

// Helpers selects the routers through which this one reaches endpoints. The zero value knows none.
type Helpers struct {
	working []jaywind.Address
	avoided map[jaywind.Address]time.Time // helpers that could not help, and until when they are not asked
}

// Order returns the helpers to try for a connection, in this order: those that have connected lately, then others among the known
// ones. Helpers that could not help come last.
func (h *Helpers) Order(known []jaywind.Address, now time.Time) []jaywind.Address {
	working := slices.Clone(h.working)
	rand.Shuffle(len(working), func(i, j int) { working[i], working[j] = working[j], working[i] })
	var others, last []jaywind.Address
	for _, at := range known {
		switch {
		case slices.Contains(working, at):
		case now.Before(h.avoided[at]):
			last = append(last, at)
		default:
			others = append(others, at)
		}
	}
	var order []jaywind.Address
	if len(working) < maxWorking && len(others) > 0 && rand.IntN(newHelper) == 0 {
		order, others = append(order, others[0]), others[1:]
	}
	order = slices.Concat(order, working, others, last)
	return order[:min(MaxTries, len(order))]
}

// RecordSuccess records that a helper has connected to an endpoint.
func (h *Helpers) RecordSuccess(at jaywind.Address) {
	delete(h.avoided, at)
	if slices.Contains(h.working, at) {
		return
	}
	h.working = append(h.working, at)
	h.working = slices.Delete(h.working, 0, max(0, len(h.working)-maxWorking))
}

// RecordFailure records that a helper could not help, for a reason that does not lie with the endpoint.
func (h *Helpers) RecordFailure(at jaywind.Address, now time.Time) {
	h.working = slices.DeleteFunc(h.working, func(w jaywind.Address) bool { return w == at })
	if h.avoided == nil {
		h.avoided = map[jaywind.Address]time.Time{}
	}
	for other, until := range h.avoided {
		if !now.Before(until) {
			delete(h.avoided, other)
		}
	}
	h.avoided[at] = now.Add(avoidTime)
}
