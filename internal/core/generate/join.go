package generate

import (
	"time"

	"jaywind"
	"jaywind/internal/core/table"
)

const reconnected = "the caller reconnected"

// arrive takes up a caller's connection: a new request, or one that goes on.
func arrive(s *table.State, a table.Ask) {
	old := s.Requests[a.ID]
	if old != nil && !behind(old) {
		rejoinHere(s, old, a)
		return
	}
	r := newRequest(s, a)
	if old != nil {
		r.Attempt = old.Attempt
		end(s, old, table.Finish{Listener: old.Listener, Outcome: table.OutcomeGone, Reason: reconnected})
	}
	s.Requests[r.ID] = r
	s.Emit(table.Join{Request: r.ID, Listener: a.Listener})
	switch {
	case a.Mark == nil && !a.Retry:
		s.Queued = append(s.Queued, r.ID)
	case a.Mark != nil && len(a.Prefix) >= int(a.Mark.Position):
		rejoin(s, r, a)
	default:
		recall(s, r, a)
	}
}

func newRequest(s *table.State, a table.Ask) *table.Request {
	return &table.Request{
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
		Listener:     a.Listener,
		Keeps:        a.Keeps,
	}
}

// behind tells whether the tokens that the caller has read are not known here yet.
func behind(r *table.Request) bool {
	return r.Phase == table.PhaseRecalling || r.CatchUp != nil
}

// rejoinHere hands a running generation on to a new connection of its caller.
func rejoinHere(s *table.State, r *table.Request, a table.Ask) {
	if reason := stranger(r, a); reason != "" {
		s.Emit(table.Finish{Request: r.ID, Listener: a.Listener, Outcome: table.OutcomeMismatch, Reason: reason})
		return
	}
	if r.Listener != 0 {
		s.Emit(table.Finish{Request: r.ID, Listener: r.Listener, Outcome: table.OutcomeGone, Reason: reconnected})
	}
	r.Listener = a.Listener
	r.GoneAt = time.Time{}
	s.Emit(table.Join{Request: r.ID, Listener: a.Listener})
	var from jaywind.Position
	if a.Mark != nil {
		from = a.Mark.Position
	}
	repeat(s, r, from)
}

// stranger returns why a connection may not take over a request, or nothing.
func stranger(r *table.Request, a table.Ask) string {
	if a.Organisation != r.Organisation || a.Model != r.Model || a.Prompt != r.Prompt || a.Limit != r.Limit {
		return "the id is that of another request that is running"
	}
	if a.Mark == nil {
		return ""
	}
	if a.Mark.Position > r.Position() {
		return "the bookmark is ahead of what is known here; come back with the tokens before it"
	}
	if jaywind.DigestOf(r.Tokens[:a.Mark.Position]) != a.Mark.Digest {
		return "the tokens before the bookmark do not match its digest"
	}
	return ""
}

// repeat delivers the tokens that were taken before the listener joined.
func repeat(s *table.State, r *table.Request, from jaywind.Position) {
	mark := r.Bookmark()
	mark.Digest = jaywind.DigestOf(r.Tokens[:from])
	tail := jaywind.Tail(r.Tokens[:from])
	for i, t := range r.Tokens[from:] {
		mark.Position = from + jaywind.Position(i) + 1
		mark.Digest = mark.Digest.Add(t)
		deliver(s, r, table.Deliver{Token: t, Mark: mark, Tail: tail, Again: true})
		tail = jaywind.TailAfter(tail, t)
	}
}

// rejoin takes up a generation that another router began, from tokens that reach its bookmark.
func rejoin(s *table.State, r *table.Request, a table.Ask) {
	m := *a.Mark
	if jaywind.DigestOf(a.Prefix[:m.Position]) != m.Digest {
		end(s, r, table.Finish{Outcome: table.OutcomeMismatch, Reason: "the tokens before the bookmark do not match its digest"})
		return
	}
	pin(s, r, m)
	r.TakeAll(a.Prefix)
	repeat(s, r, m.Position)
	if !r.Pinned() {
		r.BrokenAt = time.Time{}
		r.Phase = table.PhaseQueued
		s.Queued = append(s.Queued, r.ID)
		return
	}
	suspect(s, r)
}

// pin sets what a bookmark says of a generation; attempts here supersede those of the router before.
func pin(s *table.State, r *table.Request, m jaywind.Bookmark) {
	r.Seed = m.Seed
	r.Version = m.Version
	r.Attempt = max(r.Attempt, (m.Attempt/attemptBlock+1)*attemptBlock)
	r.Run = m.Run
	r.Endpoint = m.Endpoint
	r.Begun = time.Time{}
	r.Sent = true
	r.BrokenAt = s.Now
	r.LastFrame = s.Now
}

// dropCaller lets the work go on for a while, so that the caller may come back to it.
func dropCaller(s *table.State, e table.Gone) {
	r := s.Requests[e.Request]
	if r == nil || e.Listener != 0 && e.Listener != r.Listener {
		return
	}
	if !r.Sent {
		end(s, r, table.Finish{Outcome: table.OutcomeGone, Reason: "the caller went away"})
		return
	}
	r.Listener = 0
	r.GoneAt = s.Now
}

// forget ends the work for a caller that has not come back.
func forget(s *table.State, r *table.Request) bool {
	if r.Listener != 0 || r.GoneAt.IsZero() || s.Now.Sub(r.GoneAt) < GoneLimit {
		return false
	}
	end(s, r, table.Finish{Outcome: table.OutcomeGone, Reason: "the caller went away"})
	return true
}
