package place

import (
	"slices"
	"time"

	"jaywind"
	"jaywind/internal/core/move"
	"jaywind/internal/core/rule"
	"jaywind/internal/core/table"
)

const (
	giveUpAfter = 10 * time.Second // without any endpoint, after the loss or the arrival
	returnAfter = 2 * time.Second  // what a caller is told then
)

// Place opens an attempt for each ready request.
type Place struct{}

// Step tries each request in the ready queue once.
func (Place) Step(s *table.State) {
	waiting := s.Ready
	s.Ready = nil
	for _, id := range waiting {
		r := s.Requests[id]
		if r == nil || r.Phase != table.PhaseReady {
			continue
		}
		if !open(s, r) {
			keepOrGiveUp(s, r)
		}
	}
}

func open(s *table.State, r *table.Request) bool {
	e, found := choose(s, r)
	if !found {
		return false
	}
	r.Version = e.Version
	r.Endpoint = e.ID
	r.Attempt++
	r.Phase = table.PhaseOpening
	r.Opened = s.Now
	r.Sent = true
	r.Held = true
	s.Endpoints[e.ID].Inflight++
	s.Emit(table.Open{Endpoint: e.ID, At: e.URL, Call: callOf(s, r)})
	return true
}

func callOf(s *table.State, r *table.Request) jaywind.Call {
	c := jaywind.Call{
		Request:  r.ID,
		Attempt:  r.Attempt,
		Model:    r.Model,
		Version:  r.Version,
		Prompt:   r.Prompt,
		Seed:     r.Seed,
		Limit:    r.Limit,
		Priority: r.Priority,
		Resume:   r.Reuse,
		From:     r.Position(),
	}
	if r.Reuse {
		s.Counts.Reused++
		return c
	}
	c.Prefix = slices.Clone(r.Tokens)
	s.Counts.Recounted += len(c.Prefix)
	return c
}

func choose(s *table.State, r *table.Request) (rule.Endpoint, bool) {
	if s.Rules == nil {
		return rule.Endpoint{}, false
	}
	if r.Reuse {
		e, known := s.Rules.Endpoints[r.Endpoint]
		return e, known
	}
	usable := candidates(s, r)
	if len(usable) == 0 {
		return rule.Endpoint{}, false
	}
	a := usable[s.Random.IntN(len(usable))]
	b := usable[s.Random.IntN(len(usable))]
	if s.Endpoints[b.ID].Inflight < s.Endpoints[a.ID].Inflight {
		a = b
	}
	return a, true
}

// candidates returns the endpoints that may serve r, in the order of their ids.
func candidates(s *table.State, r *table.Request) []rule.Endpoint {
	version := r.Version
	if !r.Pinned() {
		version = move.VersionFor(s, r)
	}
	var usable []rule.Endpoint
	for id, e := range s.Rules.Endpoints {
		if e.Kind != rule.KindEngine || e.Model != r.Model || e.Version != version {
			continue
		}
		if r.Avoid[id] || !acceptsWork(s, id) {
			continue
		}
		usable = append(usable, e)
	}
	slices.SortFunc(usable, func(a, b rule.Endpoint) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return move.Narrow(s, r, usable)
}

// acceptsWork tells whether an endpoint may receive new work.
func acceptsWork(s *table.State, id jaywind.EndpointID) bool {
	if _, drained := s.Rules.Drains[id]; drained {
		return false
	}
	e := s.Endpoints[id]
	return e != nil && !e.Leaving && !s.Now.Before(e.ClosedTill)
}

// keepOrGiveUp leaves a request in the queue, or ends it with when to come back.
func keepOrGiveUp(s *table.State, r *table.Request) {
	since := r.Arrived
	if r.Pinned() {
		since = r.BrokenAt
	}
	if s.Now.Sub(since) < giveUpAfter {
		r.Avoid = nil
		s.Ready = append(s.Ready, r.ID)
		return
	}
	outcome := table.OutcomeRefused
	if r.Sent {
		outcome = table.OutcomeFailed
	}
	delete(s.Requests, r.ID)
	s.Emit(table.Finish{
		Request:    r.ID,
		Outcome:    outcome,
		Reason:     "no endpoint can serve the request",
		RetryAfter: returnAfter,
		Mark:       r.Bookmark(),
	})
}
