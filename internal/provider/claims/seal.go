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

// write appends the changes to the log, or writes them to the head if the head is not in the current format yet.
//
// Routers of the previous release swap the head on each commit, so nothing may
// be appended to the log before the head is in a format that they can't read.
func (h *Shard) write(ctx context.Context, changed map[jaywind.ClaimKey]jaywind.Claim) error {
	if !h.hasLog() {
		return h.writeFirstHead(ctx, changed)
	}
	if err := h.checkpoint(ctx); err != nil {
		return err
	}
	return h.append(ctx, changed)
}

// writeFirstHead writes the first head in the current format, with the changed records.
func (h *Shard) writeFirstHead(ctx context.Context, changed map[jaywind.ClaimKey]jaywind.Claim) error {
	next := h.head
	next.Format = currentFormat
	all := maps.Clone(h.tail.recent)
	maps.Copy(all, changed)
	next.Rows = sortedRows(all)
	size, err := h.swapHead(ctx, next)
	if err != nil {
		return err
	}
	h.tail.reset(next, size)
	h.tail.stale = false
	for i := range h.tail.slots {
		h.tail.slots[i].valid = true // all log keys are absent
	}
	return nil
}

// checkpoint moves the log entries into a segment once they are many or large, so that their keys can be reused.
func (h *Shard) checkpoint(ctx context.Context) error {
	t := &h.tail
	if t.next-h.head.Base < sealAfterEntries && t.size < sealAfterBytes {
		return nil
	}
	next := h.head
	next.Rows = nil
	next.Base = t.next
	next.Dropped = h.pendingDeletions()
	next.Sealed = slices.Clone(h.head.Sealed)
	n, err := h.writeSegment(ctx, &next, sortedRows(t.recent))
	if err != nil {
		return err
	}
	next.Sealed = append(next.Sealed, n)
	h.dropExpired(&next)
	if err := h.compact(ctx, &next); err != nil {
		return err
	}
	if err := h.indexOldSegments(ctx, &next); err != nil {
		return err
	}
	if _, err := h.swapHead(ctx, next); err != nil {
		return err
	}
	t.recent = map[jaywind.ClaimKey]jaywind.Claim{}
	t.size = 0
	h.pruneInfo()
	return nil
}

// swapHead writes a head and returns its size in bytes; after a failure the head is read again before its next use.
func (h *Shard) swapHead(ctx context.Context, next head) (int, error) {
	value, err := encode(next)
	if err != nil {
		return 0, err
	}
	if len(value) > jaywind.MaxValue {
		return 0, fmt.Errorf("%w: head of %d bytes is too large", jaywind.ErrStoreUnavailable, len(value))
	}
	revision, err := h.swap(ctx, h.headKey(), value, h.revision)
	if err != nil {
		h.loaded = false
		return 0, err
	}
	h.setHead(next, revision)
	return len(value), nil
}

// dropExpired moves segments and indexes past their retention time to the dropped list.
func (h *Shard) dropExpired(next *head) {
	now := h.now()
	kept := make([]segmentRef, 0, len(next.Sealed))
	for _, n := range next.Sealed {
		if n.expired(now) {
			next.Dropped = append(next.Dropped, n.segmentID)
			continue
		}
		kept = append(kept, n)
	}
	next.Sealed = kept
	indexes := make([]segmentRef, 0, len(next.Indexes))
	for _, n := range next.Indexes {
		if n.expired(now) {
			next.Dropped = append(next.Dropped, n.segmentID)
			next.Dropped = append(next.Dropped, h.info[n.segmentID].segments...)
			continue
		}
		indexes = append(indexes, n)
	}
	next.Indexes = indexes
}

// writeSegment writes rows as a new segment.
func (h *Shard) writeSegment(ctx context.Context, next *head, rows []row) (segmentRef, error) {
	put, err := h.putNext(ctx, next, func(sequence uint64) any {
		return segment{Format: currentFormat, Rows: rows, Sequence: sequence}
	})
	if err != nil {
		return segmentRef{}, err
	}
	h.cacheSegment(put.id, claimsByKey(rows), put.size, put.revision)
	return segmentRef{segmentID: put.id, Size: put.size, ExpiresAt: h.now().Add(retention).Unix()}, nil
}

// writtenValue is a value that was written under a new sequence number.
type writtenValue struct {
	id       segmentID
	size     int // bytes
	revision jaywind.Revision
}

// putNext writes a value under the next free sequence number.
//
// Each number is referenced at most once and never reused, so a segment that is
// due for deletion can't be referenced again. A value that already exists was
// left by a router that failed to swap the head: it is used if it is equal, and
// is listed for deletion otherwise.
func (h *Shard) putNext(ctx context.Context, next *head, build func(sequence uint64) any) (writtenValue, error) {
	for range maxSealAttempts {
		next.LastSequence++
		id := segmentID{Sequence: next.LastSequence, Era: h.era}
		value, err := encode(build(id.Sequence))
		if err != nil {
			return writtenValue{}, err
		}
		revision, same, err := h.putIfAbsent(ctx, id, value)
		if err != nil {
			return writtenValue{}, err
		}
		if same {
			return writtenValue{id: id, size: len(value), revision: revision}, nil
		}
		next.Dropped = append(next.Dropped, id)
	}
	return writtenValue{}, ErrContended
}

// putIfAbsent writes a value if its key is absent and reports whether the key now holds that value.
func (h *Shard) putIfAbsent(ctx context.Context, id segmentID, value []byte) (jaywind.Revision, bool, error) {
	key := h.segmentKey(id)
	revision, err := h.swap(ctx, key, value, "")
	if !errors.Is(err, jaywind.ErrRevisionConflict) {
		return revision, err == nil, err
	}
	e, err := h.get(ctx, key)
	if err != nil {
		return "", false, err
	}
	return e.Revision, bytes.Equal(e.Value, value), nil
}

// compact merges the small segments after the last large one once they are many or large.
func (h *Shard) compact(ctx context.Context, next *head) error {
	start := len(next.Sealed)
	size := 0
	for start > 0 && next.Sealed[start-1].Size < largeSegmentBytes {
		start--
		size += next.Sealed[start].Size
	}
	merged := next.Sealed[start:]
	if len(merged) < mergeAfterSegments && (size < mergeAfterBytes || len(merged) < 2) {
		return nil
	}
	latest := map[jaywind.ClaimKey]jaywind.Claim{}
	for _, n := range merged {
		claims, err := h.readSegment(ctx, n.segmentID)
		if err != nil {
			return err
		}
		maps.Copy(latest, claims)
	}
	n, err := h.writeSegment(ctx, next, sortedRows(latest))
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

// fetchUnknown reads the values that are not known yet, ReadAhead at a time, and passes them to take in order.
func (h *Shard) fetchUnknown(ctx context.Context, refs []segmentRef, take func(segmentID, fetched) error) error {
	var unknown []segmentID
	for _, r := range refs {
		if _, known := h.info[r.segmentID]; !known {
			unknown = append(unknown, r.segmentID)
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

// loadSegments reads the segments that are not known yet.
func (h *Shard) loadSegments(ctx context.Context, refs []segmentRef) error {
	return h.fetchUnknown(ctx, refs, func(id segmentID, f fetched) error {
		_, err := h.addSegment(id, f)
		return err
	})
}

// segmentInfo is what stays in memory for each referenced segment or index.
type segmentInfo struct {
	hashes   []uint64 // of the segment's claim keys, sorted
	revision jaywind.Revision
	segments []segmentID // listed by the index, oldest first
}

// cachedSegment is a segment with its claims.
type cachedSegment struct {
	id     segmentID
	size   int // bytes in the store
	claims map[jaywind.ClaimKey]jaywind.Claim
}

// readSegment returns the claims of a segment, from the cache if possible.
func (h *Shard) readSegment(ctx context.Context, id segmentID) (map[jaywind.ClaimKey]jaywind.Claim, error) {
	for _, c := range h.cache {
		if c.id == id {
			return c.claims, nil
		}
	}
	return h.addSegment(id, h.fetch(ctx, []string{h.segmentKey(id)})[0])
}

// addSegment decodes a fetched segment and caches it.
func (h *Shard) addSegment(id segmentID, f fetched) (map[jaywind.ClaimKey]jaywind.Claim, error) {
	if err := h.segmentError(id, f.err); err != nil {
		return nil, err
	}
	g, err := decodeSegment(f.entry.Value)
	if err != nil {
		return nil, err
	}
	if g.Sequence != id.Sequence {
		return nil, fmt.Errorf("%w: sequence number %d, want %d", ErrFormat, g.Sequence, id.Sequence)
	}
	claims := claimsByKey(g.Rows)
	h.cacheSegment(id, claims, len(f.entry.Value), f.entry.Revision)
	return claims, nil
}

// segmentError wraps an error of reading a segment; an absent key becomes errSegmentMissing.
func (h *Shard) segmentError(id segmentID, err error) error {
	if err == nil {
		return nil
	}
	if errors.Is(err, jaywind.ErrKeyNotFound) {
		err = errSegmentMissing
	}
	return fmt.Errorf("%w: segment %v: %w", jaywind.ErrStoreUnavailable, id, err)
}

// setInfo sets the in-memory information about a segment or an index.
func (h *Shard) setInfo(id segmentID, v segmentInfo) {
	if h.info == nil {
		h.info = map[segmentID]segmentInfo{}
	}
	h.info[id] = v
}

// cacheSegment stores the hashes of a segment's claim keys and caches its claims, evicting the oldest.
func (h *Shard) cacheSegment(id segmentID, claims map[jaywind.ClaimKey]jaywind.Claim, size int, revision jaywind.Revision) {
	hashes := make([]uint64, 0, len(claims))
	for k := range claims {
		hashes = append(hashes, k.Hash())
	}
	slices.Sort(hashes)
	h.setInfo(id, segmentInfo{hashes: hashes, revision: revision})
	h.cache = append(h.cache, cachedSegment{id: id, size: size, claims: claims})
	total := 0
	for i := len(h.cache) - 1; i >= 0; i-- {
		if total += h.cache[i].size; total > segmentCacheBytes {
			h.cache = slices.Delete(h.cache, 0, i+1)
			return
		}
	}
}

// pruneInfo drops the information about segments and indexes that the head no longer references.
func (h *Shard) pruneInfo() {
	kept := map[segmentID]segmentInfo{}
	for _, id := range h.segmentsOf(h.head) {
		kept[id] = h.info[id]
	}
	for _, n := range h.head.Indexes {
		kept[n.segmentID] = h.info[n.segmentID]
	}
	h.info = kept
}

func (h *Shard) segmentKey(id segmentID) string {
	if id.Sequence == 0 {
		return fmt.Sprintf("%s-%x", h.prefix(id.Era), id.Hash)
	}
	return fmt.Sprintf("%s-s%d", h.prefix(id.Era), id.Sequence)
}
