package claims

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"jaywind"
	"jaywind/internal/standin/store"
)

// otherRouter is a router that commits other claims, seals them and sweeps merged segments.
type otherRouter struct {
	shard Shard
	now   time.Time
	count int
	reply int // bytes of each reply
}

func newOtherRouter(s jaywind.Store, reply int) *otherRouter {
	v := &otherRouter{now: time.Unix(1_800_000_000, 0), reply: reply}
	v.shard = Shard{Store: s, Clock: (*clock)(&v.now), Sleep: func(context.Context, time.Duration) {}}
	return v
}

// commit makes count commits.
func (v *otherRouter) commit(t *rapid.T, count int) {
	for range count {
		v.count++
		want := claimed(fmt.Sprint("other", v.count), 1, jaywind.ClaimAnswered)
		want.Reply.Body = make([]byte, v.reply)
		if _, err := v.shard.Commit(context.Background(), []jaywind.Claim{want}); err != nil {
			t.Fatal(err)
		}
		v.now = v.now.Add(deletionDelay / 4)
		if err := v.shard.Sweep(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
}

// commitCounts are numbers of commits around those at which the log is sealed or its keys are reused.
var commitCounts = []int{0, 1, 5, sealAfterEntries - 1, sealAfterEntries, sealAfterEntries + 1, logSlots - 1, logSlots, logSlots + 1, 2 * logSlots, sealAfterEntries * mergeAfterSegments}

// TestInterleavingsInALog interleaves claimants at a shard while another router seals its log, reuses
// the log's keys and sweeps segments. At most one claimant may run the call.
func TestInterleavingsInALog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &store.Store{}
		other := newOtherRouter(s, rapid.SampledFrom([]int{0, 16 << 10}).Draw(t, "reply"))
		other.commit(t, rapid.SampledFrom(commitCounts).Draw(t, "before"))
		interleave(t, s, faultOdds{fault: 20, crash: 100}, rapid.IntRange(1, 3).Draw(t, "warm"), func() {
			if rapid.IntRange(0, 20).Draw(t, "rival") == 20 {
				other.commit(t, rapid.SampledFrom(commitCounts).Draw(t, "between"))
			}
		})
		for _, h := range []*Shard{{Store: s}, &other.shard} { // the shard stays usable after any interleaving
			out, err := h.Commit(context.Background(), []jaywind.Claim{claimed("last", 1, jaywind.ClaimTaken)})
			if err != nil || out[0].Nonce != 1 {
				t.Fatal(out, err)
			}
		}
	})
}

// TestMissingEntryIsNoAbsentClaim checks that a log key that the store has lost is not taken for the end of the log.
func TestMissingEntryIsNoAbsentClaim(t *testing.T) {
	is := is.New(t)
	s := &store.Store{}
	h := &Shard{Store: s}
	for h.tail.next < 2*logSlots-sealAfterEntries/2 {
		recordCall(is, h, int(h.tail.next))
	}
	lost := h.slotKey(h.tail.next - 1)
	e, err := s.Get(context.Background(), lost)
	is.NoErr(err)
	is.NoErr(s.Delete(context.Background(), lost, e.Revision))
	_, err = (&Shard{Store: s}).Commit(context.Background(), []jaywind.Claim{claimed("k", 1, jaywind.ClaimTaken)})
	is.True(errors.Is(err, jaywind.ErrStoreUnavailable))
}

// TestFormerFormIsTakenOver checks that claims recorded in the oldest format are found, and that a router
// that writes that format can't commit any more once one of this version has.
func TestFormerFormIsTakenOver(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := &store.Store{}
	h := &Shard{Store: s}
	hash := segmentID{Hash: 7}
	value, err := encode(segment{Format: oldestFormat, Rows: []row{rowOf(claimed("sealed", 1, jaywind.ClaimTaken))}})
	is.NoErr(err)
	_, err = s.Swap(ctx, h.segmentKey(hash), value, "")
	is.NoErr(err)
	former := head{
		Format: oldestFormat,
		Rows:   []row{rowOf(claimed("open", 1, jaywind.ClaimAnswered))},
		Sealed: []segmentRef{{segmentID: hash, Size: len(value), ExpiresAt: time.Now().Add(retention).Unix()}},
	}
	value, err = encode(former)
	is.NoErr(err)
	revision, err := s.Swap(ctx, h.headKey(), value, "")
	is.NoErr(err)
	is.Equal(commitOne(is, h, claimed("sealed", 2, jaywind.ClaimTaken)).Nonce, jaywind.Nonce(1))
	is.Equal(commitOne(is, h, claimed("first", 1, jaywind.ClaimTaken)).Nonce, jaywind.Nonce(1))
	_, err = s.Swap(ctx, h.headKey(), value, revision)
	is.True(errors.Is(err, jaywind.ErrRevisionConflict)) // the next commit of a router that writes the oldest format
	for i := range 3 * sealAfterEntries {
		recordCall(is, h, i)
		for _, key := range []string{"sealed", "open", "first"} {
			is.Equal(commitOne(is, h, claimed(key, 2, jaywind.ClaimTaken)).Nonce, jaywind.Nonce(1))
		}
	}
	fresh := &Shard{Store: s}
	for _, key := range []string{"sealed", "open", "first"} {
		is.Equal(commitOne(is, fresh, claimed(key, 2, jaywind.ClaimTaken)).Nonce, jaywind.Nonce(1))
	}
}

// TestOldKnowledgeIsNoAnswer checks that a router that knows a claim as taken reads the shard again before it returns it.
func TestOldKnowledgeIsNoAnswer(t *testing.T) {
	is := is.New(t)
	s := &store.Store{}
	old, other := &Shard{Store: s}, &Shard{Store: s}
	commitOne(is, old, claimed("k", 1, jaywind.ClaimTaken))
	commitOne(is, other, claimed("k", 1, jaywind.ClaimReleased))
	is.Equal(commitOne(is, old, claimed("k", 2, jaywind.ClaimTaken)).Nonce, jaywind.Nonce(2))
	commitOne(is, other, claimed("k", 2, jaywind.ClaimAnswered))
	is.Equal(commitOne(is, old, claimed("k", 3, jaywind.ClaimTaken)).State, jaywind.ClaimAnswered)
}
