package claims

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"

	"jaywind"
)

// write records the changes in the log, or in the head where the shard has none of this form yet.
//
// Routers of the former version swap the head for each commit, so no entry of
// the log may stand before a head that they can't read.
func (h *Shard) write(ctx context.Context, changed map[jaywind.ClaimKey]jaywind.Claim) error {
	if !h.hasLog() {
		return h.writeHead(ctx, changed)
	}
	if err := h.checkpoint(ctx); err != nil {
		return err
	}
	return h.append(ctx, changed)
}

// writeHead swaps in a first head with the changed records.
func (h *Shard) writeHead(ctx context.Context, changed map[jaywind.ClaimKey]jaywind.Claim) error {
	next := h.head
	next.Form = form
	all := maps.Clone(h.tail.recent)
	maps.Copy(all, changed)
	next.Rows = sortedRows(all)
	size, err := h.swapHead(ctx, next)
	if err != nil {
		return err
	}
	h.tail.begin(next, size)
	h.tail.behind = false
	for i := range h.tail.slots {
		h.tail.slots[i].known = true // all are absent
	}
	return nil
}

// checkpoint seals the entries of the log once they are many or large, so that their keys can be written again.
func (h *Shard) checkpoint(ctx context.Context) error {
	t := &h.tail
	if t.next-h.head.Base < sealCount && t.size < sealSize {
		return nil
	}
	next := h.head
	next.Rows = nil
	next.Base = t.next
	next.Dropped = h.listed()
	next.Sealed = slices.Clone(h.head.Sealed)
	n, err := h.seal(ctx, &next, sortedRows(t.recent))
	if err != nil {
		return err
	}
	next.Sealed = append(next.Sealed, n)
	h.expire(&next)
	if err := h.compact(ctx, &next); err != nil {
		return err
	}
	if err := h.indexOld(ctx, &next); err != nil {
		return err
	}
	if _, err := h.swapHead(ctx, next); err != nil {
		return err
	}
	t.recent = map[jaywind.ClaimKey]jaywind.Claim{}
	t.size = 0
	h.forget()
	return nil
}

// swapHead writes a head and returns its bytes, or has the present one read again.
func (h *Shard) swapHead(ctx context.Context, next head) (int, error) {
	value, err := encode(next)
	if err != nil {
		return 0, err
	}
	if len(value) > jaywind.MaxValue {
		return 0, fmt.Errorf("%w: head of %d bytes", jaywind.ErrStoreUnavailable, len(value))
	}
	revision, err := h.Store.Swap(ctx, h.key(), value, h.revision)
	if err != nil {
		h.loaded = false
		return 0, err
	}
	h.adopt(next, revision)
	return len(value), nil
}

// expire drops the segments whose time has passed.
func (h *Shard) expire(next *head) {
	now := h.now()
	kept := make([]name, 0, len(next.Sealed))
	for _, n := range next.Sealed {
		if n.expired(now) {
			next.Dropped = append(next.Dropped, n.segmentID)
			continue
		}
		kept = append(kept, n)
	}
	next.Sealed = kept
	indexes := make([]name, 0, len(next.Indexes))
	for _, n := range next.Indexes {
		if n.expired(now) {
			next.Dropped = append(next.Dropped, n.segmentID)
			next.Dropped = append(next.Dropped, h.sealed[n.segmentID].segments...)
			continue
		}
		indexes = append(indexes, n)
	}
	next.Indexes = indexes
}

// seal writes rows as a segment.
func (h *Shard) seal(ctx context.Context, next *head, rows []row) (name, error) {
	put, err := h.putNew(ctx, next, func(sequence uint64) any {
		return segment{Form: form, Rows: rows, Sequence: sequence}
	})
	if err != nil {
		return name{}, err
	}
	h.keep(put.id, index(rows), put.size, put.revision)
	return name{segmentID: put.id, Size: put.size, Until: h.now().Add(retention).Unix()}, nil
}

// stored is a value that was written under a new sequence number.
type stored struct {
	id       segmentID
	size     int // bytes
	revision jaywind.Revision
}

// putNew writes a value under the next sequence number.
//
// A number is named by one head at most and never again, so a segment that is
// due for deletion can't be named anew. A value that is there already was left by a router that
// failed to swap the head: it serves if it is the same, and is garbage otherwise.
func (h *Shard) putNew(ctx context.Context, next *head, build func(sequence uint64) any) (stored, error) {
	for range sealTries {
		next.Last++
		id := segmentID{Sequence: next.Last}
		value, err := encode(build(id.Sequence))
		if err != nil {
			return stored{}, err
		}
		revision, same, err := h.put(ctx, id, value)
		if err != nil {
			return stored{}, err
		}
		if same {
			return stored{id: id, size: len(value), revision: revision}, nil
		}
		next.Dropped = append(next.Dropped, id)
	}
	return stored{}, ErrContended
}

// put writes a segment and tells whether it stands there, or another value does.
func (h *Shard) put(ctx context.Context, id segmentID, value []byte) (jaywind.Revision, bool, error) {
	key := h.segmentKey(id)
	revision, err := h.Store.Swap(ctx, key, value, "")
	if !errors.Is(err, jaywind.ErrRevisionConflict) {
		return revision, err == nil, err
	}
	e, err := h.Store.Get(ctx, key)
	if err != nil {
		return "", false, err
	}
	return e.Revision, bytes.Equal(e.Value, value), nil
}

// compact merges the small segments since the last large one into one when they are many.
func (h *Shard) compact(ctx context.Context, next *head) error {
	start := len(next.Sealed)
	size := 0
	for start > 0 && next.Sealed[start-1].Size < largeSize {
		start--
		size += next.Sealed[start].Size
	}
	merged := next.Sealed[start:]
	if len(merged) < mergeCount && (size < mergeSize || len(merged) < 2) {
		return nil
	}
	latest := map[jaywind.ClaimKey]jaywind.Claim{}
	for _, n := range merged {
		claims, err := h.read(ctx, n.segmentID)
		if err != nil {
			return err
		}
		maps.Copy(latest, claims)
	}
	n, err := h.seal(ctx, next, sortedRows(latest))
	if err != nil {
		return err
	}
	for _, m := range merged {
		next.Dropped = append(next.Dropped, m.segmentID)
	}
	next.Sealed = append(next.Sealed[:start:start], n)
	return nil
}

func sortedRows(claims map[jaywind.ClaimKey]jaywind.Claim) []row {
	rows := make([]row, 0, len(claims))
	for _, c := range claims {
		rows = append(rows, rowOf(c))
	}
	slices.SortFunc(rows, compareRows)
	return rows
}

func compareRows(a, b row) int {
	return slices.Compare([]string{a.Organisation, a.Service, a.Key}, []string{b.Organisation, b.Service, b.Key})
}

// fetchUnknown reads the values that are not known yet, some at once, and hands them over in their order.
func (h *Shard) fetchUnknown(ctx context.Context, names []name, take func(segmentID, fetched) error) error {
	var unknown []segmentID
	for _, n := range names {
		if _, known := h.sealed[n.segmentID]; !known {
			unknown = append(unknown, n.segmentID)
		}
	}
	for some := range slices.Chunk(unknown, max(h.ReadAhead, 1)) {
		var keys []string
		for _, id := range some {
			keys = append(keys, h.segmentKey(id))
		}
		for i, f := range h.fetch(ctx, keys) {
			if err := take(some[i], f); err != nil {
				return err
			}
		}
	}
	return nil
}

// loadSealed reads the segments that are not known yet.
func (h *Shard) loadSealed(ctx context.Context, names []name) error {
	return h.fetchUnknown(ctx, names, func(id segmentID, f fetched) error {
		_, err := h.takeSegment(id, f)
		return err
	})
}

// sealed is what is always kept of a segment or an index.
type sealed struct {
	hashes   []uint64 // of a segment's keys, sorted
	revision jaywind.Revision
	segments []segmentID // of an index, oldest first
}

// contents is a segment as it was read.
type contents struct {
	id     segmentID
	size   int // bytes in the store
	claims map[jaywind.ClaimKey]jaywind.Claim
}

// read returns what a segment holds.
func (h *Shard) read(ctx context.Context, id segmentID) (map[jaywind.ClaimKey]jaywind.Claim, error) {
	for _, c := range h.cache {
		if c.id == id {
			return c.claims, nil
		}
	}
	return h.takeSegment(id, h.fetch(ctx, []string{h.segmentKey(id)})[0])
}

// takeSegment keeps a segment that was read.
func (h *Shard) takeSegment(id segmentID, f fetched) (map[jaywind.ClaimKey]jaywind.Claim, error) {
	if err := h.segmentError(id, f.err); err != nil {
		return nil, err
	}
	g, err := decodeSegment(f.entry.Value)
	if err != nil {
		return nil, err
	}
	if g.Sequence != id.Sequence {
		return nil, fmt.Errorf("%w: sequence number %d, want %d", ErrForm, g.Sequence, id.Sequence)
	}
	claims := index(g.Rows)
	h.keep(id, claims, len(f.entry.Value), f.entry.Revision)
	return claims, nil
}

// segmentError returns the error of a segment's read; one that is absent is missing.
func (h *Shard) segmentError(id segmentID, err error) error {
	if err == nil {
		return nil
	}
	if errors.Is(err, jaywind.ErrKeyNotFound) {
		err = errMissing
	}
	return fmt.Errorf("%w: segment %v: %w", jaywind.ErrStoreUnavailable, id, err)
}

// note keeps what is always kept of a segment or an index.
func (h *Shard) note(id segmentID, v sealed) {
	if h.sealed == nil {
		h.sealed = map[segmentID]sealed{}
	}
	h.sealed[id] = v
}

// keep notes the hashes of a segment's keys, and its claims for a while.
func (h *Shard) keep(id segmentID, claims map[jaywind.ClaimKey]jaywind.Claim, size int, revision jaywind.Revision) {
	hashes := make([]uint64, 0, len(claims))
	for k := range claims {
		hashes = append(hashes, k.Hash())
	}
	slices.Sort(hashes)
	h.note(id, sealed{hashes: hashes, revision: revision})
	h.cache = append(h.cache, contents{id: id, size: size, claims: claims})
	total := 0
	for i := len(h.cache) - 1; i >= 0; i-- {
		if total += h.cache[i].size; total > cacheSize {
			h.cache = slices.Delete(h.cache, 0, i+1)
			return
		}
	}
}

// forget drops the segments and indexes that the head no longer names.
func (h *Shard) forget() {
	kept := map[segmentID]sealed{}
	for _, id := range h.named(h.head) {
		kept[id] = h.sealed[id]
	}
	for _, n := range h.head.Indexes {
		kept[n.segmentID] = h.sealed[n.segmentID]
	}
	h.sealed = kept
}

func (h *Shard) segmentKey(id segmentID) string {
	if id.Sequence == 0 {
		return fmt.Sprintf("claims-%d-%x", h.Number, id.Hash)
	}
	return fmt.Sprintf("claims-%d-s%d", h.Number, id.Sequence)
}
