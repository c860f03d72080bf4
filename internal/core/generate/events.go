package generate

import (
	"fmt"
	"time"

	"jaywind"
	"jaywind/internal/core/table"
)

// EventHandler applies the events of callers, engines and peers to the state of requests.
type EventHandler struct{}

// Step handles the events of the tick in their order.
func (EventHandler) Step(s *table.State) {
	for _, e := range s.Events {
		switch e := e.(type) {
		case table.RequestArrived:
			handleArrived(s, e.Request)
		case table.FrameReceived:
			handleFrame(s, e)
		case table.StreamLost:
			handleLost(s, e)
		case table.ProbeAnswered:
			handleProbed(s, e)
		case table.RecordRecalled:
			handleRecalled(s, e)
		case table.CallerGone:
			handleGone(s, e)
		}
	}
}

// handleFrame is the only place where a token from an engine is added to an answer: its attempt
// must be the current one and its position the next.
func handleFrame(s *table.State, e table.FrameReceived) {
	r := s.Requests[e.Request]
	if r == nil || e.Attempt != r.Attempt || !attemptActive(r) {
		s.Counts.StrayFrames++
		return
	}
	f := e.Frame
	if f.Request != r.ID || f.Attempt != r.Attempt || f.Position > r.Position() {
		s.Counts.StrayFrames++
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
		s.Counts.StrayFrames++
		leaveEndpoint(s, r)
		return
	}
	if !r.Pinned() {
		moveBudget(s, r).RecordRequest()
	}
	recordFrame(s, r)
	appendToken(s, r, f.Token)
}

// checkRepeated compares a frame of an earlier position with the token accepted there.
func checkRepeated(s *table.State, r *table.Request, f jaywind.Frame) {
	if f.End || f.Position < 0 || !f.Token.Same(r.Tokens[f.Position]) {
		// The engine's stream belongs to another generation of this request.
		s.Counts.StrayFrames++
		leaveEndpoint(s, r)
		return
	}
	if !r.LastFrameAt.Before(r.OpenedAt) {
		s.Counts.StrayFrames++ // not part of the overlap at the start of a resumed stream
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
			e.FrameGaps.Observe(s.Now.Sub(r.LastFrameAt))
		}
		e.RecordSuccess(r.Version)
		e.LastFrameAt = s.Now
	}
	r.Phase = table.PhaseStreaming
	r.LastFrameAt = s.Now
	r.BrokenAt = time.Time{}
	r.ProbeSentAt = time.Time{}
	r.NextProbe = time.Time{}
	r.NoProgressAt = time.Time{}
	r.Probes = 0
	r.Reopens = 0
	r.Moves = 0
	r.Avoid = nil
	r.Tries = 0
	r.Waits = 0
}

func appendToken(s *table.State, r *table.Request, t jaywind.Token) {
	tail := r.PartialRune
	r.AppendToken(t)
	s.Counts.Tokens++
	if r.CatchUp != nil {
		checkCatchUp(s, r)
		return
	}
	deliver(s, r, table.DeliverToken{Token: t, Bookmark: r.Bookmark(), PartialRune: tail})
}

// checkCatchUp checks the regenerated tokens once they reach the caller's bookmark.
func checkCatchUp(s *table.State, r *table.Request) {
	if r.Position() < r.CatchUp.Position {
		return
	}
	if r.Digest != r.CatchUp.Digest {
		finish(s, r, table.FinishRequest{Outcome: table.OutcomeBookmarkMismatch, Reason: "the tokens made again do not match the bookmark"})
		return
	}
	r.CatchUp = nil
}

func deliver(s *table.State, r *table.Request, d table.DeliverToken) {
	if r.Listener != 0 {
		s.Emit(d)
	}
}

func handleEnd(s *table.State, r *table.Request, f jaywind.Frame) {
	if f.Digest != r.Digest {
		reason := fmt.Sprintf("the engine's digest %x is not that of the answer, %x", f.Digest, r.Digest)
		finish(s, r, table.FinishRequest{Outcome: table.OutcomeFailed, Reason: reason, RetryAfter: retryAfter})
		return
	}
	if r.CatchUp != nil {
		finish(s, r, table.FinishRequest{Outcome: table.OutcomeBookmarkMismatch, Reason: "the answer ends before the bookmark"})
		return
	}
	finish(s, r, table.FinishRequest{Outcome: table.OutcomeCompleted})
}

func handleLost(s *table.State, e table.StreamLost) {
	r := s.Requests[e.Request]
	if r == nil || e.Attempt != r.Attempt || !attemptActive(r) {
		return
	}
	recoverStream(s, r, e.Err)
}

// finish ends a request with its outcome, and cancels the engine's work unless the answer is whole.
func finish(s *table.State, r *table.Request, f table.FinishRequest) {
	if attemptActive(r) {
		releaseAttempt(s, r, f.Outcome == table.OutcomeCompleted)
	}
	r.Phase = table.PhaseEnded
	f.Request = r.ID
	f.Bookmark = r.Bookmark()
	delete(s.Requests, r.ID)
	s.Emit(f)
}
