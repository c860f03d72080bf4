package claims

import (
	"context"
	"errors"
	"slices"
	"time"

	"jaywind"
)

const (
	deletionDelay       = time.Minute            // longer than a reader may use an old head: a batch takes at most 3 s
	minSweepInterval    = 100 * time.Millisecond // between two sweeps of a shard
	maxSweepDeletions   = 4                      // deletions in one sweep
	segmentsPerDeletion = 64                     // due segments for each deletion after the first
)

// droppedSegment is a segment or an index that the head lists as dropped.
type droppedSegment struct {
	id       segmentID
	since    time.Time        // when this router first saw it listed
	revision jaywind.Revision // empty if this router has neither read nor written it
	deleted  bool             // no longer listed in the next head
}

// Sweep deletes a few of the segments that were dropped from the head at least a minute ago.
//
// Deleting too early loses no claim: a router that finds a segment missing
// reloads the head, or fails the commit rather than treating claims as absent.
// Deleted segments leave the dropped list with the next swap of the head.
func (h *Shard) Sweep(ctx context.Context) error {
	now := h.now()
	if !h.loaded || now.Sub(h.lastSweep) < minSweepInterval {
		return nil
	}
	h.lastSweep = now
	due := h.dueDeletions(now)
	limit := min(1+len(due)/segmentsPerDeletion, maxSweepDeletions, len(due))
	for _, g := range due[:limit] {
		if err := h.deleteSegment(ctx, g); err != nil {
			return err
		}
	}
	return nil
}

// dueDeletions returns the dropped segments that may be deleted now.
func (h *Shard) dueDeletions(now time.Time) []*droppedSegment {
	var out []*droppedSegment
	for i := range h.dropped {
		g := &h.dropped[i]
		if !g.deleted && now.Sub(g.since) >= deletionDelay {
			out = append(out, g)
		}
	}
	return out
}

// deleteSegment deletes a segment. If the reply to a deletion is lost, the next sweep finds the segment absent.
func (h *Shard) deleteSegment(ctx context.Context, g *droppedSegment) error {
	key := h.segmentKey(g.id)
	if g.revision == "" {
		e, err := h.get(ctx, key)
		if err != nil && !errors.Is(err, jaywind.ErrKeyNotFound) {
			return err
		}
		g.revision = e.Revision
		g.deleted = err != nil
	}
	if g.deleted {
		return nil
	}
	err := h.Store.Delete(ctx, key, g.revision)
	if errors.Is(err, jaywind.ErrRevisionConflict) {
		g.revision = "" // read again by the next sweep
	}
	if err != nil && !errors.Is(err, jaywind.ErrKeyNotFound) {
		return err
	}
	g.deleted = true
	return nil
}

// updateDropped updates the list of dropped segments from the current head.
func (h *Shard) updateDropped() {
	var next []droppedSegment
	for _, id := range h.head.Dropped {
		at := slices.IndexFunc(h.dropped, func(g droppedSegment) bool { return g.id == id })
		if at >= 0 {
			next = append(next, h.dropped[at])
			continue
		}
		next = append(next, droppedSegment{id: id, since: h.now(), revision: h.info[id].revision})
	}
	h.dropped = next
}

// pendingDeletions returns the dropped segments that are not known to be deleted.
func (h *Shard) pendingDeletions() []segmentID {
	var out []segmentID
	for _, g := range h.dropped {
		if !g.deleted {
			out = append(out, g.id)
		}
	}
	return out
}
