package admit

import (
	"maps"
	"slices"

	"jaywind"
	"jaywind/internal/core/place"
	"jaywind/internal/core/table"
)

// Admit is the system that admits queued requests and hands them to placement.
type Admit struct{}

// Step queues or refuses the requests that have arrived and starts those that the limits allow.
func (Admit) Step(s *table.State) {
	arrived := s.Queued
	s.Queued = nil
	if s.Rules != nil && s.Full {
		refreshPools(s)
	}
	for _, id := range arrived {
		if r := s.Requests[id]; r != nil && r.Phase == table.PhaseQueued {
			enqueueOrRefuse(s, r)
		}
	}
	if len(arrived) == 0 && !s.Full {
		return
	}
	for _, m := range slices.Sorted(maps.Keys(s.Pools)) {
		startQueued(s, s.Pools[m])
	}
}

// enqueueOrRefuse applies the admission checks to a request that has arrived.
func enqueueOrRefuse(s *table.State, r *table.Request) {
	if reason := refusalReason(s, r); reason != "" {
		refuse(s, r, reason, minRetryAfter)
		return
	}
	p := poolOf(s, r.Model)
	o, u := s.OrganisationFor(r.Organisation)
	if wait := checkAdmission(s, p, o, u, r); wait.reason != "" {
		refuse(s, r, wait.reason, wait.after)
		return
	}
	push(s, p, o, u, r)
}

// refusalReason returns why this router can't run a request whatever the load, or "" if it can.
func refusalReason(s *table.State, r *table.Request) string {
	if s.Stopping {
		return "this router is stopping"
	}
	if s.Fleet.Partitioned {
		return "this router is cut off from the store and from most routers"
	}
	if s.Rules == nil {
		return "no rules are known yet"
	}
	if _, known := s.Rules.Models[r.Model]; !known {
		return "no such model: " + string(r.Model)
	}
	return ""
}

// startQueued hands queued requests to placement while the pool's limit allows.
func startQueued(s *table.State, p *table.Pool) {
	for p.Queued > 0 {
		if !hasRoom(p) || p.Backlog > 0 {
			p.Window.LimitHit = true
			return
		}
		r := pop(s, p)
		if r == nil {
			continue
		}
		r.Phase = table.PhaseReady
		p.Running++
		p.Window.Started++
		s.Ready = append(s.Ready, r.ID)
	}
}

// hasRoom reports whether one more request may run. At least one may, even if no
// endpoint is usable: it is the probe that closes a circuit breaker.
func hasRoom(p *table.Pool) bool {
	return float64(p.Running) < max(1, p.Limit*p.Usable)
}

// refreshPools recounts the requests of each pool, adjusts its limit and drops what has expired.
func refreshPools(s *table.State) {
	for m := range s.Rules.Models {
		p := poolOf(s, m)
		p.Running = 0
		p.AwaitingFirst = 0
		p.Window.Overdue = 0
	}
	for _, r := range s.Requests {
		if p := s.Pools[r.Model]; p != nil && r.Phase != table.PhaseQueued {
			countStarted(s, p, r)
		}
	}
	for _, m := range slices.Sorted(maps.Keys(s.Pools)) {
		p := s.Pools[m]
		p.Usable = place.UsableFraction(s, m)
		rampLimit(s, p)
		adjustLimit(s, p)
		refuseExpired(s, p)
		removeIdleQueues(p)
	}
}

// countStarted counts a started request in its pool.
func countStarted(s *table.State, p *table.Pool, r *table.Request) {
	p.Running++
	if r.Phase == table.PhaseReady || !r.LastFrameAt.Before(r.OpenedAt) {
		return
	}
	p.AwaitingFirst++
	if s.Now.Sub(r.OpenedAt) > table.FirstTarget {
		p.Window.Overdue++
	}
}

func poolOf(s *table.State, m jaywind.Model) *table.Pool {
	p := s.Pools[m]
	if p == nil {
		p = &table.Pool{Model: m, Usable: 1, Queues: map[jaywind.Organisation]*table.OrganisationQueue{}}
		s.Pools[m] = p
	}
	if p.Limit == 0 {
		p.Limit = initialLimit(s, m)
	}
	return p
}
