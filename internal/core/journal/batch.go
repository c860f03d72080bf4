package journal

import (
	"maps"
	"slices"

	"jaywind"
	"jaywind/internal/core/table"
)

// batches holds the next message for each peer.
type batches map[jaywind.VM]*batch

type batch struct {
	address jaywind.Address
	records []jaywind.Record
	tokens  int
}

// batchFor returns the batch for a peer, or nil while one is on its way to the peer or the peer is
// paused after a failure.
func (b batches) batchFor(s *table.State, m jaywind.Member) *batch {
	if s.Journal.Inflight[m.VM] || s.Now.Before(s.Journal.PausedUntil[m.VM]) {
		return nil
	}
	if b[m.VM] == nil {
		b[m.VM] = &batch{address: m.Fleet}
	}
	return b[m.VM]
}

// addRequest adds what the peers of a request do not have yet to their batches.
func (b batches) addRequest(s *table.State, r *table.Request) {
	entry := entryFor(s, r.ID)
	for i, m := range entry.Peers {
		sent, found := entry.Sent[m.VM]
		withTokens := i == 0 && !r.KeepsTokens
		if found && sent.Attempt == r.Attempt && (!withTokens || !tokensDue(s, r, entry, sent.Position)) {
			continue
		}
		next := b.batchFor(s, m)
		if next == nil || next.tokens > maxBatchTokens {
			continue
		}
		record := recordSince(r, sent, withTokens)
		next.records = append(next.records, record)
		next.tokens += len(record.Tokens)
		entry.Sent[m.VM] = record.Bookmark
		if withTokens {
			entry.SentAt = s.Now
		}
	}
}

// tokensDue reports whether the tokens after the last position sent are to be sent now.
func tokensDue(s *table.State, r *table.Request, entry *table.JournalEntry, sent jaywind.Position) bool {
	pending := r.Position() - sent
	return pending >= MaxLagTokens || pending > 0 && s.Now.Sub(entry.SentAt) >= MaxLag
}

// recordSince returns the record of a request from the bookmark that a peer already has.
func recordSince(r *table.Request, sent jaywind.Bookmark, withTokens bool) jaywind.Record {
	record := jaywind.Record{
		Request:      r.ID,
		Organisation: r.Organisation,
		Model:        r.Model,
		Bookmark:     r.Bookmark(),
	}
	if withTokens {
		record.From = sent.Position
		record.Tokens = r.Tokens[record.From:len(r.Tokens):len(r.Tokens)]
		if sent.Attempt == r.Attempt {
			record.Before = r.Tokens[:record.From:record.From]
		}
		return record
	}
	// A record without tokens does not state how far the answer has got.
	record.Bookmark.Position = 0
	record.Bookmark.Digest = 0
	return record
}

// close drops the entry of a request that has ended and tells its peers to delete their records.
func (b batches) close(s *table.State, id jaywind.RequestID) {
	entry := s.Journal.Entries[id]
	delete(s.Journal.Entries, id)
	for _, m := range entry.Peers {
		sent, found := entry.Sent[m.VM]
		if next := b.batchFor(s, m); found && next != nil {
			next.records = append(next.records, jaywind.Record{Request: id, Bookmark: sent, Ended: true})
		}
	}
}

// emit sends the batches that hold records, in the order of their peers.
func (b batches) emit(s *table.State) {
	for _, vm := range slices.Sorted(maps.Keys(b)) {
		next := b[vm]
		if len(next.records) == 0 {
			continue
		}
		if s.Journal.Inflight == nil {
			s.Journal.Inflight = map[jaywind.VM]bool{}
		}
		s.Journal.Inflight[vm] = true
		s.Emit(table.KeepRecords{Peer: vm, Address: next.address, Records: next.records})
	}
}
