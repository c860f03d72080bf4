package claims

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/internal/standin/store"
)

// writeCounter counts the bytes of the values that are written.
type writeCounter struct {
	*store.Store
	written int // bytes
}

// Swap adds the size of the value.
func (c *writeCounter) Swap(ctx context.Context, key string, value []byte, old jaywind.Revision) (jaywind.Revision, error) {
	c.written += len(value)
	return c.Store.Swap(ctx, key, value, old)
}

// recordCall makes the i-th call of a long run: it commits a claim and then the call's answer.
func recordCall(is *is.I, h *Shard, i int) {
	is.Helper()
	c := ithClaim(i)
	commitOne(is, h, c)
	c.State = jaywind.ClaimAnswered
	c.Reply = jaywind.Reply{Status: 200, Body: make([]byte, 200)}
	commitOne(is, h, c)
}

// ithClaim returns the i-th claim, of a typical size.
func ithClaim(i int) jaywind.Claim {
	return jaywind.Claim{
		Organisation: "lagos",
		Service:      "bind",
		Key:          jaywind.IdempotencyKey(fmt.Sprintf("%036d", i)),
		Body:         jaywind.Digest(i) << 40,
		Nonce:        jaywind.Nonce(i+1) << 40,
		State:        jaywind.ClaimTaken,
	}
}

// checkRecorded claims the i-th call again as another claimant and expects the recorded answer.
func checkRecorded(is *is.I, h *Shard, i int) {
	is.Helper()
	c := ithClaim(i)
	c.Nonce = 1
	got := commitOne(is, h, c)
	is.Equal(got.State, jaywind.ClaimAnswered)
	is.Equal(got.Nonce, ithClaim(i).Nonce)
}

// keysInUse returns the number of store keys of a shard: its head, log, segments and indexes, and a
// given number of dropped segments that are not deleted yet.
func keysInUse(h *Shard, dropped int) int {
	return 1 + int(min(h.tail.next, logSlots)) + len(h.segments) + len(h.head.Indexes) + dropped
}

// TestGarbageIsDeleted checks that over two days the store holds nothing but what the head references or
// dropped within the last minute, and logs how much that is.
func TestGarbageIsDeleted(t *testing.T) {
	for _, every := range []time.Duration{20 * time.Second, 5 * time.Second} {
		t.Run(every.String(), func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1_800_000_000, 0)
			s := &writeCounter{Store: &store.Store{}}
			h := &Shard{Store: s, Clock: (*clock)(&now)}
			const span = 49 * time.Hour
			count := int(span / every)
			for i := range count {
				recordCall(is, h, i)
				is.NoErr(h.Sweep(context.Background()))
				now = now.Add(every)
			}
			keys, bytes := s.Usage()
			t.Logf("%d calls: %d keys, %d bytes kept, %d segments named, %d bytes written and %.2f store calls a call",
				count, keys, bytes, len(h.segments), s.written/count, float64(s.Calls())/float64(count))
			is.Equal(keys, keysInUse(h, len(h.pendingDeletions())))
			is.True(len(h.pendingDeletions()) <= 1+mergeAfterSegments) // dropped by one seal and one merge
		})
	}
}

// storeWithDropped returns a store with segments that the head dropped a minute ago, and the shard.
func storeWithDropped(is *is.I, now *time.Time) (*store.Store, *Shard) {
	is.Helper()
	s := &store.Store{}
	h := &Shard{Store: s, Clock: (*clock)(now)}
	for i := 0; len(h.pendingDeletions()) < mergeAfterSegments; i++ {
		recordCall(is, h, i)
	}
	is.NoErr(h.Sweep(context.Background()))
	keys, _ := s.Usage()
	is.Equal(keys, keysInUse(h, len(h.head.Dropped))) // nothing is deleted within a minute
	*now = now.Add(deletionDelay)
	return s, h
}

// TestSweepThroughFaults checks that a failed deletion is repeated, by the same router or by another one.
func TestSweepThroughFaults(t *testing.T) {
	tests := map[string]struct {
		faults  store.Faults
		another bool // another router takes over the shard
		rival   bool // another router deletes the same segments concurrently
	}{
		"no fault":            {},
		"reply lost":          {faults: store.Faults{LoseReplies: 1}},
		"call lost":           {faults: store.Faults{LoseCalls: 1}},
		"store down":          {faults: store.Faults{Down: true}},
		"another router":      {another: true},
		"both routers":        {rival: true},
		"another, store down": {another: true, faults: store.Faults{Down: true}},
		"both, reply lost":    {rival: true, faults: store.Faults{LoseReplies: 1}},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1_800_000_000, 0)
			s, h := storeWithDropped(is, &now)
			ctx := context.Background()
			sweepers := []*Shard{h}
			if c.another || c.rival {
				other := &Shard{Store: s, Clock: (*clock)(&now)}
				commitOne(is, other, claimed("other", 1, jaywind.ClaimTaken))
				now = now.Add(deletionDelay)
				sweepers = append(sweepers, other)
			}
			if c.another {
				sweepers = sweepers[1:]
			}
			s.SetFaults(c.faults)
			failed := sweepers[0].Sweep(ctx) != nil
			is.Equal(failed, c.faults != (store.Faults{}))
			s.SetFaults(store.Faults{})
			for range 2 * mergeAfterSegments {
				now = now.Add(minSweepInterval)
				for _, h := range sweepers {
					is.NoErr(h.Sweep(ctx))
				}
			}
			for _, h := range sweepers {
				is.Equal(len(h.pendingDeletions()), 0)
			}
			keys, _ := s.Usage()
			is.Equal(keys, keysInUse(h, 0))
			fresh := &Shard{Store: s, Clock: (*clock)(&now)}
			checkRecorded(is, fresh, 0)
		})
	}
}

// TestOldHeadAfterTheSweep checks that a router with an outdated head, whose segments have been merged and
// deleted, finds the claims in the segments that replaced them.
func TestOldHeadAfterTheSweep(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	s, h := storeWithDropped(is, &now)
	old := &Shard{Store: s, Clock: (*clock)(&now)}
	recordCall(is, old, 0)
	is.True(len(old.head.Sealed) > 0)
	for i := 1000; len(h.pendingDeletions()) < 2*mergeAfterSegments; i++ {
		recordCall(is, h, i)
	}
	for range 3 * mergeAfterSegments {
		now = now.Add(deletionDelay)
		is.NoErr(h.Sweep(context.Background()))
	}
	old.cache = nil // as if evicted by other segments
	checkRecorded(is, old, 1)
}

// TestSealFindsAnotherValue checks a segment that another router wrote without swapping the head: it is
// used if it is equal, and otherwise skipped and listed for deletion.
func TestSealFindsAnotherValue(t *testing.T) {
	for name, same := range map[string]bool{"same": true, "other": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1_800_000_000, 0)
			s := &store.Store{}
			h := &Shard{Store: s, Clock: (*clock)(&now)}
			for i := 0; len(h.head.Sealed) < 2; i++ {
				recordCall(is, h, i)
			}
			recordCall(is, h, -1)
			rows := sortedRows(h.tail.recent)
			if !same {
				rows = nil
			}
			value, err := encode(segment{Format: currentFormat, Rows: rows, Sequence: h.head.LastSequence + 1})
			is.NoErr(err)
			_, err = s.Swap(context.Background(), h.segmentKey(segmentID{Sequence: h.head.LastSequence + 1}), value, "")
			is.NoErr(err)
			next := h.head
			n, err := h.writeSegment(context.Background(), &next, sortedRows(h.tail.recent))
			is.NoErr(err)
			is.Equal(n.Sequence == h.head.LastSequence+1, same)
			is.Equal(len(next.Dropped), map[bool]int{true: 0, false: 1}[same])
		})
	}
}
