package claims

import (
	"context"
	"errors"
	"fmt"

	"github.com/sourcegraph/conc"

	"jaywind"
)

const (
	slotCount = 64       // keys of a shard's log, which are written in turn
	sealCount = 32       // entries of the log that are due to be sealed
	sealSize  = 64 << 10 // bytes of them that are due
)

// slot is a key of the log as this router knows it.
type slot struct {
	revision jaywind.Revision // empty while the key is absent
	known    bool
}

// tail is the part of the log that no segment holds yet, and what comes after.
type tail struct {
	recent map[jaywind.ClaimKey]jaywind.Claim // the rows of head and of the entries since head.Base
	size   int                                // bytes of them
	next   uint64                             // position of the entry to write next
	slots  [slotCount]slot
	base   uint64 // of the latest head that the entries tell of
	behind bool   // other routers may have written at next
}

// begin forgets the log but for the rows of a head of so many bytes.
func (t *tail) begin(h head, size int) {
	*t = tail{recent: index(h.Rows), next: h.Base, base: h.Base, behind: true}
	if len(h.Rows) > 0 {
		t.size = size
	}
}

// add takes the rows of the entry at next.
func (t *tail) add(rows []row, size int, revision jaywind.Revision) {
	for _, r := range rows {
		c := r.claim()
		t.recent[c.ID()] = c
	}
	t.size += size
	t.slots[t.next%slotCount] = slot{revision: revision, known: true}
	t.next++
}

// end notes the revision of the key that the next entry is to be written to.
func (t *tail) end(r jaywind.Revision) {
	t.slots[t.next%slotCount] = slot{revision: r, known: true}
	t.behind = false
}

// catchUp reads the entries that other routers have written, more at once the further it has to go.
func (h *Shard) catchUp(ctx context.Context) error {
	for width := 1; ; width = min(2*width, max(h.ReadAhead, 1)) {
		for _, f := range h.fetch(ctx, h.slotKeys(width)) {
			more, err := h.take(f)
			if err != nil || !more {
				return err
			}
		}
	}
}

// fetched is what a key of the store holds.
type fetched struct {
	entry jaywind.Entry
	err   error
}

// fetch reads keys at once.
func (h *Shard) fetch(ctx context.Context, keys []string) []fetched {
	out := make([]fetched, len(keys))
	if len(keys) == 1 {
		out[0].entry, out[0].err = h.Store.Get(ctx, keys[0])
		return out
	}
	var group conc.WaitGroup
	for i, key := range keys {
		group.Go(func() { out[i].entry, out[i].err = h.Store.Get(ctx, key) })
	}
	group.Wait()
	return out
}

// slotKeys returns the keys of the entry that is next and of those after it.
func (h *Shard) slotKeys(count int) []string {
	var out []string
	for i := range count {
		out = append(out, h.slotKey(h.tail.next+uint64(i)))
	}
	return out
}

// take adds the next entry if its key holds that one already, and tells whether it does.
func (h *Shard) take(f fetched) (more bool, err error) {
	t := &h.tail
	e := f.entry
	if errors.Is(f.err, jaywind.ErrKeyNotFound) && t.next < slotCount {
		t.end("")
		return false, nil
	}
	if errors.Is(f.err, jaywind.ErrKeyNotFound) {
		return false, fmt.Errorf("%w: entry %d of the log is missing", jaywind.ErrStoreUnavailable, t.next)
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
		t.base = max(t.base, g.Base)
		return true, nil
	case g.Position+slotCount == t.next: // still the entry of the round before
		t.end(e.Revision)
		return false, nil
	case g.Position > t.next: // the head is older than a round of the log
		h.loaded = false
		return false, jaywind.ErrRevisionConflict
	}
	return false, fmt.Errorf("%w: entry %d where %d is due", ErrForm, g.Position, t.next)
}

// append writes the entry that is next with the changed records.
//
// The key must still hold the entry of the round before, so the swap succeeds
// only if nobody has written this entry, and hence none after it either: what
// this router knows of the shard is the latest.
func (h *Shard) append(ctx context.Context, changed map[jaywind.ClaimKey]jaywind.Claim) error {
	t := &h.tail
	if !t.slots[t.next%slotCount].known {
		if more, err := h.take(h.fetch(ctx, h.slotKeys(1))[0]); err != nil || more {
			return errors.Join(err, conflictIf(more))
		}
	}
	rows := sortedRows(changed)
	value, err := encode(entry{Form: form, Position: t.next, Base: h.head.Base, Rows: rows})
	if err != nil {
		return err
	}
	if len(value) > jaywind.MaxValue {
		return fmt.Errorf("%w: entry of %d bytes", jaywind.ErrStoreUnavailable, len(value))
	}
	revision, err := h.Store.Swap(ctx, h.slotKey(t.next), value, t.slots[t.next%slotCount].revision)
	if err != nil {
		return err
	}
	t.add(rows, len(value), revision)
	return nil
}

func conflictIf(more bool) error {
	if more {
		return jaywind.ErrRevisionConflict
	}
	return nil
}

func (h *Shard) slotKey(position uint64) string {
	return fmt.Sprintf("claims-%d-log%d", h.Number, position%slotCount)
}
