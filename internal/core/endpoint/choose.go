package endpoint

import (
	"math"
	"slices"
	"time"

	"jaywind"
	"jaywind/internal/core/route"
)

const (
	initialFailurePause = 300 * time.Millisecond // without new work after a first failure; doubles with each further one
	maxFailurePause     = 2400 * time.Millisecond
	absentPause         = 4 * time.Second         // longer than the registry keeps the entry of an endpoint that stopped renewing it
	domainFailureWindow = time.Second             // failures of two endpoints of a failure domain within this time count as a failure of the domain
	domainPause         = 1500 * time.Millisecond // for which a failed domain is avoided

	prefillScale   = 10000 // prompt tokens awaiting prefill that weigh as much as a full endpoint
	distanceWeight = 0.5   // added to the load of an endpoint in the part of the most distant router
	maxMemoryFill  = 0.9   // fraction of an endpoint's memory that this router's work may take
)

// Requirements are the constraints that a call puts on the choice of its endpoint.
type Requirements struct {
	Model           jaywind.Model        // empty for a call to a plain service
	MemoryTokens    int                  // memory that the call takes at its end
	PromptTokens    int                  // length of the prompt
	Version         jaywind.Version      // the only version that may run the call; empty for any
	ExcludeVersions []jaywind.Version    // versions that may not run the call
	Avoid           []jaywind.EndpointID // endpoints that have failed this call
	Only            []jaywind.EndpointID // the only endpoints that may run the call; empty for any
	Urgent          bool                 // the call is a stream that has begun
}

// Choose returns the best endpoint of a service for a call, or nil if there is none. These criteria
// apply, the most important first: not closed after a failure; neither in Avoid, nor missing from
// the registry, nor busy with its first call after a pause; room for the call; outside a failed
// domain; low load and a short ring distance. Among closed endpoints the one that opens first is
// best. One that has asked for a pause, or whose limit is used up, is never chosen.
func (t *Table) Choose(s *route.Service, n Requirements, now time.Time) *Endpoint {
	return t.choose(s, n, now, closedRank)
}

// ChooseWithRoom returns the best endpoint of a service for a call that has room for it and has not failed, or nil.
func (t *Table) ChooseWithRoom(s *route.Service, n Requirements, now time.Time) *Endpoint {
	return t.choose(s, n, now, 1)
}

// Eligible returns the endpoints of a service that are the best for a call by the same criteria, except for load and distance. The one that
// Choose returns is the first; all others have no order. Only one is returned if all are closed after failures.
func (t *Table) Eligible(s *route.Service, n Requirements, now time.Time) []*Endpoint {
	judge := t.judgeFor(s, n, now)
	first := t.best(s, n, now, judge, closedRank)
	if first == nil {
		return nil
	}
	all := []*Endpoint{first}
	rank, _ := judge(first, 0)
	if rank == closedRank {
		return all
	}
	for _, e := range t.services[s.Name] {
		if e == first || !e.available(n, now) {
			continue
		}
		if r, _ := judge(e, 0); r == rank {
			all = append(all, e)
		}
	}
	return all
}

func (t *Table) choose(s *route.Service, n Requirements, now time.Time, worst int) *Endpoint {
	return t.best(s, n, now, t.judgeFor(s, n, now), worst)
}

// closedRank is the rank of an endpoint that is closed after a failure, the worst of all.
const closedRank = 4

// judgeFor returns the function that ranks the endpoints of a service for a call.
func (t *Table) judgeFor(s *route.Service, n Requirements, now time.Time) func(*Endpoint, float64) (int, float64) {
	return func(e *Endpoint, distance float64) (rank int, weight float64) {
		weight = e.load(s, n) + distanceWeight*distance
		switch {
		case now.Before(e.closedUntil):
			return closedRank, e.closedUntil.Sub(now).Seconds()
		case slices.Contains(n.Avoid, e.ID), !e.missingSince.IsZero(), // a missing endpoint may have stopped
			e.returning && e.Calls > 0:
			return 3, weight
		case !e.fits(s, n):
			return 2, weight
		case now.Before(t.domainFailures[e.Domain].avoidUntil):
			return 1, weight
		}
		return 0, weight
	}
}

// ChooseStandby returns the endpoint that should hold a copy of the memory of a run at another
// endpoint, or nil. It prefers another failure domain, then one that has not failed.
func (t *Table) ChooseStandby(s *route.Service, run *Endpoint, n Requirements, now time.Time) *Endpoint {
	if s.Engine == nil || !s.Engine.CopiesMemory {
		return nil
	}
	return t.best(s, n, now, func(e *Endpoint, distance float64) (rank int, weight float64) {
		weight = float64(e.heldTokens(now))/float64(max(1, s.Engine.MemoryTokens)) + distanceWeight*distance
		if e.isSlow(now) {
			weight++
		}
		switch {
		case e == run || slices.Contains(n.Avoid, e.ID) || !e.fitsCopy(s, n, now) || now.Before(e.closedUntil) || !e.missingSince.IsZero():
			return 4, weight
		case e.Domain == run.Domain:
			return 2, weight
		case now.Before(t.domainFailures[e.Domain].avoidUntil):
			return 1, weight
		}
		return 0, weight
	}, 2)
}

// best returns the eligible endpoint with the lowest rank, and among equals the lowest weight, as
// judge returns them. It returns nil if every rank exceeds worst.
func (t *Table) best(s *route.Service, n Requirements, now time.Time, judge func(*Endpoint, float64) (int, float64), worst int) *Endpoint {
	var found *Endpoint
	rank, weight := worst, math.Inf(1)
	all := t.services[s.Name]
	for i, e := range all {
		if !e.available(n, now) {
			continue
		}
		if r, w := judge(e, t.distance(i, len(all))); r < rank || r == rank && w < weight {
			found, rank, weight = e, r, w
		}
	}
	return found
}

// available reports whether a call may go to an endpoint at all.
func (e *Endpoint) available(n Requirements, now time.Time) bool {
	return !e.Leaving && !now.Before(e.opensAt(n)) && e.serves(n)
}

func (e *Endpoint) serves(n Requirements) bool {
	if n.Version != "" && e.Version != n.Version || slices.Contains(n.ExcludeVersions, e.Version) {
		return false
	}
	if len(n.Only) > 0 && !slices.Contains(n.Only, e.ID) {
		return false
	}
	return n.Model == "" || slices.Contains(e.Models, n.Model)
}

// load returns the load that this router's calls put on an endpoint; 1 is full.
func (e *Endpoint) load(s *route.Service, n Requirements) float64 {
	load := float64(e.Calls) / float64(max(1, e.Slots))
	if s.Engine == nil {
		return load
	}
	held := float64(e.HeldTokens+n.MemoryTokens) / float64(max(1, s.Engine.MemoryTokens))
	return max(load, held) + float64(e.PrefillTokens)/prefillScale
}

// fits reports whether this router's work at an endpoint leaves a slot and memory for a call.
func (e *Endpoint) fits(s *route.Service, n Requirements) bool {
	if s.Engine == nil {
		return true
	}
	return e.Calls < e.Slots && float64(e.HeldTokens+n.MemoryTokens) <= maxMemoryFill*float64(s.Engine.MemoryTokens)
}

// fitsCopy is fits for a copy, which takes memory of all routers.
func (e *Endpoint) fitsCopy(s *route.Service, n Requirements, now time.Time) bool {
	return e.fits(s, n) && float64(e.heldTokens(now)+n.MemoryTokens) <= maxMemoryFill*float64(s.Engine.MemoryTokens)
}

// StartCall counts a call that is sent to an endpoint.
func (t *Table) StartCall(e *Endpoint, n Requirements) {
	e.Calls++
	e.HeldTokens += n.MemoryTokens
	e.PrefillTokens += n.PromptTokens
}

// FinishPrefill counts the first event of a call, which shows that its prompt was prefilled.
func (t *Table) FinishPrefill(e *Endpoint, n Requirements) {
	e.PrefillTokens -= n.PromptTokens
}

// FinishCall counts the end of a call.
func (t *Table) FinishCall(e *Endpoint, n Requirements) {
	e.Calls--
	e.HeldTokens -= n.MemoryTokens
}

// CopyLost reports whether the copy at an endpoint can't be relied on: the endpoint is gone,
// leaving or paused, runs a version that is not retained, or it or its domain has failed.
func (t *Table) CopyLost(e *Endpoint, now time.Time) bool {
	version, restricted := t.retained[e.Service]
	return t.rows[e.ID] != e || restricted && e.Version != version || !t.AcceptsCalls(e, now) || now.Before(e.closedUntil) || now.Before(t.domainFailures[e.Domain].avoidUntil)
}

// AddCopy counts a copy at an endpoint until RemoveCopy.
func (t *Table) AddCopy(e *Endpoint, n Requirements) {
	e.HeldTokens += n.MemoryTokens
}

// RemoveCopy counts the end of a copy.
func (t *Table) RemoveCopy(e *Endpoint, n Requirements) {
	e.HeldTokens -= n.MemoryTokens
}

// RecordAbsence records a sign that an endpoint has stopped although the registry still lists it.
func (t *Table) RecordAbsence(e *Endpoint, now time.Time) {
	t.RecordFailure(e, now)
	e.closedUntil = now.Add(absentPause)
}

// RecordFailure records a failure of an endpoint, which takes no new work for a while. Its failure
// domain is avoided if another of its endpoints failed shortly before.
func (t *Table) RecordFailure(e *Endpoint, now time.Time) {
	e.closedUntil = now.Add(min(maxFailurePause, initialFailurePause<<min(e.failures, 10)))
	e.failures++
	s := t.domainFailures[e.Domain]
	if s.endpoint != e.ID && now.Sub(s.at) < domainFailureWindow {
		s.avoidUntil = now.Add(domainPause)
	}
	s.endpoint, s.at = e.ID, now
	t.domainFailures[e.Domain] = s
}

// RecordSuccess records a sign that an endpoint works, and lets it take new work.
func (t *Table) RecordSuccess(e *Endpoint) {
	e.failures = 0
	e.closedUntil = time.Time{}
	e.returning = false
}

// AcceptsCalls reports whether an endpoint is neither leaving nor paused.
func (t *Table) AcceptsCalls(e *Endpoint, now time.Time) bool {
	return !e.Leaving && !e.IsPaused(now)
}

// AcceptsWork reports whether new work may go to an endpoint.
func (t *Table) AcceptsWork(e *Endpoint, now time.Time) bool {
	return t.AcceptsCalls(e, now) && !now.Before(e.closedUntil)
}

// AcceptingWork returns the endpoints of a service to which new work may go.
func (t *Table) AcceptingWork(s *route.Service, now time.Time) []Entry {
	var all []Entry
	for _, e := range t.services[s.Name] {
		if t.AcceptsWork(e, now) {
			all = append(all, e.Entry)
		}
	}
	return all
}
