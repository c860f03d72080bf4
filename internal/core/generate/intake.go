package generate

import (
	"fmt"
	"time"

	"jaywind"
	"jaywind/internal/core/table"
)

// Intake turns events of callers and engines into the state of requests.
type Intake struct{}

// Step handles the events of the tick in their order.
func (Intake) Step(s *table.State) {
	for _, e := range s.Events {
		switch e := e.(type) {
		case table.Arrived:
			arrive(s, e.Ask)
		case table.Framed:
			takeFrame(s, e)
		case table.Lost:
			loseStream(s, e)
		case table.Probed:
			takeProbe(s, e)
		case table.Gone:
			dropCaller(s, e.Request)
		}
	}
}

func arrive(s *table.State, a table.Ask) {
	if old := s.Requests[a.ID]; old != nil {
		// The caller has come back on a new connection before the loss of
		// the old one was seen; the new connection gets its own answer.
		end(s, old, table.Finish{Outcome: table.OutcomeGone, Reason: "the caller reconnected"})
	}
	r := &table.Request{
		ID:           a.ID,
		Organisation: a.Organisation,
		Model:        a.Model,
		Route:        a.Route,
		Prompt:       a.Prompt,
		Limit:        a.Limit,
		Seed:         a.Seed,
		Priority:     a.Priority,
		Deadline:     a.Deadline,
		Arrived:      s.Now,
	}
	s.Requests[r.ID] = r
	if a.Mark == nil {
		s.Queued = append(s.Queued, r.ID)
		return
	}
	rejoin(s, r, a)
}

// rejoin takes up a generation that another router began.
func rejoin(s *table.State, r *table.Request, a table.Ask) {
	m := *a.Mark
	if len(a.Prefix) < int(m.Position) {
		end(s, r, table.Finish{Outcome: table.OutcomeMismatch, Reason: "the tokens before the bookmark are not known here"})
		return
	}
	if jaywind.DigestOf(a.Prefix[:m.Position]) != m.Digest {
		end(s, r, table.Finish{Outcome: table.OutcomeMismatch, Reason: "the tokens before the bookmark do not match its digest"})
		return
	}
	r.Seed = m.Seed
	r.Version = m.Version
	r.Attempt = m.Attempt
	r.Endpoint = m.Endpoint
	r.Sent = true
	r.BrokenAt = s.Now
	r.LastFrame = s.Now
	r.Tokens = append(r.Tokens, a.Prefix[:m.Position]...)
	r.Digest = m.Digest
	for _, t := range a.Prefix[m.Position:] {
		keepToken(s, r, t)
	}
	if m.Position == 0 {
		s.Queued = append(s.Queued, r.ID)
		return
	}
	suspect(s, r)
}

// takeFrame is the only place where a token becomes part of an answer.
func takeFrame(s *table.State, e table.Framed) {
	r := s.Requests[e.Request]
	if r == nil || e.Attempt != r.Attempt || !listening(r) {
		s.Counts.Stray++
		return
	}
	f := e.Frame
	if f.Request != r.ID || f.Attempt != r.Attempt {
		s.Counts.Stray++
		breakStream(s, r, "frame of another request")
		return
	}
	if f.Position < r.Position() {
		s.Counts.Stray++
		return
	}
	if f.Position > r.Position() {
		s.Counts.Stray++
		breakStream(s, r, "frame skips a position")
		return
	}
	noteFrame(s, r)
	if f.End {
		takeEnd(s, r, f)
		return
	}
	keepToken(s, r, f.Token)
}

func listening(r *table.Request) bool {
	return r.Phase == table.PhaseOpening || r.Phase == table.PhaseStreaming || r.Phase == table.PhaseProbing
}

// noteFrame records that the stream is alive.
func noteFrame(s *table.State, r *table.Request) {
	notePace(s, r)
	if e := s.Endpoints[r.Endpoint]; e != nil {
		if r.Phase == table.PhaseStreaming {
			e.Gaps.Observe(s.Now.Sub(r.LastFrame))
		}
		e.Succeed(r.Version)
	}
	r.Phase = table.PhaseStreaming
	r.LastFrame = s.Now
	r.BrokenAt = time.Time{}
	r.ProbeSent = time.Time{}
	r.NextProbe = time.Time{}
	r.Probes = 0
	r.Avoid = nil
	r.Tries = 0
	r.Waits = 0
}

func keepToken(s *table.State, r *table.Request, t jaywind.Token) {
	r.Tokens = append(r.Tokens, t)
	r.Digest = r.Digest.Add(t)
	s.Counts.Taken++
	s.Emit(table.Deliver{Token: t, Mark: r.Bookmark()})
}

func takeEnd(s *table.State, r *table.Request, f jaywind.Frame) {
	if f.Digest != r.Digest {
		reason := fmt.Sprintf("the engine's digest %x is not that of the answer, %x", f.Digest, r.Digest)
		end(s, r, table.Finish{Outcome: table.OutcomeFailed, Reason: reason})
		return
	}
	end(s, r, table.Finish{Outcome: table.OutcomeWhole})
}

func loseStream(s *table.State, e table.Lost) {
	r := s.Requests[e.Request]
	if r == nil || e.Attempt != r.Attempt || !listening(r) {
		return
	}
	handleLoss(s, r, e.Err)
}

func dropCaller(s *table.State, id jaywind.RequestID) {
	if r := s.Requests[id]; r != nil {
		end(s, r, table.Finish{Outcome: table.OutcomeGone, Reason: "the caller went away"})
	}
}

// end closes a request with its final answer.
func end(s *table.State, r *table.Request, f table.Finish) {
	if listening(r) {
		release(s, r, f.Outcome != table.OutcomeFailed)
	}
	r.Phase = table.PhaseEnded
	f.Request = r.ID
	f.Mark = r.Bookmark()
	delete(s.Requests, r.ID)
	s.Emit(f)
}
