package endpoint

import (
	"slices"
	"time"

	"jaywind"
	"jaywind/internal/core/route"
)

// fleetLoadAge is for how long what is known of the work of all routers counts: longer than two report intervals.
const fleetLoadAge = 3 * time.Second

// FleetLoad is the work of all routers at an endpoint, as the owner of its service has told. The zero value is unknown.
type FleetLoad struct {
	At      time.Time // when it was told
	Runs    int
	Held    int     // memory in tokens that runs and copies take
	Prefill int     // prompt tokens of runs without an event
	Factor  float64 // time that the endpoint takes, over the median of its service
}

// known reports whether the load of all routers is known and not too old.
func (l *FleetLoad) known(now time.Time) bool { return !l.At.IsZero() && now.Sub(l.At) < fleetLoadAge }

// slowFactor is the learned speed factor from which on an endpoint gets copies only if no other one has room.
const slowFactor = 1.4

// heldTokens returns the memory that work takes at an endpoint, of all routers if that is known.
func (e *Endpoint) heldTokens(now time.Time) int {
	if e.Fleet.known(now) {
		return max(e.Fleet.Held, e.HeldTokens)
	}
	return e.HeldTokens
}

// isSlow reports whether an endpoint is known to be slower than others of its service.
func (e *Endpoint) isSlow(now time.Time) bool {
	return e.Fleet.known(now) && e.Fleet.Factor >= slowFactor
}

// Ineligible returns the endpoints of a service that may not run a call now, whatever work they have, and whether any other is left.
func (t *Table) Ineligible(s *route.Service, n Requirements, now time.Time) (all []*Endpoint, anyLeft bool) {
	for _, e := range t.services[s.Name] {
		if e.Leaving || now.Before(e.opensAt(n)) || !e.serves(n) || now.Before(e.closedUntil) || !e.missingSince.IsZero() ||
			slices.Contains(n.Avoid, e.ID) || e.returning && e.Calls > 0 {
			all = append(all, e)
			continue
		}
		anyLeft = true
	}
	return all, anyLeft
}

const (
	remotePause     = 800 * time.Millisecond // for which an endpoint whose failure another router has reported gets no new runs
	failedShare     = 0.4                    // of the endpoints of a failure domain; if as many have failed, the others probably have, too
	minDomainFailed = 3                      // endpoints, so that single failures in a small domain do not count as its loss
)

// Schedulable returns the endpoints of a service to which an owner may assign runs: those that accept work, are listed in the registry
// and are not in a failure domain of which a large part has failed.
func (t *Table) Schedulable(s *route.Service, now time.Time) []*Endpoint {
	type domainCount struct{ all, failed int }
	domains := map[jaywind.Domain]*domainCount{}
	for _, e := range t.services[s.Name] {
		c := domains[e.Domain]
		if c == nil {
			c = &domainCount{}
			domains[e.Domain] = c
		}
		c.all++
		if now.Before(e.closedUntil) || !e.missingSince.IsZero() {
			c.failed++
		}
	}
	var all []*Endpoint
	for _, e := range t.services[s.Name] {
		c := domains[e.Domain]
		lost := c.failed >= minDomainFailed && float64(c.failed) >= failedShare*float64(c.all)
		if !lost && t.AcceptsWork(e, now) && e.missingSince.IsZero() {
			all = append(all, e)
		}
	}
	return all
}

// RecordRemoteFailure records a failure that another router has seen. Successes of other routers are not reported, so a failure counts
// for a fixed time, however many came before.
func (t *Table) RecordRemoteFailure(e *Endpoint, absent bool, now time.Time) {
	switch until := now.Add(absentPause); {
	case absent && until.After(e.closedUntil):
		e.closedUntil = until
	case !now.Before(e.closedUntil):
		e.closedUntil = now.Add(remotePause)
	}
}

// OfService returns the endpoints of a service.
func (t *Table) OfService(s *route.Service) []*Endpoint { return t.services[s.Name] }
