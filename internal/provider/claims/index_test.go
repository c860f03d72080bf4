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

// withIndexes returns a store with a shard that has indexes, and the shard.
func withIndexes(is *is.I, now *time.Time, count int) (*store.Store, *Shard) {
	is.Helper()
	s := &store.Store{}
	h := &Shard{Store: s, Clock: (*clock)(now)}
	for n := 0; len(h.head.Indexes) < count; n++ {
		c := ithClaim(n)
		c.State = jaywind.ClaimAnswered
		c.Reply.Body = make([]byte, 32<<10)
		commitOne(is, h, c)
		*now = now.Add(sweepGrace)
		is.NoErr(h.Sweep(context.Background()))
	}
	return s, h
}

// TestIndexedClaimsAreFound holds that claims in segments which only an index names are found, by the router
// that wrote it and by another one, until their time has passed; then all of it is deleted.
func TestIndexedClaimsAreFound(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	s, h := withIndexes(is, &now, 2)
	fresh := &Shard{Store: s, Clock: (*clock)(&now), ReadAhead: 8}
	for _, h := range []*Shard{h, fresh} {
		for i := range 2 * indexCount {
			checkRecorded(is, h, i)
		}
		is.Equal(len(h.head.Indexes), 2)
	}
	old := len(h.segments)
	now = now.Add(retention)
	for i := range 4 * sealCount {
		call(is, fresh, 1_000_000+i)
	}
	is.Equal(len(fresh.head.Indexes), 0)
	for range 2 * old {
		now = now.Add(sweepGrace)
		is.NoErr(fresh.Sweep(context.Background()))
	}
	keys, _ := s.Held()
	is.Equal(keys, inUse(fresh, 0))
	is.True(len(fresh.segments) < indexCount)
	call(is, fresh, 0) // may be made again
}

// TestMissingIndexIsNoAbsentClaim holds that a shard whose index is lost takes no claim.
func TestMissingIndexIsNoAbsentClaim(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	s, h := withIndexes(is, &now, 1)
	key := h.segmentKey(h.head.Indexes[0].segmentID)
	e, err := s.Get(context.Background(), key)
	is.NoErr(err)
	is.NoErr(s.Delete(context.Background(), key, e.Revision))
	_, err = (&Shard{Store: s}).Commit(context.Background(), []jaywind.Claim{claimed("k", 1, jaywind.ClaimTaken)})
	is.True(errors.Is(err, jaywind.ErrStoreUnavailable))
}
