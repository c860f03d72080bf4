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

// ShardCount is the number of shards that claims hash to; it bounds the rate of writes to the store.
const ShardCount = 8

const (
	maxCommitRounds    = 16        // rounds of reading and swapping for one batch
	maxSealAttempts    = 8         // sequence numbers to try for one value
	segmentCacheBytes  = 512 << 10 // bytes of segments whose claims are cached; of the others only the key hashes are in memory
	mergeAfterSegments = 32        // number of small segments that triggers a merge
	mergeAfterBytes    = 256 << 10 // bytes in at least two small segments that trigger a merge
	largeSegmentBytes  = 128 << 10 // bytes from which on a segment is not merged again
	initialBackoff     = 10 * time.Millisecond
	maxBackoff         = 320 * time.Millisecond
	retention          = 48 * time.Hour
)

// ErrContended is returned when a batch lost the compare-and-swap to other routers in every round.
var ErrContended = fmt.Errorf("%w: too many concurrent commits to the shard", jaywind.ErrStoreUnavailable)

// errSegmentMissing is returned when a segment or index that the head references is not in the store.
var errSegmentMissing = errors.New("segment is missing")

// ShardOf returns the shard of a key.
func ShardOf(k jaywind.ClaimKey) int {
	return int(k.Hash() % ShardCount)
}

// Shard reads and commits the claims of one shard; it is not safe for concurrent use.
type Shard struct {
	Store  jaywind.Store
	Number int
	Clock  jaywind.Clock                        // the system clock when nil
	Sleep  func(context.Context, time.Duration) // waits between two rounds; a real timer when nil

	ReadAhead int // maximum number of parallel reads; 1 when zero
	// Incomplete reports whether claims may be missing since the store was restored from an older copy, so that a key without a record
	// may have been claimed. Nil for never.
	Incomplete func() bool

	era       jaywind.Era                        // of the keys
	storeEra  jaywind.Era                        // in which they were loaded; later than era in a shard that is only read to import it
	replayed  map[jaywind.ClaimKey]jaywind.Claim // known from an earlier era, to be recorded again if missing
	loaded    bool
	head      head
	revision  jaywind.Revision
	tail      tail
	segments  []segmentID               // referenced by head, oldest first
	info      map[segmentID]segmentInfo // of the segments and indexes that head references
	cache     []cachedSegment           // recently read or written, the latest last
	dropped   []droppedSegment          // the segments and indexes that head lists as dropped
	lastSweep time.Time
}

// Commit records claims in order and returns the record of each afterwards. It has state ClaimNone for a claim that can't be accepted while
// claims may be missing after a restore of the store.
//
// After an error that wraps jaywind.ErrOutcomeUnknown some of the claims may have been recorded.
func (h *Shard) Commit(ctx context.Context, wants []jaywind.Claim) ([]jaywind.Claim, error) {
	var unknown error
	for round := range maxCommitRounds {
		out, err := h.attemptWithReload(ctx, wants)
		switch {
		case err == nil:
			return out, nil
		case errors.Is(err, jaywind.ErrRevisionConflict):
		case errors.Is(err, jaywind.ErrOutcomeUnknown):
			unknown = err
		default:
			return nil, errors.Join(unknown, err)
		}
		h.tail.stale = true
		h.backoff(ctx, round)
	}
	return nil, errors.Join(unknown, ErrContended)
}

// Replay records claims of before a restore of the store again, as far as they are missing.
func (h *Shard) Replay(ctx context.Context, claims []jaywind.Claim) error {
	if h.replayed == nil {
		h.replayed = map[jaywind.ClaimKey]jaywind.Claim{}
	}
	for _, c := range claims {
		h.replayed[c.ID()] = replayed(h.replayed[c.ID()], c)
	}
	_, err := h.Commit(ctx, nil)
	return err
}

// backoff waits with exponential backoff and full jitter, so that other routers can finish their swaps.
func (h *Shard) backoff(ctx context.Context, round int) {
	d := rand.N(min(initialBackoff<<round, maxBackoff))
	if h.Sleep != nil {
		h.Sleep(ctx, d)
		return
	}
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// attemptWithReload does one round; if a segment of the known head is missing, it reloads the head and tries once more.
func (h *Shard) attemptWithReload(ctx context.Context, wants []jaywind.Claim) ([]jaywind.Claim, error) {
	fresh := !h.loaded
	out, err := h.attempt(ctx, wants)
	if fresh || !errors.Is(err, errSegmentMissing) {
		return out, err
	}
	h.loaded = false
	return h.attempt(ctx, wants)
}

// attempt does one round in the present era. What it wrote or read is worth nothing if the store is restored meanwhile.
func (h *Shard) attempt(ctx context.Context, wants []jaywind.Claim) ([]jaywind.Claim, error) {
	if era := h.Store.Era(); era != h.storeEra {
		h.enterEra(era)
	}
	out, err := h.attemptInEra(ctx, wants)
	if h.Store.Era() != h.storeEra {
		return nil, errors.Join(errRestored, err)
	}
	return out, err
}

func (h *Shard) attemptInEra(ctx context.Context, wants []jaywind.Claim) ([]jaywind.Claim, error) {
	fresh := !h.loaded || h.tail.stale
	if err := h.load(ctx); err != nil {
		return nil, err
	}
	if err := h.replay(ctx); err != nil {
		return nil, err
	}
	out, changed, err := h.apply(ctx, wants)
	if err != nil {
		return nil, err
	}
	if len(changed) == 0 {
		if fresh || allFinal(out) {
			return out, nil
		}
		h.tail.stale = true
		return h.attemptInEra(ctx, wants)
	}
	return out, h.write(ctx, changed)
}

// allFinal reports whether no claim can change any more, so that a fresh read would show the same.
func allFinal(claims []jaywind.Claim) bool {
	for _, c := range claims {
		if !c.Final() {
			return false
		}
	}
	return true
}

// apply applies the claims to their records and returns the resulting records and those that changed.
func (h *Shard) apply(ctx context.Context, wants []jaywind.Claim) ([]jaywind.Claim, map[jaywind.ClaimKey]jaywind.Claim, error) {
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
		if h.mayBeMissing(old, want, now) {
			out = append(out, jaywind.Claim{})
			continue
		}
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
		if _, found := slices.BinarySearch(h.info[id].hashes, hash); !found {
			continue
		}
		claims, err := h.readSegment(ctx, id)
		if err != nil {
			return jaywind.Claim{}, err
		}
		if c, found := claims[k]; found {
			return c, nil
		}
	}
	return jaywind.Claim{}, nil
}

// load reads the parts of the head, the segments and the log that are not known yet.
func (h *Shard) load(ctx context.Context) error {
	if !h.loaded || h.tail.stale && !h.hasLog() {
		if err := h.loadHead(ctx); err != nil {
			return err
		}
	}
	if !h.tail.stale || !h.hasLog() {
		return nil
	}
	if err := h.catchUp(ctx); err != nil {
		return err
	}
	if h.tail.latestBase == h.head.Base {
		return nil
	}
	if err := h.loadHead(ctx); err != nil { // another router has sealed log entries
		return err
	}
	return h.catchUp(ctx)
}

func (h *Shard) loadHead(ctx context.Context) error {
	e, err := h.get(ctx, h.headKey())
	if errors.Is(err, jaywind.ErrKeyNotFound) && h.era > 0 {
		if err := h.importEra(ctx); err != nil {
			return err
		}
		e, err = h.get(ctx, h.headKey())
	}
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
	if err := h.loadSegments(ctx, next.Sealed); err != nil {
		return err
	}
	h.setHead(next, e.Revision)
	h.tail.reset(next, len(e.Value))
	return nil
}

// hasLog reports whether the shard's head is in the format that has a log.
func (h *Shard) hasLog() bool {
	return h.head.Format == currentFormat
}

func (h *Shard) setHead(next head, revision jaywind.Revision) {
	h.head = next
	h.revision = revision
	h.loaded = true
	h.segments = h.segmentsOf(next)
	h.updateDropped()
}

func claimsByKey(rows []row) map[jaywind.ClaimKey]jaywind.Claim {
	out := make(map[jaywind.ClaimKey]jaywind.Claim, len(rows))
	for _, r := range rows {
		c := r.claim()
		out[c.ID()] = c
	}
	return out
}

func (h *Shard) headKey() string {
	return h.prefix(h.era)
}

func (h *Shard) now() time.Time {
	if h.Clock == nil {
		return time.Now()
	}
	return h.Clock.Now()
}
