package generate

import (
	"fmt"
	"time"

	"jaywind"
	"jaywind/internal/core/table"
)

// EventHandler applies the events of callers, engines and peers to the state of requests.
type Intake struct{}

// Step handles the events of the tick in their order.
func (Intake) Step(s *table.State) {
	for _, e := range s.Events {
		switch e := e.(type) {
		case table.Arrived:
			handleArrived(s, e.Ask)
		case table.Framed:
			handleFrame(s, e)
		case table.Lost:
			handleLost(s, e)
		case table.Probed:
			handleProbed(s, e)
		case table.Recalled:
			handleRecalled(s, e)
		case table.Gone:
			handleGone(s, e)
		}
	}
}

// handleFrame is the only place where a token from an engine is added to an answer: its attempt
// must be the current one and its position the next.
func handleFrame(s *table.State, e table.Framed) {
	r := s.Requests[e.Request]
	if r == nil || e.Attempt != r.Attempt || !attemptActive(r) {
		s.Counts.Stray++
		return
	}
	f := e.Frame
	if f.Request != r.ID || f.Attempt != r.Attempt || f.Position > r.Position() {
		s.Counts.Stray++
		reconnect(s, r)
		return
	}
	if f.Position < r.Position() {
		checkRepeated(s, r, f)
		return
	}
	if f.End {
		recordFrame(s, r)
		handleEnd(s, r, f)
		return
	}
	if f.Digest != 0 && f.Digest != r.Digest.Add(f.Token) {
		// The engine's stream belongs to another generation of this request.
		s.Counts.Stray++
		leaveEndpoint(s, r)
		return
	}
	if !r.Pinned() {
		moveBudget(s, r).Earn()
	}
	recordFrame(s, r)
	appendToken(s, r, f.Token)
}

// checkRepeated compares a frame of an earlier position with the token accepted there.
func checkRepeated(s *table.State, r *table.Request, f jaywind.Frame) {
	if f.End || f.Position < 0 || !f.Token.Same(r.Tokens[f.Position]) {
		// The engine's stream belongs to another generation of this request.
		s.Counts.Stray++
		leaveEndpoint(s, r)
		return
	}
	if !r.LastFrame.Before(r.Opened) {
		s.Counts.Stray++ // not part of the overlap at the start of a resumed stream
	}
}

// attemptActive reports whether the request has a current attempt whose frames are accepted.
func attemptActive(r *table.Request) bool {
	return r.Phase == table.PhaseOpening || r.Phase == table.PhaseStreaming || r.Phase == table.PhaseProbing
}

// recordFrame records that the stream is alive and has made progress, and resets its recovery.
func recordFrame(s *table.State, r *table.Request) {
	observeDelay(s, r)
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

func appendToken(s *table.State, r *table.Request, t jaywind.Token) {
	tail := r.Tail
	r.Take(t)
	s.Counts.Taken++
	if r.CatchUp != nil {
		checkCatchUp(s, r)
		return
	}
	deliver(s, r, table.Deliver{Token: t, Mark: r.Bookmark(), Tail: tail})
}

// checkCatchUp checks the regenerated tokens once they reach the caller's bookmark.
func checkCatchUp(s *table.State, r *table.Request) {
	if r.Position() < r.CatchUp.Position {
		return
	}
	if r.Digest != r.CatchUp.Digest {
		finish(s, r, table.Finish{Outcome: table.OutcomeMismatch, Reason: "the tokens made again do not match the bookmark"})
		return
	}
	r.CatchUp = nil
}

func deliver(s *table.State, r *table.Request, d table.Deliver) {
	if r.Listener != 0 {
		s.Emit(d)
	}
}

func handleEnd(s *table.State, r *table.Request, f jaywind.Frame) {
	if f.Digest != r.Digest {
		reason := fmt.Sprintf("the engine's digest %x is not that of the answer, %x", f.Digest, r.Digest)
		finish(s, r, table.Finish{Outcome: table.OutcomeFailed, Reason: reason, RetryAfter: retryAfter})
		return
	}
	if r.CatchUp != nil {
		finish(s, r, table.Finish{Outcome: table.OutcomeMismatch, Reason: "the answer ends before the bookmark"})
		return
	}
	finish(s, r, table.Finish{Outcome: table.OutcomeWhole})
}

func handleLost(s *table.State, e table.Lost) {
	r := s.Requests[e.Request]
	if r == nil || e.Attempt != r.Attempt || !attemptActive(r) {
		return
	}
	recoverStream(s, r, e.Err)
}

// finish ends a request with its outcome, and cancels the engine's work unless the answer is whole.
func finish(s *table.State, r *table.Request, f table.Finish) {
	if attemptActive(r) {
		releaseAttempt(s, r, f.Outcome == table.OutcomeWhole)
	}
	r.Phase = table.PhaseEnded
	f.Request = r.ID
	f.Mark = r.Bookmark()
	delete(s.Requests, r.ID)
	s.Emit(f)
}
