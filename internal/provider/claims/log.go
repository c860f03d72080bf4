package claims

import (
	"context"
	"errors"
	"fmt"

	"github.com/sourcegraph/conc"

	"jaywind"
)

const (
	logSlots         = 64       // keys of a shard's log, used as a ring
	sealAfterEntries = 32       // log entries after which the log is sealed
	sealAfterBytes   = 64 << 10 // bytes of log entries after which the log is sealed
)

// slot is what this router knows of one log key.
type slot struct {
	revision jaywind.Revision // empty if the key is absent
	valid    bool             // whether revision is known
}

// tail is the part of the log that is not in a segment yet, and the position to write next.
type tail struct {
	recent     map[jaywind.ClaimKey]jaywind.Claim // rows of the head and of the log entries since head.Base
	size       int                                // bytes of these rows as stored
	next       uint64                             // position of the next entry to write
	slots      [logSlots]slot
	latestBase uint64 // highest Base in the entries read
	stale      bool   // other routers may have written entries from next on
}

// reset restarts from a head whose encoding has size bytes.
func (t *tail) reset(h head, size int) {
	*t = tail{recent: claimsByKey(h.Rows), next: h.Base, latestBase: h.Base, stale: true}
	if len(h.Rows) > 0 {
		t.size = size
	}
}

// add applies the rows of the entry at next and advances next.
func (t *tail) add(rows []row, size int, revision jaywind.Revision) {
	for _, r := range rows {
		c := r.claim()
		t.recent[c.ID()] = c
	}
	t.size += size
	t.slots[t.next%logSlots] = slot{revision: revision, valid: true}
	t.next++
}

// markEnd records that the log ends here; r is the revision of the key that takes the next entry.
func (t *tail) markEnd(r jaywind.Revision) {
	t.slots[t.next%logSlots] = slot{revision: r, valid: true}
	t.stale = false
}

// catchUp reads the entries that other routers have written, doubling the number of parallel reads each round.
func (h *Shard) catchUp(ctx context.Context) error {
	for width := 1; ; width = min(2*width, max(h.ReadAhead, 1)) {
		for _, f := range h.fetch(ctx, h.slotKeys(width)) {
			more, err := h.appendFetched(f)
			if err != nil || !more {
				return err
			}
		}
	}
}

// fetched is the result of reading one key.
type fetched struct {
	entry jaywind.Entry
	err   error
}

// fetch reads keys in parallel.
func (h *Shard) fetch(ctx context.Context, keys []string) []fetched {
	out := make([]fetched, len(keys))
	if len(keys) == 1 {
		out[0].entry, out[0].err = h.get(ctx, keys[0])
		return out
	}
	var group conc.WaitGroup
	for i, key := range keys {
		group.Go(func() { out[i].entry, out[i].err = h.get(ctx, key) })
	}
	group.Wait()
	return out
}

// slotKeys returns the keys of the next count entries.
func (h *Shard) slotKeys(count int) []string {
	var out []string
	for i := range count {
		out = append(out, h.slotKey(h.tail.next+uint64(i)))
	}
	return out
}

// appendFetched applies the next entry if its key already holds it, and reports whether it did.
func (h *Shard) appendFetched(f fetched) (more bool, err error) {
	t := &h.tail
	e := f.entry
	if errors.Is(f.err, jaywind.ErrKeyNotFound) && t.next < logSlots {
		t.markEnd("")
		return false, nil
	}
	if errors.Is(f.err, jaywind.ErrKeyNotFound) {
		return false, fmt.Errorf("%w: log entry %d is missing", jaywind.ErrStoreUnavailable, t.next)
	}
	if f.err != nil {
		return false, f.err
	}
	g, err := decodeEntry(e.Value)
	if err != nil {
		return false, err
	}
	switch {
	case g.Position == t.next:
		t.add(g.Rows, len(e.Value), e.Revision)
		t.latestBase = max(t.latestBase, g.Base)
		return true, nil
	case g.Position+logSlots == t.next: // still the entry of the previous lap of the ring
		t.markEnd(e.Revision)
		return false, nil
	case g.Position > t.next && h.era < h.storeEra: // left by a router that had missed the restore, in place of the entry
		t.add(g.Rows, len(e.Value), e.Revision)
		return true, nil
	case g.Position > t.next: // the log has lapped this head
		h.loaded = false
		return false, jaywind.ErrRevisionConflict
	}
	return false, fmt.Errorf("%w: log entry %d found where %d was expected", ErrFormat, g.Position, t.next)
}

// append writes the next log entry with the changed records.
//
// The key must still hold the entry of the previous lap, so the swap succeeds
// only if no router has written this entry, and therefore none after it: this
// router's view of the shard is up to date.
func (h *Shard) append(ctx context.Context, changed map[jaywind.ClaimKey]jaywind.Claim) error {
	t := &h.tail
	if !t.slots[t.next%logSlots].valid {
		if more, err := h.appendFetched(h.fetch(ctx, h.slotKeys(1))[0]); err != nil || more {
			return errors.Join(err, conflictIfAppended(more))
		}
	}
	rows := sortedRows(changed)
	value, err := encode(logEntry{Format: currentFormat, Position: t.next, Base: h.head.Base, Rows: rows})
	if err != nil {
		return err
	}
	if len(value) > jaywind.MaxValue {
		return fmt.Errorf("%w: log entry of %d bytes is too large", jaywind.ErrStoreUnavailable, len(value))
	}
	revision, err := h.swap(ctx, h.slotKey(t.next), value, t.slots[t.next%logSlots].revision)
	if err != nil {
		return err
	}
	t.add(rows, len(value), revision)
	return nil
}

func conflictIfAppended(more bool) error {
	if more {
		return jaywind.ErrRevisionConflict
	}
	return nil
}

func (h *Shard) slotKey(position uint64) string {
	return fmt.Sprintf("%s-log%d", h.prefix(h.era), position%logSlots)
}
