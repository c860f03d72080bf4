package soak

import (
	"fmt"
	"slices"
	"time"
)

const (
	limitSettles = 3 * time.Second        // after an endpoint has first named its limit
	limitWindow  = 4 * time.Second        // in which requests are counted
	limitHeard   = 500 * time.Millisecond // after a router has passed on an answer with the limit
	limitFactor  = 1.5                    // of what the limit allows in the window
	limitSpare   = 5                      // requests besides
)

// addLimit records that a replica named a limit for a time.
func (r *checker) addLimit(replica string, s span) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limits[replica] = append(r.limits[replica], s)
}

// checkLimits checks that an endpoint which names a limit gets no more than that from all routers together which know it; the caller
// holds mu.
func (r *checker) checkLimits() {
	allowed := int(limitFactor*limitRate*limitWindow.Seconds()) + limitSpare
	for replica, spans := range r.limits {
		for _, s := range spans {
			arrivals := r.arrivalsUnderLimit(replica, s)
			for i, from := range arrivals {
				n := 0
				for _, at := range arrivals[i:] {
					if at.Sub(from) <= limitWindow {
						n++
					}
				}
				if n > allowed {
					r.violations = append(r.violations, Violation{"limit", "", fmt.Sprintf("%s got %d requests within %v, its limit is %d a second", replica, n, limitWindow, limitRate)})
					break
				}
			}
		}
	}
}

// mostlyLimited reports whether at least half of the engines named limits at a time; the caller holds mu.
func (r *checker) mostlyLimited(at time.Time) bool {
	n := 0
	for replica, spans := range r.limits {
		if e := r.replicaOf(replica); e != nil && e.service == "pool" && overlaps(spans, at, at, 0) {
			n++
		}
	}
	return n > 0 && 2*n >= r.fleet.size.Engines
}

// arrivalsUnderLimit returns when requests arrived at a replica from routers that had to know its limit, in order; the caller holds mu.
func (r *checker) arrivalsUnderLimit(replica string, s span) []time.Time {
	heardAt := map[*router][]time.Time{}
	for _, a := range r.attempts {
		if a.limited == replica && s.overlaps(a.headAt, a.headAt, 0) {
			heardAt[a.router] = append(heardAt[a.router], a.headAt)
		}
	}
	var arrivals []time.Time
	for id, a := range r.attempts {
		for _, e := range r.events[id] {
			at := time.UnixMilli(e.UnixMilli)
			isArrival := e.Replica == replica && (e.Kind == "run" || e.Kind == "refuse")
			if !isArrival || at.Before(s.from.Add(limitSettles)) || at.After(s.until) {
				continue
			}
			if slices.ContainsFunc(heardAt[a.router], func(heard time.Time) bool { return at.Sub(heard) > limitHeard && !a.router.disturbed(heard, at, 0) }) {
				arrivals = append(arrivals, at)
			}
		}
	}
	slices.SortFunc(arrivals, time.Time.Compare)
	return arrivals
}
