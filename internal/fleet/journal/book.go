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
	recordKeep = 2 * time.Minute // without news of the request
	tokenLimit = 1 << 19         // tokens in all records
	sweepEvery = 10 * time.Second
)

// Book keeps the records of other routers' requests; its zero value is ready.
type Book struct {
	Clock jaywind.Clock // the machine's when nil

	mu     sync.Mutex
	held   map[jaywind.RequestID]*held
	tokens int
	swept  time.Time
}

type held struct {
	record jaywind.Record
	at     time.Time
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
		if !b.keep(r, now) {
			gaps = append(gaps, r.Request)
		}
	}
	b.sweep(now)
	return gaps
}

// accept adds records as they came; those that go on from what is missing here are gaps.
func (b *Book) accept(records []record) ([]jaywind.RequestID, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	var gaps []jaywind.RequestID
	for i, w := range records {
		known := b.known(jaywind.RequestID(w.Request))
		if known != nil && w.Attempt < uint64(known.Bookmark.Attempt) {
			continue
		}
		r, err := w.record(known)
		if err != nil && !errors.Is(err, errGap) {
			return nil, fmt.Errorf("record %d: %w", i, err)
		}
		if err != nil || !b.keep(r, now) {
			gaps = append(gaps, jaywind.RequestID(w.Request))
		}
	}
	b.sweep(now)
	return gaps, nil
}

// known returns the record of a request, or nil.
func (b *Book) known(id jaywind.RequestID) *jaywind.Record {
	if h := b.held[id]; h != nil {
		return &h.record
	}
	return nil
}

// keep adds one record, unless an attempt after it is known; it returns false for a gap.
func (b *Book) keep(r jaywind.Record, now time.Time) bool {
	h := b.held[r.Request]
	switch {
	case h != nil && r.Bookmark.Attempt < h.record.Bookmark.Attempt:
		return true
	case r.Ended:
		b.drop(r.Request)
		return true
	case h == nil && r.From > 0:
		return false
	case h == nil:
		if b.held == nil {
			b.held = map[jaywind.RequestID]*held{}
		}
		h = &held{}
		b.held[r.Request] = h
	case int(r.From) > len(h.record.Tokens):
		return false
	}
	before := h.record.Tokens
	b.tokens -= len(before)
	h.record = r
	h.record.From, h.record.Before = 0, nil
	h.record.Tokens = slices.Concat(before[:r.From], r.Tokens)
	h.at = now
	b.tokens += len(h.record.Tokens)
	return true
}

func (b *Book) drop(id jaywind.RequestID) {
	if h := b.held[id]; h != nil {
		b.tokens -= len(h.record.Tokens)
		delete(b.held, id)
	}
}

// sweep forgets old records, and the oldest while there are too many tokens.
func (b *Book) sweep(now time.Time) {
	if now.Sub(b.swept) < sweepEvery && b.tokens <= tokenLimit {
		return
	}
	b.swept = now
	var ids []jaywind.RequestID
	for id, h := range b.held {
		if now.Sub(h.at) >= recordKeep {
			b.drop(id)
			continue
		}
		ids = append(ids, id)
	}
	if b.tokens <= tokenLimit {
		return
	}
	slices.SortFunc(ids, func(x, y jaywind.RequestID) int { return b.held[x].at.Compare(b.held[y].at) })
	for len(ids) > 0 && b.tokens > tokenLimit {
		b.drop(ids[0])
		ids = ids[1:]
	}
}

// Recall returns what is kept of a request, or jaywind.ErrAbsent.
func (b *Book) Recall(id jaywind.RequestID) (jaywind.Record, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.held[id]
	if h == nil {
		return jaywind.Record{}, jaywind.ErrKeyNotFound
	}
	return h.record, nil
}
