package journal

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"jaywind"
)

const (
	recordTTL     = 2 * time.Minute // without news of the request
	maxTokens     = 1 << 19         // tokens in all records
	sweepInterval = 10 * time.Second
)

// Book keeps the records of other routers' requests; its zero value is ready.
type Book struct {
	Clock jaywind.Clock // the machine's when nil

	mu      sync.Mutex
	records map[jaywind.RequestID]*storedRecord
	tokens  int
	sweptAt time.Time
}

type storedRecord struct {
	record    jaywind.Record
	updatedAt time.Time
}

func (b *Book) now() time.Time {
	if b.Clock == nil {
		return time.Now()
	}
	return b.Clock.Now()
}

// Keep adds records and returns the requests of which the tokens before are missing.
func (b *Book) Keep(records []jaywind.Record) []jaywind.RequestID {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	var gaps []jaywind.RequestID
	for _, r := range records {
		if !b.add(r, now) {
			gaps = append(gaps, r.Request)
		}
	}
	b.sweep(now)
	return gaps
}

// addEncoded adds records as they came; those that go on from what is missing here are gaps.
func (b *Book) addEncoded(records []wireRecord) ([]jaywind.RequestID, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	var gaps []jaywind.RequestID
	for i, w := range records {
		known := b.find(jaywind.RequestID(w.Request))
		if known != nil && w.Attempt < uint64(known.Mark.Attempt) {
			continue
		}
		r, err := w.decode(known)
		if err != nil && !errors.Is(err, errMissingTokens) {
			return nil, fmt.Errorf("record %d: %w", i, err)
		}
		if err != nil || !b.add(r, now) {
			gaps = append(gaps, jaywind.RequestID(w.Request))
		}
	}
	b.sweep(now)
	return gaps, nil
}

// find returns the record of a request, or nil.
func (b *Book) find(id jaywind.RequestID) *jaywind.Record {
	if h := b.records[id]; h != nil {
		return &h.record
	}
	return nil
}

// add adds one record, unless an attempt after it is known; it returns false for a gap.
func (b *Book) add(r jaywind.Record, now time.Time) bool {
	h := b.records[r.Request]
	switch {
	case h != nil && r.Mark.Attempt < h.record.Mark.Attempt:
		return true
	case r.Ended:
		b.remove(r.Request)
		return true
	case h == nil && r.From > 0:
		return false
	case h == nil:
		if b.records == nil {
			b.records = map[jaywind.RequestID]*storedRecord{}
		}
		h = &storedRecord{}
		b.records[r.Request] = h
	case int(r.From) > len(h.record.Tokens):
		return false
	}
	before := h.record.Tokens
	b.tokens -= len(before)
	h.record = r
	h.record.From, h.record.Before = 0, nil
	h.record.Tokens = slices.Concat(before[:r.From], r.Tokens)
	h.updatedAt = now
	b.tokens += len(h.record.Tokens)
	return true
}

func (b *Book) remove(id jaywind.RequestID) {
	if h := b.records[id]; h != nil {
		b.tokens -= len(h.record.Tokens)
		delete(b.records, id)
	}
}

// sweep forgets old records, and the oldest while there are too many tokens.
func (b *Book) sweep(now time.Time) {
	if now.Sub(b.sweptAt) < sweepInterval && b.tokens <= maxTokens {
		return
	}
	b.sweptAt = now
	var ids []jaywind.RequestID
	for id, h := range b.records {
		if now.Sub(h.updatedAt) >= recordTTL {
			b.remove(id)
			continue
		}
		ids = append(ids, id)
	}
	if b.tokens <= maxTokens {
		return
	}
	slices.SortFunc(ids, func(x, y jaywind.RequestID) int { return b.records[x].updatedAt.Compare(b.records[y].updatedAt) })
	for len(ids) > 0 && b.tokens > maxTokens {
		b.remove(ids[0])
		ids = ids[1:]
	}
}

// Recall returns what is kept of a request, or jaywind.ErrAbsent.
func (b *Book) Recall(id jaywind.RequestID) (jaywind.Record, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.records[id]
	if h == nil {
		return jaywind.Record{}, jaywind.ErrAbsent
	}
	return h.record, nil
}
