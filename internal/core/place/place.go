package place

import (
	"cmp"
	"slices"
	"time"

	"jaywind"
	"jaywind/internal/core/table"
)

const (
	maxPrefillDelay  = 500 * time.Millisecond // longest that prefills may keep an endpoint busy, a resume's own included
	waitingTokenRate = 500                    // generated tokens that a second of waiting counts as in the order of resumes
)

// result is the outcome of choosing an endpoint.
type result int

const (
	resultPlaced     result = iota
	resultNoEndpoint        // no endpoint accepts the request
	resultThrottled         // the endpoints have enough resumes to prefill
)

// Placement opens an attempt for each ready request.
type Placement struct{}

// Step tries each newly ready request once and, on a full tick, the waiting ones too.
func (Placement) Step(s *table.State) {
	ready := s.Ready
	s.Ready = nil
	if s.Full {
		ready = removeDuplicates(append(s.Waiting, ready...))
		s.Waiting = nil
	}
	if len(ready) == 0 {
		return
	}
	sortByUrgency(s, ready)
	p := placer{state: s}
	for _, id := range ready {
		if r := s.Requests[id]; r != nil && r.Phase == table.PhaseReady {
			p.place(r)
		}
	}
	countBacklog(s)
}

// removeDuplicates drops repeated ids, such as that of a waiting request whose caller has reconnected.
func removeDuplicates(ids []jaywind.RequestID) []jaywind.RequestID {
	seen := make(map[jaywind.RequestID]bool, len(ids))
	return slices.DeleteFunc(ids, func(id jaywind.RequestID) bool {
		repeated := seen[id]
		seen[id] = true
		return repeated
	})
}

// sortByUrgency puts resumes first, ordered by the tokens they have generated and by how long their output has stopped.
func sortByUrgency(s *table.State, ids []jaywind.RequestID) {
	slices.SortStableFunc(ids, func(a, b jaywind.RequestID) int {
		return cmp.Compare(urgency(s, b), urgency(s, a))
	})
}

func urgency(s *table.State, id jaywind.RequestID) float64 {
	r := s.Requests[id]
	if r == nil || !r.Pinned() {
		return 0
	}
	return float64(len(r.Tokens)) + s.Now.Sub(r.BrokenAt).Seconds()*waitingTokenRate
}

// countBacklog counts the waiting resumes of each pool.
func countBacklog(s *table.State) {
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

// openAttempt chooses an endpoint and starts an attempt there.
func openAttempt(s *table.State, r *table.Request) result {
	e, res := chooseEndpoint(s, r)
	if res != resultPlaced {
		return res
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
	c := newCall(s, r)
	s.Endpoints[e.ID].RecordAttempt(e.Version, s.Now, r.PrefillTokens())
	s.Emit(table.OpenStream{Endpoint: e.ID, Address: e.URL, Call: c})
	return resultPlaced
}

const resumePriority = 100 // added to the priority of resumed requests, which engines honour

const resumeOverlap = 16 // tokens that a resumed stream repeats before the next one, to show that it is the same stream

func newCall(s *table.State, r *table.Request) jaywind.Call {
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
		c.Position = max(0, c.Position-resumeOverlap)
		return c
	}
	c.Prefix = slices.Clone(r.Tokens)
	s.Counts.RecomputedTokens += len(c.Prefix)
	return c
}
