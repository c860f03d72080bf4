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

// rival is a router that commits other claims, seals them and deletes what has been merged.
type rival struct {
	shard Shard
	now   time.Time
	count int
	reply int // bytes of each answer
}

func newRival(s jaywind.Store, reply int) *rival {
	v := &rival{now: time.Unix(1_800_000_000, 0), reply: reply}
	v.shard = Shard{Store: s, Clock: (*clock)(&v.now), Sleep: func(context.Context, time.Duration) {}}
	return v
}

// commit makes so many commits.
func (v *rival) commit(t *rapid.T, count int) {
	for range count {
		v.count++
		want := claimed(fmt.Sprint("other", v.count), 1, jaywind.ClaimAnswered)
		want.Reply.Body = make([]byte, v.reply)
		if _, err := v.shard.Commit(context.Background(), []jaywind.Claim{want}); err != nil {
			t.Fatal(err)
		}
		v.now = v.now.Add(sweepGrace / 4)
		if err := v.shard.Sweep(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
}

// commitCounts are those at which a log is sealed or its keys are written again, and others.
var commitCounts = []int{0, 1, 5, sealCount - 1, sealCount, sealCount + 1, slotCount - 1, slotCount, slotCount + 1, 2 * slotCount, sealCount * mergeCount}

// TestInterleavingsInALog lets claimants take turns at a shard whose log is sealed, written again from
// its start and swept in between by another router.
func TestInterleavingsInALog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &store.Store{}
		other := newRival(s, rapid.SampledFrom([]int{0, 16 << 10}).Draw(t, "reply"))
		other.commit(t, rapid.SampledFrom(commitCounts).Draw(t, "before"))
		interleave(t, s, odds{bent: 20, crash: 100}, rapid.IntRange(1, 3).Draw(t, "warm"), func() {
			if rapid.IntRange(0, 20).Draw(t, "rival") == 20 {
				other.commit(t, rapid.SampledFrom(commitCounts).Draw(t, "between"))
			}
		})
		for _, h := range []*Shard{{Store: s}, &other.shard} { // whatever happened, the shard can be used
			out, err := h.Commit(context.Background(), []jaywind.Claim{claimed("last", 1, jaywind.ClaimTaken)})
			if err != nil || out[0].Nonce != 1 {
				t.Fatal(out, err)
			}
		}
	})
}

// TestMissingEntryIsNoAbsentClaim holds that a key of the log that the store has lost is not taken for the log's end.
func TestMissingEntryIsNoAbsentClaim(t *testing.T) {
	is := is.New(t)
	s := &store.Store{}
	h := &Shard{Store: s}
	for h.tail.next < 2*slotCount-sealCount/2 {
		call(is, h, int(h.tail.next))
	}
	lost := h.slotKey(h.tail.next - 1)
	e, err := s.Get(context.Background(), lost)
	is.NoErr(err)
	is.NoErr(s.Delete(context.Background(), lost, e.Revision))
	_, err = (&Shard{Store: s}).Commit(context.Background(), []jaywind.Claim{claimed("k", 1, jaywind.ClaimTaken)})
	is.True(errors.Is(err, jaywind.ErrStoreUnavailable))
}

// TestFormerFormIsTakenOver holds that claims which routers of the former version have recorded are found,
// and that such a router can't commit any more once one of this version has.
func TestFormerFormIsTakenOver(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := &store.Store{}
	h := &Shard{Store: s}
	hash := segmentID{Hash: 7}
	value, err := encode(segment{Form: oldestForm, Rows: []row{rowOf(claimed("sealed", 1, jaywind.ClaimTaken))}})
	is.NoErr(err)
	_, err = s.Swap(ctx, h.segmentKey(hash), value, "")
	is.NoErr(err)
	former := head{
		Form:   oldestForm,
		Rows:   []row{rowOf(claimed("open", 1, jaywind.ClaimAnswered))},
		Sealed: []name{{segmentID: hash, Size: len(value), Until: time.Now().Add(retention).Unix()}},
	}
	value, err = encode(former)
	is.NoErr(err)
	revision, err := s.Swap(ctx, h.key(), value, "")
	is.NoErr(err)
	is.Equal(commitOne(is, h, claimed("sealed", 2, jaywind.ClaimTaken)).Nonce, jaywind.Nonce(1))
	is.Equal(commitOne(is, h, claimed("first", 1, jaywind.ClaimTaken)).Nonce, jaywind.Nonce(1))
	_, err = s.Swap(ctx, h.key(), value, revision)
	is.True(errors.Is(err, jaywind.ErrRevisionConflict)) // the former router's next commit
	for i := range 3 * sealCount {
		call(is, h, i)
		for _, key := range []string{"sealed", "open", "first"} {
			is.Equal(commitOne(is, h, claimed(key, 2, jaywind.ClaimTaken)).Nonce, jaywind.Nonce(1))
		}
	}
	fresh := &Shard{Store: s}
	for _, key := range []string{"sealed", "open", "first"} {
		is.Equal(commitOne(is, fresh, claimed(key, 2, jaywind.ClaimTaken)).Nonce, jaywind.Nonce(1))
	}
}

// TestOldKnowledgeIsNoAnswer holds that a router which knows a claim as taken looks again before it says so.
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
