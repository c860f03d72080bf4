package claims

import (
	"context"
	"errors"
	"slices"
	"time"

	"jaywind"
)

const (
	sweepGrace = time.Minute            // a reader of an old head is done sooner: a batch may take 3 s
	sweepSpace = 100 * time.Millisecond // between two sweeps of a shard
	sweepLimit = 4                      // deletions of one sweep
	sweepShare = 64                     // segments that are due for each further deletion of a sweep
)

// garbage is a segment that the head lists as dropped.
type garbage struct {
	id       segmentID
	since    time.Time        // when this router first saw it listed
	revision jaywind.Revision // empty where this router has not read or written it
	deleted  bool             // to be left out of the next head
}

// Sweep deletes a few of the segments that no head has named for a minute.
//
// Deleting too soon harms no claim: who finds a segment missing reads the head
// again, or takes nothing for absent. What is deleted leaves the list with the
// next swap of the head.
func (h *Shard) Sweep(ctx context.Context) error {
	now := h.now()
	if !h.loaded || now.Sub(h.swept) < sweepSpace {
		return nil
	}
	h.swept = now
	due := h.due(now)
	limit := min(1+len(due)/sweepShare, sweepLimit, len(due))
	for _, g := range due[:limit] {
		if err := h.remove(ctx, g); err != nil {
			return err
		}
	}
	return nil
}

// due returns what may be deleted.
func (h *Shard) due(now time.Time) []*garbage {
	var out []*garbage
	for i := range h.garbage {
		g := &h.garbage[i]
		if !g.deleted && now.Sub(g.since) >= sweepGrace {
			out = append(out, g)
		}
	}
	return out
}

// remove deletes a segment; one whose deletion had its reply lost is found absent the next time.
func (h *Shard) remove(ctx context.Context, g *garbage) error {
	key := h.segmentKey(g.id)
	if g.revision == "" {
		e, err := h.Store.Get(ctx, key)
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
		g.revision = "" // to be read the next time
	}
	if err != nil && !errors.Is(err, jaywind.ErrKeyNotFound) {
		return err
	}
	g.deleted = true
	return nil
}

// noteDropped takes the list of the head that was adopted.
func (h *Shard) noteDropped() {
	var next []garbage
	for _, id := range h.head.Dropped {
		at := slices.IndexFunc(h.garbage, func(g garbage) bool { return g.id == id })
		if at >= 0 {
			next = append(next, h.garbage[at])
			continue
		}
		next = append(next, garbage{id: id, since: h.now(), revision: h.sealed[id].revision})
	}
	h.garbage = next
}

// listed returns the dropped segments that are not known to be deleted.
func (h *Shard) listed() []segmentID {
	var out []segmentID
	for _, g := range h.garbage {
		if !g.deleted {
			out = append(out, g.id)
		}
	}
	return out
}
