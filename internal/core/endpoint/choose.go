package endpoint

import (
	"math"
	"slices"
	"time"

	"jaywind"
	"jaywind/internal/core/route"
)

const (
	failPause   = 300 * time.Millisecond // without new work after a first failure; doubles with each
	failCap     = 2400 * time.Millisecond
	absentPause = 4 * time.Second         // longer than the registry keeps a silent endpoint's entry
	shakeSpan   = time.Second             // two endpoints of a failure domain that fail within it count as its failure
	shakePause  = 1500 * time.Millisecond // in which a failed domain is avoided

	readScale = 10000 // tokens left to read that weigh as much as a full endpoint
	farWeight = 0.5   // of an endpoint that is preferred by the router farthest from this one
	fillLimit = 0.9   // of the memory that own work may take
)

// Requirements is what a call asks of an endpoint.
type Requirements struct {
	Model          jaywind.Model        // empty for a plain call
	MemoryTokens   int                  // of memory, at its end
	PromptTokens   int                  // tokens of the prompt
	Version        jaywind.Version      // the only one that may run it; empty for any
	ExcludeVersion jaywind.Version      // the one that may not; empty for none
	Avoid          []jaywind.EndpointID // that have failed the call
}

// Choose returns the endpoint of a service that suits a call best, or nil if it has none.
func (t *Table) Choose(s *route.Service, n Requirements, now time.Time) *Endpoint {
	return t.best(s, n, func(e *Endpoint, far float64) (rank int, weight float64) {
		weight = e.load(s, n) + farWeight*far
		switch {
		case now.Before(e.closed):
			return 4, e.closed.Sub(now).Seconds()
		case slices.Contains(n.Avoid, e.ID), !e.missing.IsZero(): // one that is missing may have left
			return 3, weight
		case !e.fits(s, n):
			return 2, weight
		case now.Before(t.shaken[e.Domain].till):
			return 1, weight
		}
		return 0, weight
	}, 4)
}

// ChooseStandby returns the endpoint that should hold the copy of a run at another one, or nil.
func (t *Table) ChooseStandby(s *route.Service, run *Endpoint, n Requirements, now time.Time) *Endpoint {
	if s.Engine == nil || !s.Engine.CopiesMemory {
		return nil
	}
	return t.best(s, n, func(e *Endpoint, far float64) (rank int, weight float64) {
		weight = float64(e.HeldTokens)/float64(max(1, s.Engine.MemoryTokens)) + farWeight*far
		switch {
		case e == run || slices.Contains(n.Avoid, e.ID) || !e.fits(s, n) || now.Before(e.closed) || !e.missing.IsZero():
			return 4, weight
		case e.Domain == run.Domain:
			return 2, weight
		case now.Before(t.shaken[e.Domain].till):
			return 1, weight
		}
		return 0, weight
	}, 2)
}

// best returns the endpoint with the lowest rank, which is at most worst, and among these with the lowest weight.
func (t *Table) best(s *route.Service, n Requirements, judge func(*Endpoint, float64) (int, float64), worst int) *Endpoint {
	var found *Endpoint
	rank, weight := worst, math.Inf(1)
	all := t.services[s.Name]
	for i, e := range all {
		if e.Leaving || !e.serves(n) {
			continue
		}
		if r, w := judge(e, t.distance(i, len(all))); r < rank || r == rank && w < weight {
			found, rank, weight = e, r, w
		}
	}
	return found
}

func (e *Endpoint) serves(n Requirements) bool {
	if n.Version != "" && e.Version != n.Version || n.ExcludeVersion != "" && e.Version == n.ExcludeVersion {
		return false
	}
	return n.Model == "" || slices.Contains(e.Models, n.Model)
}

// load is 1 for an endpoint that own calls fill.
func (e *Endpoint) load(s *route.Service, n Requirements) float64 {
	load := float64(e.Calls) / float64(max(1, e.Slots))
	if s.Engine == nil {
		return load
	}
	held := float64(e.HeldTokens+n.MemoryTokens) / float64(max(1, s.Engine.MemoryTokens))
	return max(load, held) + float64(e.PrefillTokens)/readScale
}

// fits tells whether own work leaves a slot and memory for a call.
func (e *Endpoint) fits(s *route.Service, n Requirements) bool {
	if s.Engine == nil {
		return true
	}
	return e.Calls < e.Slots && float64(e.HeldTokens+n.MemoryTokens) <= fillLimit*float64(s.Engine.MemoryTokens)
}

// StartCall counts a call that is sent to an endpoint.
func (t *Table) StartCall(e *Endpoint, n Requirements) {
	e.Calls++
	e.HeldTokens += n.MemoryTokens
	e.PrefillTokens += n.PromptTokens
}

// FinishPrefill counts a call's first event.
func (t *Table) FinishPrefill(e *Endpoint, n Requirements) {
	e.PrefillTokens -= n.PromptTokens
}

// FinishCall counts the end of a call.
func (t *Table) FinishCall(e *Endpoint, n Requirements) {
	e.Calls--
	e.HeldTokens -= n.MemoryTokens
}

// CopyLost tells whether an endpoint that keeps a copy is known to be gone or seems not to work.
func (t *Table) CopyLost(e *Endpoint, now time.Time) bool {
	keep, ending := t.ending[e.Service]
	return t.rows[e.ID] != e || ending && e.Version != keep || e.Leaving || now.Before(e.closed) || now.Before(t.shaken[e.Domain].till)
}

// AddCopy counts a copy at an endpoint, and Drop its end.
func (t *Table) AddCopy(e *Endpoint, n Requirements) {
	e.HeldTokens += n.MemoryTokens
}

// RemoveCopy counts the end of a copy.
func (t *Table) RemoveCopy(e *Endpoint, n Requirements) {
	e.HeldTokens -= n.MemoryTokens
}

// RecordAbsence counts a sign that an endpoint has gone, before the registry says so.
func (t *Table) RecordAbsence(e *Endpoint, now time.Time) {
	t.RecordFailure(e, now)
	e.closed = now.Add(absentPause)
}

// RecordFailure counts a sign that an endpoint does not work; its domain is avoided once several show one.
func (t *Table) RecordFailure(e *Endpoint, now time.Time) {
	e.closed = now.Add(min(failCap, failPause<<min(e.failures, 10)))
	e.failures++
	s := t.shaken[e.Domain]
	if s.first != e.ID && now.Sub(s.at) < shakeSpan {
		s.till = now.Add(shakePause)
	}
	s.first, s.at = e.ID, now
	t.shaken[e.Domain] = s
}

// RecordSuccess counts a sign that an endpoint works.
func (t *Table) RecordSuccess(e *Endpoint) {
	e.failures = 0
	e.closed = time.Time{}
}

// AcceptsWork tells whether new work may go to an endpoint.
func (t *Table) AcceptsWork(e *Endpoint, now time.Time) bool {
	return !e.Leaving && !now.Before(e.closed)
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
