package claims

import (
	"context"
	"errors"
	"fmt"
	"maps"

	"jaywind"
)

const maxReplayedRows = 128 // claims that are recorded again in one log entry

// errRestored is returned when the store was restored from an older copy during a round, which may have been lost with it.
var errRestored = fmt.Errorf("%w: the store was restored", jaywind.ErrOutcomeUnknown)

// prefix returns the beginning of the keys of an era. Each era has its own keys, since the revisions of an earlier one may be given out
// again: a router that has missed a restore can only change keys that nobody uses any more.
func (h *Shard) prefix(era jaywind.Era) string {
	if era == 0 {
		return fmt.Sprintf("claims-%d", h.Number)
	}
	return fmt.Sprintf("claims-%d-e%d", h.Number, era)
}

// get reads a key. It fails if the store was restored since the shard was loaded, so that what is known of before is not replaced.
func (h *Shard) get(ctx context.Context, key string) (jaywind.Entry, error) {
	e, err := h.Store.Get(ctx, key)
	if h.Store.Era() != h.storeEra {
		return jaywind.Entry{}, errRestored
	}
	return e, err
}

// swap writes a key. It fails if the store was restored since the shard was loaded, as the revision may stand for another value.
func (h *Shard) swap(ctx context.Context, key string, value []byte, old jaywind.Revision) (jaywind.Revision, error) {
	revision, err := h.Store.Swap(ctx, key, value, old)
	if h.Store.Era() != h.storeEra {
		return "", errRestored
	}
	return revision, err
}

// enterEra forgets what was loaded in an earlier era, but not its claims, which the store may lack now.
func (h *Shard) enterEra(era jaywind.Era) {
	known := map[jaywind.ClaimKey]jaywind.Claim{}
	maps.Copy(known, h.replayed)
	for _, c := range h.cache {
		maps.Copy(known, c.claims)
	}
	maps.Copy(known, h.tail.recent)
	*h = Shard{Store: h.Store, Number: h.Number, Clock: h.Clock, Sleep: h.Sleep, ReadAhead: h.ReadAhead, Incomplete: h.Incomplete, era: era, storeEra: era, replayed: known}
}

// importEra writes the first head of the era from the latest earlier era that the store has.
func (h *Shard) importEra(ctx context.Context) error {
	for era := h.era - 1; era >= 0; era-- {
		old := &Shard{Store: h.Store, Number: h.Number, Clock: h.Clock, ReadAhead: h.ReadAhead, era: era, storeEra: h.storeEra}
		if _, err := h.get(ctx, old.headKey()); errors.Is(err, jaywind.ErrKeyNotFound) {
			continue
		} else if err != nil {
			return err
		}
		if err := old.load(ctx); err != nil {
			return err
		}
		return h.writeImported(ctx, old)
	}
	return nil
}

// writeImported writes the first head of the era, which refers to the segments of an earlier one. Its log becomes a segment.
func (h *Shard) writeImported(ctx context.Context, old *Shard) error {
	next := head{Format: currentFormat, Sealed: old.head.Sealed, LastSequence: old.head.LastSequence, Dropped: old.head.Dropped, Indexes: old.head.Indexes}
	if len(old.tail.recent) > 0 {
		n, err := h.writeSegment(ctx, &next, sortedRows(old.tail.recent))
		if err != nil {
			return err
		}
		next.Sealed = append(next.Sealed[:len(next.Sealed):len(next.Sealed)], n)
	}
	value, err := encode(next)
	if err != nil {
		return err
	}
	if _, err = h.swap(ctx, h.headKey(), value, ""); errors.Is(err, jaywind.ErrRevisionConflict) {
		return nil // another router was faster
	}
	return err
}

// replay records the claims of before the restore again that the store lacks.
func (h *Shard) replay(ctx context.Context) error {
	changed := map[jaywind.ClaimKey]jaywind.Claim{}
	for k, c := range h.replayed {
		old, err := h.find(ctx, k)
		if err != nil {
			return err
		}
		if now := replayed(old, c); now.State != old.State || now.Nonce != old.Nonce {
			changed[k] = now
		}
		delete(h.replayed, k)
		if len(changed) == maxReplayedRows {
			break
		}
	}
	if len(changed) == 0 {
		return nil
	}
	if err := h.write(ctx, changed); err != nil {
		maps.Copy(h.replayed, changed)
		return err
	}
	return h.replay(ctx)
}

// replayed returns the record of a key after a claim of before the restore was replayed.
//
// A claim by another nonce that is on record without a result may have been written by a router that had missed the restore, and be released
// later. So the key is not claimed again once the call may have run under the one that is replayed.
func replayed(old, c jaywind.Claim) jaywind.Claim {
	switch {
	case old.State == jaywind.ClaimNone:
		return c
	case old.Nonce == c.Nonce:
		now, _ := old.Apply(c)
		return now
	case c.State == jaywind.ClaimReleased || old.Final():
		return old
	case old.State == jaywind.ClaimTaken && c.State == jaywind.ClaimTaken:
		c.State = jaywind.ClaimUnknown
	}
	return c
}

// mayBeMissing reports whether a claim has to be refused since the record that rules it out may be among those that the store lacks.
func (h *Shard) mayBeMissing(old, want, now jaywind.Claim) bool {
	accepted := want.State == jaywind.ClaimTaken && now.State == jaywind.ClaimTaken && now.Nonce == want.Nonce
	releasesNothing := want.State == jaywind.ClaimReleased && old.State == jaywind.ClaimNone
	return (accepted || releasesNothing) && h.Incomplete != nil && h.Incomplete()
}
