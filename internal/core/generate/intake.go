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
		case table.Recalled:
			takeRecord(s, e)
		case table.Gone:
			dropCaller(s, e)
		}
	}
}

// takeFrame is the only place where a token becomes part of an answer.
func takeFrame(s *table.State, e table.Framed) {
	r := s.Requests[e.Request]
	if r == nil || e.Attempt != r.Attempt || !listening(r) {
		s.Counts.Stray++
		return
	}
	f := e.Frame
	if f.Request != r.ID || f.Attempt != r.Attempt || f.Position > r.Position() {
		s.Counts.Stray++
		resumeHere(s, r)
		return
	}
	if f.Position < r.Position() {
		takeAgain(s, r, f)
		return
	}
	if f.End {
		noteFrame(s, r)
		takeEnd(s, r, f)
		return
	}
	if f.Digest != 0 && f.Digest != r.Digest.Add(f.Token) {
		// The engine's stream is of another generation of this request.
		s.Counts.Stray++
		moveAway(s, r)
		return
	}
	if !r.Pinned() {
		leaves(s, r).Earn()
	}
	noteFrame(s, r)
	keepToken(s, r, f.Token)
}

// takeAgain compares a frame before the next position with the token taken there.
func takeAgain(s *table.State, r *table.Request, f jaywind.Frame) {
	if f.End || f.Position < 0 || !f.Token.Same(r.Tokens[f.Position]) {
		// The engine's stream is of another generation of this request.
		s.Counts.Stray++
		moveAway(s, r)
		return
	}
	if !r.LastFrame.Before(r.Opened) {
		s.Counts.Stray++ // not of the overlap at a resumed stream's start
	}
}

func listening(r *table.Request) bool {
	return r.Phase == table.PhaseOpening || r.Phase == table.PhaseStreaming || r.Phase == table.PhaseProbing
}

// noteFrame records that the stream is alive and got further.
func noteFrame(s *table.State, r *table.Request) {
	notePace(s, r)
	if e := s.Endpoints[r.Endpoint]; e != nil {
		if r.Phase == table.PhaseStreaming {
			e.Gaps.Observe(s.Now.Sub(r.LastFrame))
		}
		e.Succeed(r.Version)
		e.LastFrame = s.Now
	}
	r.Phase = table.PhaseStreaming
	r.LastFrame = s.Now
	r.BrokenAt = time.Time{}
	r.ProbeSent = time.Time{}
	r.NextProbe = time.Time{}
	r.Answered = time.Time{}
	r.Probes = 0
	r.Reopens = 0
	r.Moves = 0
	r.Avoid = nil
	r.Tries = 0
	r.Waits = 0
}

func keepToken(s *table.State, r *table.Request, t jaywind.Token) {
	tail := r.Tail
	r.Take(t)
	s.Counts.Taken++
	if r.CatchUp != nil {
		catchUp(s, r)
		return
	}
	deliver(s, r, table.Deliver{Token: t, Mark: r.Bookmark(), Tail: tail})
}

// catchUp checks the tokens taken again once they reach the caller's bookmark.
func catchUp(s *table.State, r *table.Request) {
	if r.Position() < r.CatchUp.Position {
		return
	}
	if r.Digest != r.CatchUp.Digest {
		end(s, r, table.Finish{Outcome: table.OutcomeMismatch, Reason: "the tokens made again do not match the bookmark"})
		return
	}
	r.CatchUp = nil
}

func deliver(s *table.State, r *table.Request, d table.Deliver) {
	if r.Listener != 0 {
		s.Emit(d)
	}
}

func takeEnd(s *table.State, r *table.Request, f jaywind.Frame) {
	if f.Digest != r.Digest {
		reason := fmt.Sprintf("the engine's digest %x is not that of the answer, %x", f.Digest, r.Digest)
		end(s, r, table.Finish{Outcome: table.OutcomeFailed, Reason: reason, RetryAfter: returnAfter})
		return
	}
	if r.CatchUp != nil {
		end(s, r, table.Finish{Outcome: table.OutcomeMismatch, Reason: "the answer ends before the bookmark"})
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

// end closes a request with its final answer; the engine's work goes on only for a whole answer.
func end(s *table.State, r *table.Request, f table.Finish) {
	if listening(r) {
		release(s, r, f.Outcome == table.OutcomeWhole)
	}
	r.Phase = table.PhaseEnded
	f.Request = r.ID
	f.Mark = r.Bookmark()
	delete(s.Requests, r.ID)
	s.Emit(f)
}
