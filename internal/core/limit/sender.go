package limit

import (
	"math"
	"time"

	"jaywind"
)

const (
	grantTime   = 250 * time.Millisecond // for which a grant may be used
	prefetch    = 100 * time.Millisecond // for whose requests a busy router asks at once
	rateMemory  = 500 * time.Millisecond // over which the rate of this router's own requests is averaged
	unreachable = time.Second            // for which an owner is not asked after it did not answer
	maxOwners   = 8                      // of an endpoint that are remembered while the members of the fleet change
)

// Decision says how a request to an endpoint goes on.
type Decision int

// The decisions.
const (
	Send   Decision = iota // it may be sent
	Ask                    // an owner has to be asked
	Refuse                 // it may not be sent now
)

// Sender decides whether this router may send a request to an endpoint. The zero value knows no limits.
type Sender struct {
	states map[jaywind.EndpointRef]*state
}

// state is what a router knows of one endpoint.
type state struct {
	reading   Reading
	granted   int       // requests that may be sent
	grantEnds time.Time // of granted
	sent      float64   // average number of requests in rateMemory
	sentAt    time.Time // of sent
	owners    map[string]ownerState

	alone   float64   // requests that may be sent without an owner
	aloneAt time.Time // of alone; zero while an owner answers
}

// ownerState is what a router knows of an owner.
type ownerState struct {
	closed [jaywind.PriorityUrgent + 1]time.Time // until when it is not asked for requests of each priority
	silent time.Time                             // until when it counts as unreachable
}

// Observe applies a reading of this router or of another one, and reports whether it says something new.
func (s *Sender) Observe(e jaywind.EndpointRef, r Reading) bool {
	t := s.states[e]
	switch {
	case t == nil && !r.Limited:
		return false
	case t == nil:
		if s.states == nil || len(s.states) >= maxEndpoints {
			s.states = map[jaywind.EndpointRef]*state{}
		}
		s.states[e] = &state{reading: r, owners: map[string]ownerState{}}
		return true
	case r.supersedes(t.reading):
		if !r.Limited {
			r.Rate = t.reading.Rate // an owner releases it gradually
		}
		t.setReading(r)
		return true
	case !r.differs(t.reading) && r.At.After(t.reading.At):
		t.reading.At = r.At
	}
	return false
}

// IsLimited reports whether requests to an endpoint are counted.
func (s *Sender) IsLimited(e jaywind.EndpointRef) bool { return s.states[e] != nil }

// Count returns the number of endpoints whose requests are counted.
func (s *Sender) Count() int { return len(s.states) }

// Begin decides on a request to an endpoint with the given owners, of which the first ones are preferred. If an owner has to be
// asked, it returns which one, and the question.
func (s *Sender) Begin(e jaywind.EndpointRef, p jaywind.Priority, owners []string, now time.Time) (d Decision, owner string, q Question) {
	t := s.states[e]
	if t == nil {
		return Send, "", Question{}
	}
	if t.granted > 0 && now.Before(t.grantEnds) {
		t.granted--
		t.count(now)
		return Send, "", Question{}
	}
	t.granted = 0
	for _, o := range owners {
		if !now.Before(t.owners[o].closed[p]) {
			return Ask, o, Question{Reading: t.reading, Count: 1 + t.expected(now), Priority: p}
		}
	}
	return Refuse, "", Question{}
}

// Apply applies the answer of an owner to a question, and reports whether the request may be sent.
func (s *Sender) Apply(e jaywind.EndpointRef, owner string, q Question, g Grant, now time.Time) bool {
	t := s.states[e]
	if t == nil {
		return true
	}
	t.aloneAt = time.Time{}
	if g.Released && !t.reading.At.After(q.Reading.At) {
		delete(s.states, e)
		return true
	}
	if g.Reading.supersedes(t.reading) {
		t.setReading(g.Reading)
	}
	if g.Count == 0 && !g.Released {
		t.close(owner, q.Priority, now.Add(g.Wait))
		return false
	}
	t.count(now)
	t.granted, t.grantEnds = t.granted+max(0, g.Count-1), now.Add(grantTime)
	return true
}

// RecordSilence records that an owner did not answer, or does not consider itself an owner.
func (s *Sender) RecordSilence(e jaywind.EndpointRef, owner string, now time.Time) {
	if t := s.states[e]; t != nil {
		until := now.Add(unreachable)
		t.close(owner, jaywind.PriorityUrgent, until)
		o := t.owners[owner]
		o.silent = until
		t.owners[owner] = o
	}
}

// TakeAlone reports whether a request that no owner was asked for may be sent as part of this router's equal part of the limit. It
// may not while any owner answers.
func (s *Sender) TakeAlone(e jaywind.EndpointRef, owners []string, routers int, now time.Time) bool {
	t := s.states[e]
	if t == nil {
		return true
	}
	for _, o := range owners {
		if !now.Before(t.owners[o].silent) {
			return false
		}
	}
	if t.aloneAt.IsZero() {
		t.alone, t.aloneAt = 0, now
	}
	rate := float64(t.reading.Rate) / float64(max(1, routers))
	t.alone = min(1, t.alone+rate*now.Sub(t.aloneAt).Seconds())
	t.aloneAt = now
	if t.alone < 1 {
		return false
	}
	t.alone--
	return true
}

// Return returns when a refused request to an endpoint may be sent.
func (s *Sender) Return(e jaywind.EndpointRef, p jaywind.Priority, owners []string, now time.Time) time.Time {
	t := s.states[e]
	if t == nil || len(owners) == 0 {
		return now
	}
	first := t.owners[owners[0]].closed[p]
	for _, o := range owners[1:] {
		if at := t.owners[o].closed[p]; at.Before(first) {
			first = at
		}
	}
	return first
}

// setReading applies a reading that says something new. The end of a limit also ends the waits that owners have given while it lasted, as they
// were computed for a rate that has begun to grow; waits for silent owners remain.
func (t *state) setReading(r Reading) {
	if t.reading.Limited && !r.Limited {
		for name, o := range t.owners {
			for i := range o.closed {
				if o.closed[i].After(o.silent) {
					o.closed[i] = o.silent
				}
			}
			t.owners[name] = o
		}
	}
	t.reading = r
}

// close keeps requests up to a priority from an owner until a time.
func (t *state) close(owner string, p jaywind.Priority, until time.Time) {
	if len(t.owners) >= maxOwners {
		t.owners = map[string]ownerState{}
	}
	o := t.owners[owner]
	for i := range p + 1 {
		if until.After(o.closed[i]) {
			o.closed[i] = until
		}
	}
	t.owners[owner] = o
}

// count counts a request that is sent.
func (t *state) count(now time.Time) {
	t.sent = t.sent*math.Exp(-now.Sub(t.sentAt).Seconds()/rateMemory.Seconds()) + 1
	t.sentAt = now
}

// expected returns the number of further requests that are likely while the next grant is valid.
func (t *state) expected(now time.Time) int {
	recent := t.sent * math.Exp(-now.Sub(t.sentAt).Seconds()/rateMemory.Seconds())
	return int(recent * float64(prefetch) / float64(rateMemory))
}
