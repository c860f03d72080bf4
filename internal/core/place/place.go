package place

import (
	"cmp"
	"slices"
	"time"

	"jaywind"
	"jaywind/internal/core/table"
)

const (
	paceLimit = 500 * time.Millisecond // wait at an endpoint for the prefills before a resume
	agingRate = 500                    // tokens of sunk work that a second of waiting is worth
)

// verdict says what came of the choice of an endpoint.
type verdict int

const (
	verdictFound verdict = iota
	verdictNone          // no endpoint accepts the request
	verdictPaced         // the endpoints have enough resumes to start with
)

// Placement opens an attempt for each ready request.
type Placement struct{}

// Step tries each newly ready request once and, on a full tick, those that wait.
func (Placement) Step(s *table.State) {
	ready := s.Ready
	s.Ready = nil
	if s.Full {
		ready = unique(append(s.Waiting, ready...))
		s.Waiting = nil
	}
	if len(ready) == 0 {
		return
	}
	order(s, ready)
	q := queue{state: s}
	for _, id := range ready {
		if r := s.Requests[id]; r != nil && r.Phase == table.PhaseReady {
			q.try(r)
		}
	}
	noteBacklog(s)
}

// unique drops repeated ids, such as of a request whose caller has come back while it waited.
func unique(ids []jaywind.RequestID) []jaywind.RequestID {
	seen := make(map[jaywind.RequestID]bool, len(ids))
	return slices.DeleteFunc(ids, func(id jaywind.RequestID) bool {
		repeated := seen[id]
		seen[id] = true
		return repeated
	})
}

// order puts resumes first, by sunk work and by how long output has stopped.
func order(s *table.State, ids []jaywind.RequestID) {
	slices.SortStableFunc(ids, func(a, b jaywind.RequestID) int {
		return cmp.Compare(urgency(s, b), urgency(s, a))
	})
}

func urgency(s *table.State, id jaywind.RequestID) float64 {
	r := s.Requests[id]
	if r == nil || !r.Pinned() {
		return 0
	}
	return float64(len(r.Tokens)) + s.Now.Sub(r.BrokenAt).Seconds()*agingRate
}

// noteBacklog counts the resumes that wait in each pool.
func noteBacklog(s *table.State) {
	for _, p := range s.Pools {
		p.Backlog = 0
	}
	for _, id := range s.Waiting {
		r := s.Requests[id]
		if r == nil || !r.Pinned() {
			continue
		}
		if p := s.Pools[r.Model]; p != nil {
			p.Backlog++
		}
	}
}

// open starts an attempt at an endpoint.
func open(s *table.State, r *table.Request) verdict {
	e, v := choose(s, r)
	if v != verdictFound {
		return v
	}
	r.Version = e.Version
	r.Endpoint = e.ID
	r.Attempt++
	r.Tries++
	if !r.ReuseStream {
		r.Run = r.Attempt
		r.WorkStartedAt = s.Now
	}
	r.Phase = table.PhaseOpening
	r.OpenedAt = s.Now
	r.Sent = true
	r.CountsInflight = true
	c := callOf(s, r)
	s.Endpoints[e.ID].RecordAttempt(e.Version, s.Now, r.PrefillTokens())
	s.Emit(table.OpenStream{Endpoint: e.ID, Address: e.URL, Call: c})
	return verdictFound
}

const resumePriority = 100 // added to that of resumed work, which engines honour

const overlap = 16 // tokens before the next that a resumed stream gives again, to show that it is the same

func callOf(s *table.State, r *table.Request) jaywind.Call {
	c := jaywind.Call{
		Request:   r.ID,
		Attempt:   r.Attempt,
		Run:       r.Run,
		Model:     r.Model,
		Version:   r.Version,
		Prompt:    r.Prompt,
		Seed:      r.Seed,
		MaxTokens: r.MaxTokens,
		Priority:  r.Priority,
		Resume:    r.ReuseStream,
		Position:  r.Position(),
	}
	if r.Pinned() {
		c.Priority += resumePriority
	}
	if r.ReuseStream {
		s.Counts.ReusedStreams++
		c.Position = max(0, c.Position-overlap)
		return c
	}
	c.Prefix = slices.Clone(r.Tokens)
	s.Counts.RecomputedTokens += len(c.Prefix)
	return c
}
