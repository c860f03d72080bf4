package claims

import (
	"context"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"jaywind"
)

const (
	indexCount = 16        // segments that are due to go into an index
	indexSize  = 512 << 10 // bytes of the hashes in one index
	hashSize   = 8         // bytes
)

// segmentIndex is the value that tells a head's old segments and the hashes of their keys.
type segmentIndex struct {
	Form     int       `cbor:"1,keyasint"`
	Segments []indexed `cbor:"2,keyasint"` // oldest first
	Sequence uint64    `cbor:"3,keyasint,omitempty"`
}

// indexed is a segment in an index.
type indexed struct {
	name
	Revision string   `cbor:"5,keyasint,omitempty"`
	Hashes   []uint64 `cbor:"6,keyasint"` // of its keys, sorted
}

func decodeIndex(value []byte) (segmentIndex, error) {
	var x segmentIndex
	if err := cbor.Unmarshal(value, &x); err != nil {
		return segmentIndex{}, fmt.Errorf("%w: %w", ErrForm, err)
	}
	return x, checkForm(x.Form)
}

// indexOld moves the oldest segments from a head into an index, once they are many.
//
// A new router then reads the hashes of their keys in place of the segments,
// and the head does not grow with all that it keeps.
func (h *Shard) indexOld(ctx context.Context, next *head) error {
	count := 0
	for i, n := range next.Sealed {
		if n.Size >= largeSize {
			count = i + 1
		}
	}
	if count < indexCount {
		return nil
	}
	var x segmentIndex
	until := int64(0)
	size := 0
	for _, n := range next.Sealed[:count] {
		known := h.sealed[n.segmentID]
		size += hashSize * len(known.hashes)
		if size > indexSize && len(x.Segments) > 0 {
			break
		}
		x.Segments = append(x.Segments, indexed{name: n, Revision: string(known.revision), Hashes: known.hashes})
		until = max(until, n.Until)
	}
	stored, err := h.putNew(ctx, next, func(sequence uint64) any {
		x.Form, x.Sequence = form, sequence
		return x
	})
	if err != nil {
		return err
	}
	h.keepIndex(stored.id, x.Segments, stored.revision)
	next.Sealed = slices.Clone(next.Sealed[len(x.Segments):])
	next.Indexes = append(slices.Clone(next.Indexes), name{segmentID: stored.id, Size: stored.size, Until: until})
	return nil
}

// loadIndexes reads the indexes that are not known yet.
func (h *Shard) loadIndexes(ctx context.Context, names []name) error {
	return h.fetchUnknown(ctx, names, func(id segmentID, f fetched) error {
		if err := h.segmentError(id, f.err); err != nil {
			return err
		}
		x, err := decodeIndex(f.entry.Value)
		if err != nil {
			return err
		}
		if x.Sequence != id.Sequence {
			return fmt.Errorf("%w: sequence number %d, want %d", ErrForm, x.Sequence, id.Sequence)
		}
		h.keepIndex(id, x.Segments, f.entry.Revision)
		return nil
	})
}

// keepIndex notes what an index tells of its segments.
func (h *Shard) keepIndex(id segmentID, segments []indexed, revision jaywind.Revision) {
	ids := make([]segmentID, 0, len(segments))
	for _, x := range segments {
		ids = append(ids, x.segmentID)
		h.note(x.segmentID, sealed{hashes: x.Hashes, revision: jaywind.Revision(x.Revision)})
	}
	h.note(id, sealed{revision: revision, segments: ids})
}

// named returns the segments of a head, those in its indexes too, oldest first.
func (h *Shard) named(next head) []segmentID {
	var out []segmentID
	for _, n := range next.Indexes {
		out = append(out, h.sealed[n.segmentID].segments...)
	}
	for _, n := range next.Sealed {
		out = append(out, n.segmentID)
	}
	return out
}
