package claims

import (
	"context"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"jaywind"
)

const (
	indexAfterSegments = 16        // number of segments in the head that triggers writing an index
	maxIndexHashBytes  = 512 << 10 // bytes of hashes in one index
	hashBytes          = 8         // size of one hash
)

// segmentIndex lists old segments with the hashes of their claim keys.
type segmentIndex struct {
	Format   int              `cbor:"1,keyasint"`
	Segments []indexedSegment `cbor:"2,keyasint"` // oldest first
	Sequence uint64           `cbor:"3,keyasint,omitempty"`
}

// indexedSegment is one segment in an index.
type indexedSegment struct {
	segmentRef
	Revision string   `cbor:"5,keyasint,omitempty"`
	Hashes   []uint64 `cbor:"6,keyasint"` // of its claim keys, sorted
}

func decodeIndex(value []byte) (segmentIndex, error) {
	var x segmentIndex
	if err := cbor.Unmarshal(value, &x); err != nil {
		return segmentIndex{}, fmt.Errorf("%w: %w", ErrFormat, err)
	}
	return x, checkFormat(x.Format)
}

// indexOldSegments moves the oldest segments of a head into an index, once they are many.
//
// A router that loads the shard then reads the hashes of their keys instead of
// the segments, and the size of the head stays bounded.
func (h *Shard) indexOldSegments(ctx context.Context, next *head) error {
	count := 0 // up to the last large segment; the small ones after it will still be merged
	for i, n := range next.Sealed {
		if n.Size >= largeSegmentBytes {
			count = i + 1
		}
	}
	if count < indexAfterSegments {
		return nil
	}
	var x segmentIndex
	until := int64(0)
	size := 0
	for _, n := range next.Sealed[:count] {
		known := h.info[n.segmentID]
		size += hashBytes * len(known.hashes)
		if size > maxIndexHashBytes && len(x.Segments) > 0 {
			break
		}
		x.Segments = append(x.Segments, indexedSegment{segmentRef: n, Revision: string(known.revision), Hashes: known.hashes})
		until = max(until, n.ExpiresAt)
	}
	stored, err := h.putNext(ctx, next, func(sequence uint64) any {
		x.Format, x.Sequence = currentFormat, sequence
		return x
	})
	if err != nil {
		return err
	}
	h.setIndexInfo(stored.id, x.Segments, stored.revision)
	next.Sealed = slices.Clone(next.Sealed[len(x.Segments):])
	next.Indexes = append(slices.Clone(next.Indexes), segmentRef{segmentID: stored.id, Size: stored.size, ExpiresAt: until})
	return nil
}

// loadIndexes reads the indexes that are not known yet.
func (h *Shard) loadIndexes(ctx context.Context, refs []segmentRef) error {
	return h.fetchUnknown(ctx, refs, func(id segmentID, f fetched) error {
		if err := h.segmentError(id, f.err); err != nil {
			return err
		}
		x, err := decodeIndex(f.entry.Value)
		if err != nil {
			return err
		}
		if x.Sequence != id.Sequence {
			return fmt.Errorf("%w: sequence number %d, want %d", ErrFormat, x.Sequence, id.Sequence)
		}
		h.setIndexInfo(id, x.Segments, f.entry.Revision)
		return nil
	})
}

// setIndexInfo sets the in-memory information about an index and its segments.
func (h *Shard) setIndexInfo(id segmentID, segments []indexedSegment, revision jaywind.Revision) {
	ids := make([]segmentID, 0, len(segments))
	for _, x := range segments {
		ids = append(ids, x.segmentID)
		h.setInfo(x.segmentID, segmentInfo{hashes: x.Hashes, revision: jaywind.Revision(x.Revision)})
	}
	h.setInfo(id, segmentInfo{revision: revision, segments: ids})
}

// segmentsOf returns the segments of a head, including those listed in its indexes, oldest first.
func (h *Shard) segmentsOf(next head) []segmentID {
	var out []segmentID
	for _, n := range next.Indexes {
		out = append(out, h.info[n.segmentID].segments...)
	}
	for _, n := range next.Sealed {
		out = append(out, n.segmentID)
	}
	return out
}
