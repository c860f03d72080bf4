package admit

import (
	"maps"
	"slices"

	"jaywind"
	"jaywind/internal/core/place"
	"jaywind/internal/core/table"
)

// Admit passes queued requests on to placement.
type Admit struct{}

// Step takes in each newly queued request and starts those whose turn it is.
func (Admit) Step(s *table.State) {
	arrived := s.Queued
	s.Queued = nil
	if s.Rules != nil && s.Full {
		refresh(s)
	}
	for _, id := range arrived {
		if r := s.Requests[id]; r != nil && r.Phase == table.PhaseQueued {
			takeIn(s, r)
		}
	}
	if len(arrived) == 0 && !s.Full {
		return
	}
	for _, m := range slices.Sorted(maps.Keys(s.Pools)) {
		start(s, s.Pools[m])
	}
}

// takeIn queues a request or refuses it.
func takeIn(s *table.State, r *table.Request) {
	if reason := unable(s, r); reason != "" {
		refuse(s, r, reason, returnAfter)
		return
	}
	p := poolOf(s, r.Model)
	o, u := s.OrganisationFor(r.Organisation)
	if wait := drain(s, p, o, u, r); wait.reason != "" {
		refuse(s, r, wait.reason, wait.after)
		return
	}
	push(s, p, o, u, r)
}

// unable returns why a request can't start here whatever the load, or nothing.
func unable(s *table.State, r *table.Request) string {
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

// start passes requests on while the pool's limit allows.
func start(s *table.State, p *table.Pool) {
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

// hasRoom tells whether one more request may run; without a usable endpoint one may, as the trial that closes a breaker.
func hasRoom(p *table.Pool) bool {
	return float64(p.Running) < max(1, p.Limit*p.Usable)
}

// refresh brings the pools up to date with the requests and the clock.
func refresh(s *table.State) {
	for m := range s.Rules.Models {
		p := poolOf(s, m)
		p.Running = 0
		p.AwaitingFirst = 0
		p.Window.Overdue = 0
	}
	for _, r := range s.Requests {
		if p := s.Pools[r.Model]; p != nil && r.Phase != table.PhaseQueued {
			count(s, p, r)
		}
	}
	for _, m := range slices.Sorted(maps.Keys(s.Pools)) {
		p := s.Pools[m]
		p.Usable = place.UsableFraction(s, m)
		ramp(s, p)
		adjust(s, p)
		expire(s, p)
		sweep(p)
	}
}

// count adds a started request to its pool.
func count(s *table.State, p *table.Pool, r *table.Request) {
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
		p.Limit = firstLimit(s, m)
	}
	return p
}
