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
	recordTTL     = 2 * time.Minute // since the last batch for the request
	maxTokens     = 1 << 19         // in all records together
	sweepInterval = 10 * time.Second
)

// RecordStore holds the records of other routers' requests in memory. The zero value
// is ready to use. Its methods may be called concurrently.
type RecordStore struct {
	Clock jaywind.Clock // the system clock if nil

	mu      sync.Mutex
	records map[jaywind.RequestID]*storedRecord
	tokens  int
	sweptAt time.Time
}

type storedRecord struct {
	record    jaywind.Record
	updatedAt time.Time
}

func (s *RecordStore) now() time.Time {
	if s.Clock == nil {
		return time.Now()
	}
	return s.Clock.Now()
}

// Keep adds records and returns the requests whose preceding tokens are missing here.
func (s *RecordStore) Keep(records []jaywind.Record) []jaywind.RequestID {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	var missing []jaywind.RequestID
	for _, r := range records {
		if !s.add(r, now) {
			missing = append(missing, r.Request)
		}
	}
	s.sweep(now)
	return missing
}

// addEncoded decodes and adds records received from a peer. It returns the requests of
// which the tokens that a record continues from are missing here.
func (s *RecordStore) addEncoded(records []wireRecord) ([]jaywind.RequestID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	var missing []jaywind.RequestID
	for i, w := range records {
		known := s.find(jaywind.RequestID(w.Request))
		if known != nil && w.Attempt < uint64(known.Bookmark.Attempt) {
			continue
		}
		r, err := w.decode(known)
		if err != nil && !errors.Is(err, errMissingTokens) {
			return nil, fmt.Errorf("record %d: %w", i, err)
		}
		if err != nil || !s.add(r, now) {
			missing = append(missing, jaywind.RequestID(w.Request))
		}
	}
	s.sweep(now)
	return missing, nil
}

// find returns the record of a request, or nil.
func (s *RecordStore) find(id jaywind.RequestID) *jaywind.Record {
	if stored := s.records[id]; stored != nil {
		return &stored.record
	}
	return nil
}

// add stores one record and ignores it if a later attempt is already stored. It returns
// false if the tokens before the record are missing.
func (s *RecordStore) add(r jaywind.Record, now time.Time) bool {
	stored := s.records[r.Request]
	switch {
	case stored != nil && r.Bookmark.Attempt < stored.record.Bookmark.Attempt:
		return true
	case r.Ended:
		s.remove(r.Request)
		return true
	case stored == nil && r.From > 0:
		return false
	case stored == nil:
		if s.records == nil {
			s.records = map[jaywind.RequestID]*storedRecord{}
		}
		stored = &storedRecord{}
		s.records[r.Request] = stored
	case int(r.From) > len(stored.record.Tokens):
		return false
	}
	before := stored.record.Tokens
	s.tokens -= len(before)
	stored.record = r
	stored.record.From, stored.record.Before = 0, nil
	stored.record.Tokens = slices.Concat(before[:r.From], r.Tokens)
	stored.updatedAt = now
	s.tokens += len(stored.record.Tokens)
	return true
}

func (s *RecordStore) remove(id jaywind.RequestID) {
	if stored := s.records[id]; stored != nil {
		s.tokens -= len(stored.record.Tokens)
		delete(s.records, id)
	}
}

// sweep deletes expired records, at most once per sweepInterval, and the least recently updated
// records while there are more than maxTokens tokens.
func (s *RecordStore) sweep(now time.Time) {
	if now.Sub(s.sweptAt) < sweepInterval && s.tokens <= maxTokens {
		return
	}
	s.sweptAt = now
	var ids []jaywind.RequestID
	for id, stored := range s.records {
		if now.Sub(stored.updatedAt) >= recordTTL {
			s.remove(id)
			continue
		}
		ids = append(ids, id)
	}
	if s.tokens <= maxTokens {
		return
	}
	slices.SortFunc(ids, func(x, y jaywind.RequestID) int { return s.records[x].updatedAt.Compare(s.records[y].updatedAt) })
	for len(ids) > 0 && s.tokens > maxTokens {
		s.remove(ids[0])
		ids = ids[1:]
	}
}

// Recall returns the stored record of a request, or jaywind.ErrKeyNotFound.
func (s *RecordStore) Recall(id jaywind.RequestID) (jaywind.Record, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stored := s.records[id]
	if stored == nil {
		return jaywind.Record{}, jaywind.ErrKeyNotFound
	}
	return stored.record, nil
}
