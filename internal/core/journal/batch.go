package journal

import (
	"maps"
	"slices"

	"jaywind"
	"jaywind/internal/core/table"
)

// batches are the next messages, one for each peer.
type batches map[jaywind.VM]*batch

type batch struct {
	at      jaywind.Address
	records []jaywind.Record
	tokens  int
}

// to returns the batch for a peer, or nil while the peer can take none.
func (b batches) to(s *table.State, m jaywind.Member) *batch {
	if s.Journal.Out[m.VM] || s.Now.Before(s.Journal.Paused[m.VM]) {
		return nil
	}
	if b[m.VM] == nil {
		b[m.VM] = &batch{at: m.Fleet}
	}
	return b[m.VM]
}

// add puts what the peers of a request do not have yet into their batches.
func (b batches) add(s *table.State, r *table.Request) {
	w := choose(s, r.ID)
	for i, m := range w.Peers {
		sent, some := w.Sent[m.VM]
		tokens := i == 0 && !r.Keeps
		if some && sent.Attempt == r.Attempt && (!tokens || !due(s, r, w, sent.Position)) {
			continue
		}
		t := b.to(s, m)
		if t == nil || t.tokens > batchLimit {
			continue
		}
		record := recordOf(r, sent, tokens)
		t.records = append(t.records, record)
		t.tokens += len(record.Tokens)
		w.Sent[m.VM] = record.Mark
		if tokens {
			w.SentAt = s.Now
		}
	}
}

// due tells whether the tokens from a position on have waited for long enough.
func due(s *table.State, r *table.Request, w *table.JournalRow, sent jaywind.Position) bool {
	waiting := r.Position() - sent
	return waiting >= LagTokens || waiting > 0 && s.Now.Sub(w.SentAt) >= Lag
}

// recordOf returns what a peer lacks that has what was sent.
func recordOf(r *table.Request, sent jaywind.Bookmark, tokens bool) jaywind.Record {
	record := jaywind.Record{
		Request:      r.ID,
		Organisation: r.Organisation,
		Model:        r.Model,
		Mark:         r.Bookmark(),
	}
	if tokens {
		record.From = sent.Position
		record.Tokens = r.Tokens[record.From:len(r.Tokens):len(r.Tokens)]
		if sent.Attempt == r.Attempt {
			record.Before = r.Tokens[:record.From:record.From]
		}
		return record
	}
	// A record without tokens says nothing of how far the answer is.
	record.Mark.Position = 0
	record.Mark.Digest = 0
	return record
}

// close tells the peers of a request that they may forget it.
func (b batches) close(s *table.State, id jaywind.RequestID) {
	w := s.Journal.Rows[id]
	delete(s.Journal.Rows, id)
	for _, m := range w.Peers {
		sent, some := w.Sent[m.VM]
		if t := b.to(s, m); some && t != nil {
			t.records = append(t.records, jaywind.Record{Request: id, Mark: sent, Ended: true})
		}
	}
}

func (b batches) emit(s *table.State) {
	for _, vm := range slices.Sorted(maps.Keys(b)) {
		t := b[vm]
		if len(t.records) == 0 {
			continue
		}
		if s.Journal.Out == nil {
			s.Journal.Out = map[jaywind.VM]bool{}
		}
		s.Journal.Out[vm] = true
		s.Emit(table.Keep{Peer: vm, At: t.at, Records: t.records})
	}
}
