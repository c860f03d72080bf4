package generate

import (
	"time"

	"jaywind"
	"jaywind/internal/core/journal"
	"jaywind/internal/core/table"
)

// recallRecord asks the peers that may hold the record of a request for it.
func recallRecord(s *table.State, r *table.Request, a table.GenerationRequest) {
	r.Phase = table.PhaseRecalling
	r.CatchUp = a.Bookmark
	s.Emit(table.RecallRecord{Request: r.ID, Peers: journal.RecordHolders(s, r.ID), Limit: RecallTimeout})
}

// handleRecalled resumes a request from the record that peers returned. The digest of the caller's
// bookmark decides whether the tokens are the right ones.
func handleRecalled(s *table.State, e table.RecordRecalled) {
	r := s.Requests[e.Request]
	if r == nil || r.Phase != table.PhaseRecalling {
		return
	}
	record := e.Record
	known := e.Err == nil && jaywind.DigestOf(record.Tokens) == record.Bookmark.Digest
	switch {
	case known && (record.Organisation != r.Organisation || record.Model != r.Model):
		finish(s, r, table.FinishRequest{Outcome: table.OutcomeBookmarkMismatch, Reason: "the id is that of another request"})
	case known && r.CatchUp == nil:
		resumeFromRecord(s, r, record, record.Bookmark)
	case known:
		resumeFromRecord(s, r, record, withNewerAttempt(*r.CatchUp, record.Bookmark))
	case r.CatchUp == nil:
		r.Phase = table.PhaseQueued
		s.Queued = append(s.Queued, r.ID)
	default:
		resumeFromRecord(s, r, jaywind.Record{}, *r.CatchUp)
	}
}

// withNewerAttempt returns the caller's bookmark, with the attempt, run and endpoint of the
// record's bookmark if that attempt is newer.
func withNewerAttempt(m, record jaywind.Bookmark) jaywind.Bookmark {
	if record.Attempt > m.Attempt {
		m.Attempt = record.Attempt
		m.Run = record.Run
		m.Endpoint = record.Endpoint
	}
	return m
}

// resumeFromRecord resumes a generation from the state of a bookmark and the tokens of its record.
// Tokens that are missing up to the caller's bookmark come from an engine.
func resumeFromRecord(s *table.State, r *table.Request, record jaywind.Record, m jaywind.Bookmark) {
	read := r.CatchUp
	applyBookmark(s, r, m)
	r.AppendTokens(record.Tokens)
	var from jaywind.Position
	if read != nil {
		from = read.Position
	}
	if from > r.Position() {
		sendProbe(s, r)
		return
	}
	r.CatchUp = nil
	if read != nil && jaywind.DigestOf(r.Tokens[:from]) != read.Digest {
		finish(s, r, table.FinishRequest{Outcome: table.OutcomeBookmarkMismatch, Reason: "the tokens before the bookmark do not match its digest"})
		return
	}
	replay(s, r, from)
	if !r.Pinned() {
		r.BrokenAt = time.Time{}
	}
	sendProbe(s, r)
}
