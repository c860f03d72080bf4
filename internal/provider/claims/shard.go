package claims

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"jaywind"
)

// Shards is how many shards the claims hash to, and so bounds the store's writes a second.
const Shards = 8

const (
	commitRounds = 16        // swaps and reads that one batch may take
	sealTries    = 8         // sequence numbers that sealing may find taken
	cacheSize    = 512 << 10 // bytes of the segments whose claims are kept in memory, not only their keys' hashes
	mergeCount   = 32        // small segments of a shard that are merged into one
	mergeSize    = 256 << 10 // bytes of small segments that are merged, be they fewer
	largeSize    = 128 << 10 // bytes of a segment that is not merged again
	pauseFirst   = 10 * time.Millisecond
	pauseLast    = 320 * time.Millisecond
	retention    = 48 * time.Hour
)

// ErrContended is returned when other routers kept winning the swaps of a shard.
var ErrContended = fmt.Errorf("%w: shard is contended", jaywind.ErrStoreUnavailable)

// errMissing is returned when a segment that a head names is not in the store.
var errMissing = errors.New("segment is missing")

// ShardOf returns the shard of a key.
func ShardOf(k jaywind.ClaimKey) int {
	return int(k.Hash() % Shards)
}

// Shard reads and commits the claims of one shard; it is for one goroutine at a time.
type Shard struct {
	Store  jaywind.Store
	Number int
	Clock  jaywind.Clock                        // the machine's when nil
	Sleep  func(context.Context, time.Duration) // waits between two rounds; by the machine's clock when nil

	ReadAhead int // values that are read at once, at most; one when zero

	loaded   bool
	head     head
	revision jaywind.Revision
	tail     tail
	segments []segmentID          // that head names, oldest first
	sealed   map[segmentID]sealed // the segments and indexes that head names
	cache    []contents           // segments read of late, the latest last
	garbage  []garbage            // the segments that head lists as dropped
	swept    time.Time            // last
}

// Commit records claims in their order and returns what is on record for each afterwards.
//
// After an error that wraps jaywind.ErrUnknown some of the claims may be on record.
func (h *Shard) Commit(ctx context.Context, wants []jaywind.Claim) ([]jaywind.Claim, error) {
	var unclear error
	for round := range commitRounds {
		out, err := h.try(ctx, wants)
		switch {
		case err == nil:
			return out, nil
		case errors.Is(err, jaywind.ErrRevisionConflict):
		case errors.Is(err, jaywind.ErrOutcomeUnknown):
			unclear = err
		default:
			return nil, errors.Join(unclear, err)
		}
		h.tail.behind = true
		h.pause(ctx, round)
	}
	return nil, errors.Join(unclear, ErrContended)
}

// pause lets other routers finish their swaps, for a random time that grows with the rounds.
func (h *Shard) pause(ctx context.Context, round int) {
	d := rand.N(min(pauseFirst<<round, pauseLast))
	if h.Sleep != nil {
		h.Sleep(ctx, d)
		return
	}
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// try does one round on the head that is known, or on a fresh one where a segment of that is missing.
func (h *Shard) try(ctx context.Context, wants []jaywind.Claim) ([]jaywind.Claim, error) {
	fresh := !h.loaded
	out, err := h.attempt(ctx, wants)
	if fresh || !errors.Is(err, errMissing) {
		return out, err
	}
	h.loaded = false
	return h.attempt(ctx, wants)
}

func (h *Shard) attempt(ctx context.Context, wants []jaywind.Claim) ([]jaywind.Claim, error) {
	fresh := !h.loaded || h.tail.behind
	if err := h.load(ctx); err != nil {
		return nil, err
	}
	out, changed, err := h.merge(ctx, wants)
	if err != nil {
		return nil, err
	}
	if len(changed) == 0 {
		if fresh || allFinal(out) {
			return out, nil
		}
		h.tail.behind = true
		return h.attempt(ctx, wants)
	}
	return out, h.write(ctx, changed)
}

// allFinal tells whether what is known is as good as what a fresh read would show.
func allFinal(claims []jaywind.Claim) bool {
	for _, c := range claims {
		if !c.Final() {
			return false
		}
	}
	return true
}

// merge returns what each claim leads to and the keys whose record changes.
func (h *Shard) merge(ctx context.Context, wants []jaywind.Claim) ([]jaywind.Claim, map[jaywind.ClaimKey]jaywind.Claim, error) {
	changed := map[jaywind.ClaimKey]jaywind.Claim{}
	out := make([]jaywind.Claim, 0, len(wants))
	for _, want := range wants {
		k := want.ID()
		old, found := changed[k]
		if !found {
			var err error
			if old, err = h.find(ctx, k); err != nil {
				return nil, nil, err
			}
		}
		now, differs := old.Apply(want)
		if differs {
			changed[k] = now
		}
		out = append(out, now)
	}
	return out, changed, nil
}

// find returns the latest record of a key, whose state is ClaimNone when there is none.
func (h *Shard) find(ctx context.Context, k jaywind.ClaimKey) (jaywind.Claim, error) {
	if c, found := h.tail.recent[k]; found {
		return c, nil
	}
	hash := k.Hash()
	for _, id := range slices.Backward(h.segments) {
		if _, found := slices.BinarySearch(h.sealed[id].hashes, hash); !found {
			continue
		}
		claims, err := h.read(ctx, id)
		if err != nil {
			return jaywind.Claim{}, err
		}
		if c, found := claims[k]; found {
			return c, nil
		}
	}
	return jaywind.Claim{}, nil
}

// load reads what is not known of the head, its segments and the log.
func (h *Shard) load(ctx context.Context) error {
	if !h.loaded || h.tail.behind && !h.hasLog() {
		if err := h.loadHead(ctx); err != nil {
			return err
		}
	}
	if !h.tail.behind || !h.hasLog() {
		return nil
	}
	if err := h.catchUp(ctx); err != nil {
		return err
	}
	if h.tail.base == h.head.Base {
		return nil
	}
	if err := h.loadHead(ctx); err != nil { // another router has sealed the log
		return err
	}
	return h.catchUp(ctx)
}

func (h *Shard) loadHead(ctx context.Context) error {
	e, err := h.Store.Get(ctx, h.key())
	if err != nil && !errors.Is(err, jaywind.ErrKeyNotFound) {
		return err
	}
	var next head
	if err == nil {
		if next, err = decodeHead(e.Value); err != nil {
			return err
		}
	}
	if err := h.loadIndexes(ctx, next.Indexes); err != nil {
		return err
	}
	if err := h.loadSealed(ctx, next.Sealed); err != nil {
		return err
	}
	h.adopt(next, e.Revision)
	h.tail.begin(next, len(e.Value))
	return nil
}

// hasLog tells whether the shard's head is of the form to which a log belongs.
func (h *Shard) hasLog() bool {
	return h.head.Form == form
}

func (h *Shard) adopt(next head, revision jaywind.Revision) {
	h.head = next
	h.revision = revision
	h.loaded = true
	h.segments = h.named(next)
	h.noteDropped()
}

func index(rows []row) map[jaywind.ClaimKey]jaywind.Claim {
	out := make(map[jaywind.ClaimKey]jaywind.Claim, len(rows))
	for _, r := range rows {
		c := r.claim()
		out[c.ID()] = c
	}
	return out
}

func (h *Shard) key() string {
	return fmt.Sprintf("claims-%d", h.Number)
}

func (h *Shard) now() time.Time {
	if h.Clock == nil {
		return time.Now()
	}
	return h.Clock.Now()
}
