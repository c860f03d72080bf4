package generate

import (
	"time"

	"jaywind"
	"jaywind/internal/core/journal"
	"jaywind/internal/core/table"
)

// recall asks the peers that may keep the record of a request.
func recall(s *table.State, r *table.Request, a table.Ask) {
	r.Phase = table.PhaseRecalling
	r.CatchUp = a.Mark
	s.Emit(table.RecallRecord{Request: r.ID, Peers: journal.Holders(s, r.ID), Limit: RecallLimit})
}

// takeRecord goes on from what the peers know; the caller's digest decides whether that is right.
func takeRecord(s *table.State, e table.Recalled) {
	r := s.Requests[e.Request]
	if r == nil || r.Phase != table.PhaseRecalling {
		return
	}
	record := e.Record
	known := e.Err == nil && jaywind.DigestOf(record.Tokens) == record.Mark.Digest
	switch {
	case known && (record.Organisation != r.Organisation || record.Model != r.Model):
		end(s, r, table.Finish{Outcome: table.OutcomeMismatch, Reason: "the id is that of another request"})
	case known && r.CatchUp == nil:
		takeUp(s, r, record, record.Mark)
	case known:
		takeUp(s, r, record, later(*r.CatchUp, record.Mark))
	case r.CatchUp == nil:
		r.Phase = table.PhaseQueued
		s.Queued = append(s.Queued, r.ID)
	default:
		takeUp(s, r, jaywind.Record{}, *r.CatchUp)
	}
}

// later returns the caller's bookmark with the place of the newer attempt.
func later(m, record jaywind.Bookmark) jaywind.Bookmark {
	if record.Attempt > m.Attempt {
		m.Attempt = record.Attempt
		m.Run = record.Run
		m.Endpoint = record.Endpoint
	}
	return m
}

// takeUp pins a generation and goes on from the tokens of its record.
func takeUp(s *table.State, r *table.Request, record jaywind.Record, m jaywind.Bookmark) {
	read := r.CatchUp
	pin(s, r, m)
	r.TakeAll(record.Tokens)
	var from jaywind.Position
	if read != nil {
		from = read.Position
	}
	if from > r.Position() {
		suspect(s, r)
		return
	}
	r.CatchUp = nil
	if read != nil && jaywind.DigestOf(r.Tokens[:from]) != read.Digest {
		end(s, r, table.Finish{Outcome: table.OutcomeMismatch, Reason: "the tokens before the bookmark do not match its digest"})
		return
	}
	repeat(s, r, from)
	if !r.Pinned() {
		r.BrokenAt = time.Time{}
	}
	suspect(s, r)
}
