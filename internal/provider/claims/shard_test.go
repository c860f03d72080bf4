package claims

import (
	"context"
	"errors"
	"fmt"
	"iter"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"jaywind"
	"jaywind/internal/standin/store"
)

func claimed(key string, nonce int, state jaywind.ClaimState) jaywind.Claim {
	return jaywind.Claim{Key: jaywind.IdempotencyKey(key), Nonce: jaywind.Nonce(nonce), State: state}
}

// commitOne commits a claim and returns what is on record.
func commitOne(is *is.I, h *Shard, c jaywind.Claim) jaywind.Claim {
	is.Helper()
	out, err := h.Commit(context.Background(), []jaywind.Claim{c})
	is.NoErr(err)
	return out[0]
}

// TestApply checks jaywind.Claim.Apply, that is, what is on record after each claim that can follow an old one.
func TestApply(t *testing.T) {
	tests := map[string]struct {
		old, want, recorded jaywind.Claim
	}{
		"first claim":            {jaywind.Claim{}, claimed("k", 1, 1), claimed("k", 1, 1)},
		"same nonce again":       {claimed("k", 1, 1), claimed("k", 1, 1), claimed("k", 1, 1)},
		"other nonce":            {claimed("k", 1, 1), claimed("k", 2, 1), claimed("k", 1, 1)},
		"released and claimed":   {claimed("k", 1, 2), claimed("k", 2, 1), claimed("k", 2, 1)},
		"released stays":         {claimed("k", 1, 2), claimed("k", 1, 1), claimed("k", 1, 2)},
		"release by another":     {claimed("k", 1, 1), claimed("k", 2, 2), claimed("k", 1, 1)},
		"answered":               {claimed("k", 1, 1), claimed("k", 1, 3), claimed("k", 1, 3)},
		"answered by another":    {claimed("k", 1, 1), claimed("k", 2, 3), claimed("k", 1, 1)},
		"answered after unknown": {claimed("k", 1, 4), claimed("k", 1, 3), claimed("k", 1, 3)},
		"unknown after answered": {claimed("k", 1, 3), claimed("k", 1, 4), claimed("k", 1, 3)},
		"release after answered": {claimed("k", 1, 3), claimed("k", 1, 2), claimed("k", 1, 3)},
		"other body":             {claimed("k", 1, 2), jaywind.Claim{Key: "k", Nonce: 2, State: 1, Body: 7}, claimed("k", 1, 2)},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got, changed := c.old.Apply(c.want)
			is.Equal(got, c.recorded)
			is.Equal(changed, got.Nonce != c.old.Nonce || got.State != c.old.State)
		})
	}
}

// TestSealedClaimsAreFound commits more claims than fit in one segment through two routers in turn, and reads all back.
func TestSealedClaimsAreFound(t *testing.T) {
	is := is.New(t)
	s := &store.Store{}
	shards := []*Shard{{Store: s}, {Store: s}}
	const count = 200
	for i := range count {
		c := claimed(fmt.Sprint(i), 1, jaywind.ClaimAnswered)
		c.Reply = jaywind.Reply{Status: 200, Body: make([]byte, 16<<10)}
		commitOne(is, shards[i%2], c)
	}
	is.True(len(shards[1].head.Sealed) > 1)
	fresh := &Shard{Store: s}
	for i := range count {
		got := commitOne(is, fresh, claimed(fmt.Sprint(i), 2, jaywind.ClaimTaken))
		is.Equal(got.Nonce, jaywind.Nonce(1))
		is.Equal(len(got.Reply.Body), 16<<10)
	}
}

func TestRetention(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	h := &Shard{Store: &store.Store{}, Clock: (*clock)(&now)}
	fill := func(key string) {
		c := claimed(key, 1, jaywind.ClaimAnswered)
		c.Reply = jaywind.Reply{Status: 200, Body: make([]byte, sealAfterBytes)}
		commitOne(is, h, c)
	}
	fill("old")
	fill("next")
	now = now.Add(retention - time.Minute)
	fill("kept")
	is.Equal(commitOne(is, h, claimed("old", 2, jaywind.ClaimTaken)).Nonce, jaywind.Nonce(1))
	now = now.Add(2 * time.Minute)
	fill("late")
	is.Equal(commitOne(is, h, claimed("old", 3, jaywind.ClaimTaken)).Nonce, jaywind.Nonce(3))
}

type clock time.Time

func (c *clock) Now() time.Time { return time.Time(*c) }

func TestMissingSegmentIsNoAbsentClaim(t *testing.T) {
	is := is.New(t)
	s := &store.Store{}
	value, err := encode(head{Format: currentFormat, Sealed: []segmentRef{{segmentID: segmentID{Hash: 1}}}})
	is.NoErr(err)
	_, err = s.Swap(context.Background(), "claims-0", value, "")
	is.NoErr(err)
	_, err = (&Shard{Store: s}).Commit(context.Background(), []jaywind.Claim{claimed("k", 1, jaywind.ClaimTaken)})
	is.True(errors.Is(err, jaywind.ErrStoreUnavailable))
}

func rows(t *rapid.T) []row {
	one := rapid.Custom(func(t *rapid.T) row {
		return row{
			Organisation: rapid.String().Draw(t, "organisation"),
			Key:          rapid.String().Draw(t, "key"),
			Body:         rapid.Uint64().Draw(t, "body"),
			Nonce:        rapid.Uint64().Draw(t, "nonce"),
			State:        rapid.IntRange(1, 4).Draw(t, "state"),
			Status:       rapid.IntRange(0, 599).Draw(t, "status"),
			Header:       rapid.SampledFrom([]map[string][]string{nil, {"A": {"b", "c"}}}).Draw(t, "header"),
			Reply:        rapid.SampledFrom([][]byte{nil, {0, 255}}).Draw(t, "reply"),
		}
	})
	return rapid.SliceOf(one).Draw(t, "rows")
}

func TestEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		want := head{Format: currentFormat, Rows: rows(t), Sealed: []segmentRef{{segmentID: segmentID{Hash: rapid.Uint64().Draw(t, "hash")}, Size: 3, ExpiresAt: 4}}}
		value, err := encode(want)
		is.NoErr(err)
		got, err := decodeHead(value)
		is.NoErr(err)
		is.Equal(fmt.Sprint(got), fmt.Sprint(want))
		for i, r := range want.Rows {
			is.Equal(fmt.Sprint(rowOf(r.claim())), fmt.Sprint(got.Rows[i]))
		}
		cut := value[:rapid.IntRange(0, len(value)-1).Draw(t, "cut")]
		_, err = decodeHead(cut)
		is.True(errors.Is(err, ErrFormat))
	})
}

// steppedStore yields to the test before each operation; the test chooses the fault of the operation.
type steppedStore struct {
	jaywind.Store
	yield func() (fault, bool) // false once the router has crashed
}

type fault int

const (
	faultNone      fault = iota
	faultRefused         // the operation fails and has no effect
	faultCallLost        // the operation has no effect and its outcome is unknown
	faultReplyLost       // the operation takes effect and its outcome is unknown
	faultCount
)

var errCrashed = fmt.Errorf("%w: crashed", jaywind.ErrStoreUnavailable)

// Get reads, unless a fault is injected.
func (s steppedStore) Get(ctx context.Context, key string) (jaywind.Entry, error) {
	if f, alive := s.yield(); !alive || f != faultNone {
		return jaywind.Entry{}, errCrashed
	}
	return s.Store.Get(ctx, key)
}

// Swap writes, unless a fault is injected.
func (s steppedStore) Swap(ctx context.Context, key string, value []byte, old jaywind.Revision) (jaywind.Revision, error) {
	f, alive := s.yield()
	switch {
	case !alive || f == faultRefused:
		return "", errCrashed
	case f == faultCallLost:
		return "", jaywind.ErrOutcomeUnknown
	}
	revision, err := s.Store.Swap(ctx, key, value, old)
	if f == faultReplyLost {
		return "", jaywind.ErrOutcomeUnknown
	}
	return revision, err
}

// claimant is a router that claims a key, runs the call and records the answer.
type claimant struct {
	nonce     int
	store     jaywind.Store
	warm      bool  // has loaded the shard before
	nextFault fault // injected in its next operation
	runs      int
	notRun    bool // its caller was told that the call has not run
	next      func() (struct{}, bool)
	crash     func()
}

// steps yields before each step of the router, until it ends or crashes.
func (c *claimant) steps() iter.Seq[struct{}] {
	return func(yield func(struct{}) bool) {
		alive := true
		step := func() (fault, bool) {
			alive = alive && yield(struct{}{})
			return c.nextFault, alive
		}
		h := &Shard{Store: c.store, Sleep: func(context.Context, time.Duration) {}}
		if c.warm {
			_ = h.load(context.Background())
		}
		h.Store = steppedStore{c.store, step}
		commit := func(state jaywind.ClaimState) (jaywind.Claim, error) {
			out, err := h.Commit(context.Background(), []jaywind.Claim{claimed("k", c.nonce, state)})
			if err != nil {
				return jaywind.Claim{}, err
			}
			return out[0], nil
		}
		got, err := commit(jaywind.ClaimTaken)
		if _, up := step(); !up {
			return
		}
		if err != nil {
			c.notRun = true
			_, _ = commit(jaywind.ClaimReleased)
			return
		}
		if got.Nonce != jaywind.Nonce(c.nonce) || got.State != jaywind.ClaimTaken {
			return
		}
		c.runs++
		_, _ = commit(jaywind.ClaimAnswered)
	}
}

// TestInterleavings interleaves the store operations of claimants of one key, with faults and crashes. At
// most one of them may run the call, and none that told its caller that it has not run.
func TestInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		interleave(t, &store.Store{}, faultOdds{fault: 8, crash: 30}, 0, func() {})
	})
}

// faultOdds are the approximate numbers of steps without a fault, or a crash, to one with it.
type faultOdds struct{ fault, crash int }

// interleave runs claimants of one key, one random step at a time, and calls between before each step.
// The first warm claimants have loaded the shard.
func interleave(t *rapid.T, s *store.Store, o faultOdds, warm int, between func()) {
	var live []*claimant
	for i := range rapid.IntRange(2, 3).Draw(t, "claimants") {
		c := &claimant{nonce: i + 1, store: s, warm: i < warm}
		c.next, c.crash = iter.Pull(c.steps())
		defer c.crash()
		live = append(live, c)
	}
	all := slices.Clone(live)
	for len(live) > 0 {
		between()
		i := rapid.IntRange(0, len(live)-1).Draw(t, "turn")
		c := live[i]
		c.nextFault = max(faultNone, fault(rapid.IntRange(-o.fault, int(faultCount)-1).Draw(t, "bend")))
		if rapid.IntRange(0, o.crash).Draw(t, "crash") == o.crash {
			c.crash()
		}
		if _, more := c.next(); !more {
			live = slices.Delete(live, i, i+1)
		}
	}
	checkRuns(t, all)
}

func checkRuns(t *rapid.T, all []*claimant) {
	runs := 0
	for _, c := range all {
		runs += c.runs
		if c.notRun && c.runs > 0 {
			t.Fatalf("claimant %d was told not run, but ran", c.nonce)
		}
	}
	if runs > 1 {
		t.Fatalf("run %d times", runs)
	}
}
