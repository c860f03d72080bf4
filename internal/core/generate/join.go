package generate

import (
	"time"

	"jaywind"
	"jaywind/internal/core/table"
)

const reconnected = "the caller reconnected"

// handleArrived handles a caller's connection: it starts a request, reattaches to a running one, or
// resumes one from the caller's tokens or from the records of peers.
func handleArrived(s *table.State, a table.GenerationRequest) {
	old := s.Requests[a.ID]
	if old != nil && !awaitsReadTokens(old) {
		reattach(s, old, a)
		return
	}
	r := newRequest(s, a)
	if old != nil {
		r.Attempt = old.Attempt
		finish(s, old, table.FinishRequest{Listener: old.Listener, Outcome: table.OutcomeCallerGone, Reason: reconnected})
	}
	s.Requests[r.ID] = r
	s.Emit(table.AttachListener{Request: r.ID, Listener: a.Listener})
	switch {
	case a.Bookmark == nil && !a.Retry:
		s.Queued = append(s.Queued, r.ID)
	case a.Bookmark != nil && len(a.Prefix) >= int(a.Bookmark.Position):
		resumeFromPrefix(s, r, a)
	default:
		recallRecord(s, r, a)
	}
}

func newRequest(s *table.State, a table.GenerationRequest) *table.Request {
	return &table.Request{
		ID:           a.ID,
		Organisation: a.Organisation,
		Model:        a.Model,
		Route:        a.Route,
		Prompt:       a.Prompt,
		MaxTokens:    a.MaxTokens,
		Seed:         a.Seed,
		Priority:     a.Priority,
		Deadline:     a.Deadline,
		Arrived:      s.Now,
		Listener:     a.Listener,
		KeepsTokens:  a.KeepsTokens,
	}
}

// awaitsReadTokens reports whether this router still lacks tokens that the caller has read.
func awaitsReadTokens(r *table.Request) bool {
	return r.Phase == table.PhaseRecalling || r.CatchUp != nil
}

// reattach hands a running generation over to a new connection of its caller and ends the old one.
func reattach(s *table.State, r *table.Request, a table.GenerationRequest) {
	if reason := reattachMismatch(r, a); reason != "" {
		s.Emit(table.FinishRequest{Request: r.ID, Listener: a.Listener, Outcome: table.OutcomeBookmarkMismatch, Reason: reason})
		return
	}
	if r.Listener != 0 {
		s.Emit(table.FinishRequest{Request: r.ID, Listener: r.Listener, Outcome: table.OutcomeCallerGone, Reason: reconnected})
	}
	r.Listener = a.Listener
	r.GoneAt = time.Time{}
	s.Emit(table.AttachListener{Request: r.ID, Listener: a.Listener})
	var from jaywind.Position
	if a.Bookmark != nil {
		from = a.Bookmark.Position
	}
	replay(s, r, from)
}

// reattachMismatch returns why a connection may not take over a request, or "" if it may.
func reattachMismatch(r *table.Request, a table.GenerationRequest) string {
	if a.Organisation != r.Organisation || a.Model != r.Model || a.Prompt != r.Prompt || a.MaxTokens != r.MaxTokens {
		return "the id is that of another request that is running"
	}
	if a.Bookmark == nil {
		return ""
	}
	if a.Bookmark.Position > r.Position() {
		return "the bookmark is ahead of what is known here; come back with the tokens before it"
	}
	if jaywind.DigestOf(r.Tokens[:a.Bookmark.Position]) != a.Bookmark.Digest {
		return "the tokens before the bookmark do not match its digest"
	}
	return ""
}

// replay delivers the tokens from a position on that were accepted before the listener joined.
func replay(s *table.State, r *table.Request, from jaywind.Position) {
	mark := r.Bookmark()
	mark.Digest = jaywind.DigestOf(r.Tokens[:from])
	tail := jaywind.PartialRune(r.Tokens[:from])
	for i, t := range r.Tokens[from:] {
		mark.Position = from + jaywind.Position(i) + 1
		mark.Digest = mark.Digest.Add(t)
		deliver(s, r, table.DeliverToken{Token: t, Bookmark: mark, PartialRune: tail, Replayed: true})
		tail = jaywind.PartialRuneAfter(tail, t)
	}
}

// resumeFromPrefix resumes a generation that another router started, from the caller's tokens,
// which reach its bookmark.
func resumeFromPrefix(s *table.State, r *table.Request, a table.GenerationRequest) {
	m := *a.Bookmark
	if jaywind.DigestOf(a.Prefix[:m.Position]) != m.Digest {
		finish(s, r, table.FinishRequest{Outcome: table.OutcomeBookmarkMismatch, Reason: "the tokens before the bookmark do not match its digest"})
		return
	}
	applyBookmark(s, r, m)
	r.AppendTokens(a.Prefix)
	replay(s, r, m.Position)
	if !r.Pinned() {
		r.BrokenAt = time.Time{}
		r.Phase = table.PhaseQueued
		s.Queued = append(s.Queued, r.ID)
		return
	}
	sendProbe(s, r)
}

// applyBookmark sets the state of a generation from a bookmark. The attempt number is raised so
// that attempts of this router supersede those of the previous one.
func applyBookmark(s *table.State, r *table.Request, m jaywind.Bookmark) {
	r.Seed = m.Seed
	r.Version = m.Version
	r.Attempt = max(r.Attempt, (m.Attempt/attemptsPerRouter+1)*attemptsPerRouter)
	r.Run = m.Run
	r.Endpoint = m.Endpoint
	r.WorkStartedAt = time.Time{}
	r.Sent = true
	r.BrokenAt = s.Now
	r.LastFrameAt = s.Now
}

// handleGone detaches a caller that disconnected. The engine's work goes on for DisconnectGrace, so
// that the caller can reconnect to it; a request that was never sent ends at once.
func handleGone(s *table.State, e table.CallerGone) {
	r := s.Requests[e.Request]
	if r == nil || e.Listener != 0 && e.Listener != r.Listener {
		return
	}
	if !r.Sent {
		finish(s, r, table.FinishRequest{Outcome: table.OutcomeCallerGone, Reason: "the caller went away"})
		return
	}
	r.Listener = 0
	r.GoneAt = s.Now
}

// finishAbandoned ends a request whose caller has not reconnected within DisconnectGrace, and
// reports whether it did.
func finishAbandoned(s *table.State, r *table.Request) bool {
	if r.Listener != 0 || r.GoneAt.IsZero() || s.Now.Sub(r.GoneAt) < DisconnectGrace {
		return false
	}
	finish(s, r, table.FinishRequest{Outcome: table.OutcomeCallerGone, Reason: "the caller went away"})
	return true
}
