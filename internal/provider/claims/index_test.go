package claims

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/internal/standin/store"
)

// storeWithIndexes returns a store and a shard with count indexes.
func storeWithIndexes(is *is.I, now *time.Time, count int) (*store.Store, *Shard) {
	is.Helper()
	s := &store.Store{}
	h := &Shard{Store: s, Clock: (*clock)(now)}
	for n := 0; len(h.head.Indexes) < count; n++ {
		c := ithClaim(n)
		c.State = jaywind.ClaimAnswered
		c.Reply.Body = make([]byte, 32<<10)
		commitOne(is, h, c)
		*now = now.Add(deletionDelay)
		is.NoErr(h.Sweep(context.Background()))
	}
	return s, h
}

// TestIndexedClaimsAreFound checks that claims in segments that only an index references are found, by the
// router that wrote it and by another one, and that all of them are deleted after the retention time.
func TestIndexedClaimsAreFound(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	s, h := storeWithIndexes(is, &now, 2)
	fresh := &Shard{Store: s, Clock: (*clock)(&now), ReadAhead: 8}
	for _, h := range []*Shard{h, fresh} {
		for i := range 2 * indexAfterSegments {
			checkRecorded(is, h, i)
		}
		is.Equal(len(h.head.Indexes), 2)
	}
	old := len(h.segments)
	now = now.Add(retention)
	for i := range 4 * sealAfterEntries {
		recordCall(is, fresh, 1_000_000+i)
	}
	is.Equal(len(fresh.head.Indexes), 0)
	for range 2 * old {
		now = now.Add(deletionDelay)
		is.NoErr(fresh.Sweep(context.Background()))
	}
	keys, _ := s.Usage()
	is.Equal(keys, keysInUse(fresh, 0))
	is.True(len(fresh.segments) < indexAfterSegments)
	recordCall(is, fresh, 0) // expired, so the key can be claimed again
}

// TestMissingIndexIsNoAbsentClaim checks that a shard accepts no claim when one of its indexes is missing.
func TestMissingIndexIsNoAbsentClaim(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	s, h := storeWithIndexes(is, &now, 1)
	key := h.segmentKey(h.head.Indexes[0].segmentID)
	e, err := s.Get(context.Background(), key)
	is.NoErr(err)
	is.NoErr(s.Delete(context.Background(), key, e.Revision))
	_, err = (&Shard{Store: s}).Commit(context.Background(), []jaywind.Claim{claimed("k", 1, jaywind.ClaimTaken)})
	is.True(errors.Is(err, jaywind.ErrStoreUnavailable))
}
