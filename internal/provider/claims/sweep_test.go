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

// counting counts the bytes of the values that are written.
type counting struct {
	*store.Store
	written int // bytes
}

// Swap counts the value.
func (c *counting) Swap(ctx context.Context, key string, value []byte, old jaywind.Revision) (jaywind.Revision, error) {
	c.written += len(value)
	return c.Store.Swap(ctx, key, value, old)
}

// call makes the i-th once-only call of a long run: a claim, then an answer to record.
func call(is *is.I, h *Shard, i int) {
	is.Helper()
	c := ithClaim(i)
	commitOne(is, h, c)
	c.State = jaywind.ClaimAnswered
	c.Reply = jaywind.Reply{Status: 200, Body: make([]byte, 200)}
	commitOne(is, h, c)
}

// ithClaim returns a claim of the usual size.
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

// checkRecorded asks for the i-th call again, as another claimant, and finds it answered.
func checkRecorded(is *is.I, h *Shard, i int) {
	is.Helper()
	c := ithClaim(i)
	c.Nonce = 1
	got := commitOne(is, h, c)
	is.Equal(got.State, jaywind.ClaimAnswered)
	is.Equal(got.Nonce, ithClaim(i).Nonce)
}

// inUse returns how many keys a shard has for its head, its log, its segments and those that it lists as dropped.
func inUse(h *Shard, dropped int) int {
	return 1 + int(min(h.tail.next, slotCount)) + len(h.segments) + len(h.head.Indexes) + dropped
}

// TestGarbageIsDeleted holds that over two days the store keeps nothing but what the head names or has
// dropped within the last minute, and tells what it keeps.
func TestGarbageIsDeleted(t *testing.T) {
	for _, every := range []time.Duration{20 * time.Second, 5 * time.Second} {
		t.Run(every.String(), func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1_800_000_000, 0)
			s := &counting{Store: &store.Store{}}
			h := &Shard{Store: s, Clock: (*clock)(&now)}
			const span = 49 * time.Hour
			count := int(span / every)
			for i := range count {
				call(is, h, i)
				is.NoErr(h.Sweep(context.Background()))
				now = now.Add(every)
			}
			keys, bytes := s.Held()
			t.Logf("%d calls: %d keys, %d bytes kept, %d segments named, %d bytes written and %.2f store calls a call",
				count, keys, bytes, len(h.segments), s.written/count, float64(s.Calls())/float64(count))
			is.Equal(keys, inUse(h, len(h.listed())))
			is.True(len(h.listed()) <= 1+mergeCount) // of one seal and one merge
		})
	}
}

// dirty returns a store with segments that a head has dropped more than a minute ago.
func dirty(is *is.I, now *time.Time) (*store.Store, *Shard) {
	is.Helper()
	s := &store.Store{}
	h := &Shard{Store: s, Clock: (*clock)(now)}
	for i := 0; len(h.listed()) < mergeCount; i++ {
		call(is, h, i)
	}
	is.NoErr(h.Sweep(context.Background()))
	keys, _ := s.Held()
	is.Equal(keys, inUse(h, len(h.head.Dropped))) // nothing was deleted within the minute
	*now = now.Add(sweepGrace)
	return s, h
}

// TestSweepThroughFaults holds that a deletion that fails is made good, by the same router or another one.
func TestSweepThroughFaults(t *testing.T) {
	tests := map[string]struct {
		faults  store.Faults
		another bool // another router takes the shard over
		rival   bool // another router deletes the same segments at once
	}{
		"no fault":            {},
		"reply lost":          {faults: store.Faults{Lose: 1}},
		"call lost":           {faults: store.Faults{Drop: 1}},
		"store down":          {faults: store.Faults{Down: true}},
		"another router":      {another: true},
		"both routers":        {rival: true},
		"another, store down": {another: true, faults: store.Faults{Down: true}},
		"both, reply lost":    {rival: true, faults: store.Faults{Lose: 1}},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1_800_000_000, 0)
			s, h := dirty(is, &now)
			ctx := context.Background()
			sweepers := []*Shard{h}
			if c.another || c.rival {
				other := &Shard{Store: s, Clock: (*clock)(&now)}
				commitOne(is, other, claimed("other", 1, jaywind.ClaimTaken))
				now = now.Add(sweepGrace)
				sweepers = append(sweepers, other)
			}
			if c.another {
				sweepers = sweepers[1:]
			}
			s.Set(c.faults)
			failed := sweepers[0].Sweep(ctx) != nil
			is.Equal(failed, c.faults != (store.Faults{}))
			s.Set(store.Faults{})
			for range 2 * mergeCount {
				now = now.Add(sweepSpace)
				for _, h := range sweepers {
					is.NoErr(h.Sweep(ctx))
				}
			}
			for _, h := range sweepers {
				is.Equal(len(h.listed()), 0)
			}
			keys, _ := s.Held()
			is.Equal(keys, inUse(h, 0))
			fresh := &Shard{Store: s, Clock: (*clock)(&now)}
			checkRecorded(is, fresh, 0)
		})
	}
}

// TestOldHeadAfterTheSweep holds that a router which still has a head whose segments were merged and
// deleted finds the claims in those that took their place.
func TestOldHeadAfterTheSweep(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	s, h := dirty(is, &now)
	old := &Shard{Store: s, Clock: (*clock)(&now)}
	call(is, old, 0)
	is.True(len(old.head.Sealed) > 0)
	for i := 1000; len(h.listed()) < 2*mergeCount; i++ {
		call(is, h, i)
	}
	for range 3 * mergeCount {
		now = now.Add(sweepGrace)
		is.NoErr(h.Sweep(context.Background()))
	}
	old.cache = nil // as after reading other segments
	checkRecorded(is, old, 1)
}

// TestSealFindsAnotherValue holds that a segment which another router left without swapping the head is
// taken up if it is the same, and is passed over and deleted if it is another one.
func TestSealFindsAnotherValue(t *testing.T) {
	for name, same := range map[string]bool{"same": true, "other": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1_800_000_000, 0)
			s := &store.Store{}
			h := &Shard{Store: s, Clock: (*clock)(&now)}
			for i := 0; len(h.head.Sealed) < 2; i++ {
				call(is, h, i)
			}
			call(is, h, -1)
			rows := sortedRows(h.tail.recent)
			if !same {
				rows = nil
			}
			value, err := encode(segment{Form: form, Rows: rows, Sequence: h.head.Last + 1})
			is.NoErr(err)
			_, err = s.Swap(context.Background(), h.segmentKey(segmentID{Sequence: h.head.Last + 1}), value, "")
			is.NoErr(err)
			next := h.head
			n, err := h.seal(context.Background(), &next, sortedRows(h.tail.recent))
			is.NoErr(err)
			is.Equal(n.Sequence == h.head.Last+1, same)
			is.Equal(len(next.Dropped), map[bool]int{true: 0, false: 1}[same])
		})
	}
}
