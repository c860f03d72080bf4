package ledger

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"jaywind"
	"jaywind/internal/provider/claims"
)

const (
	defaultInterval = 40 * time.Millisecond // between two swaps of a shard while claims are waiting
	maxBatchClaims  = 256                   // in one swap
	maxBatchBytes   = 256 << 10             // in one swap, checked before each claim is added
	maxReplyBytes   = 64 << 10              // in one claim
	maxQueuedClaims = 4096                  // waiting for a shard
	batchTimeout    = 3 * time.Second
	sweepTimeout    = time.Second
	readAhead       = 8 // values of a shard that are read concurrently
)

// Committer commits claims in groups. Set its fields before the first call of Commit.
type Committer struct {
	Store    jaywind.Store
	Clock    jaywind.Clock // the system clock if nil
	Interval time.Duration // between two swaps of a shard while claims are waiting; 40 ms if zero
	Recall   *Recall       // nil if the store is never restored from an older copy

	mu     sync.Mutex
	shards [claims.ShardCount]queue
	closed bool
	group  conc.WaitGroup
}

// queue holds the claims that wait for the next swap of a shard.
type queue struct {
	shard   claims.Shard
	waiting []*waiter
	running bool
}

type waiter struct {
	ctx      context.Context
	claim    jaywind.Claim
	replayed []jaywind.Claim // claims of before a restore of the store, in place of claim
	done     chan result     // has room for one result, so that sending never blocks
}

type result struct {
	claim jaywind.Claim
	err   error
}

// Commit records a claim and returns the claim that is on record. After an error that wraps
// jaywind.ErrOutcomeUnknown the claim may be on record, or may be recorded later.
func (c *Committer) Commit(ctx context.Context, claim jaywind.Claim) (jaywind.Claim, error) {
	if sizeOf(claim) > maxReplyBytes {
		return jaywind.Claim{}, fmt.Errorf("%w: claim of %d bytes", jaywind.ErrValueTooLarge, sizeOf(claim))
	}
	return c.await(claims.ShardOf(claim.ID()), &waiter{ctx: ctx, claim: claim, done: make(chan result, 1)})
}

// Replay records claims of one shard again that may be missing after a restore of the store.
func (c *Committer) Replay(ctx context.Context, shard int, replayed []jaywind.Claim) error {
	_, err := c.await(shard, &waiter{ctx: ctx, replayed: replayed, done: make(chan result, 1)})
	return err
}

// await queues a waiter and returns its result.
func (c *Committer) await(shard int, w *waiter) (jaywind.Claim, error) {
	if err := c.enqueue(shard, w); err != nil {
		return jaywind.Claim{}, err
	}
	ctx := w.ctx
	select {
	case r := <-w.done:
		return r.claim, r.err
	case <-ctx.Done():
		return jaywind.Claim{}, fmt.Errorf("%w: %w", jaywind.ErrOutcomeUnknown, ctx.Err())
	}
}

// Close makes Commit refuse further claims and waits for running commits to end.
func (c *Committer) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.group.Wait()
}

// enqueue adds a claim to the queue of its shard. It may be called after Close: when a caller
// gives up on a call, the server may still start the handler later.
func (c *Committer) enqueue(shard int, w *waiter) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := &c.shards[shard]
	if c.closed {
		return fmt.Errorf("%w: the router stops", jaywind.ErrStoreUnavailable)
	}
	if len(q.waiting) >= maxQueuedClaims {
		return fmt.Errorf("%w: too many claims wait", jaywind.ErrStoreUnavailable)
	}
	q.waiting = append(q.waiting, w)
	if !q.running {
		q.running = true
		q.shard.Store, q.shard.Number, q.shard.Clock = c.Store, shard, c.Clock
		q.shard.ReadAhead = readAhead
		if c.Recall != nil {
			q.shard.Incomplete = c.Recall.Incomplete
		}
		c.group.Go(func() { c.run(q) })
	}
	return nil
}

// run commits batches until the queue is empty.
func (c *Committer) run(q *queue) {
	for {
		batch := c.nextBatch(q)
		if batch == nil {
			return
		}
		err := c.commitBatch(q, batch)
		next := time.Now().Add(c.interval())
		if err == nil {
			sweep(q)
		}
		time.Sleep(time.Until(next))
	}
}

// sweep deletes the values that the shard no longer needs, between two swaps. A later sweep
// retries what fails.
func sweep(q *queue) {
	ctx, cancel := context.WithTimeout(context.Background(), sweepTimeout)
	defer cancel()
	_ = q.shard.Sweep(ctx)
}

func (c *Committer) interval() time.Duration {
	if c.Interval == 0 {
		return defaultInterval
	}
	return c.Interval
}

// nextBatch removes the next claims from the queue, leaving out those whose callers have given
// up. It returns nil if the queue is empty, which ends run.
func (c *Committer) nextBatch(q *queue) []*waiter {
	c.mu.Lock()
	defer c.mu.Unlock()
	var batch []*waiter
	size := 0
	for len(q.waiting) > 0 && len(batch) < maxBatchClaims && size < maxBatchBytes {
		w := q.waiting[0]
		q.waiting = q.waiting[1:]
		if w.ctx.Err() == nil {
			batch = append(batch, w)
			size += sizeOf(w.claim)
			for _, r := range w.replayed {
				size += sizeOf(r)
			}
		}
	}
	if len(batch) == 0 {
		q.waiting = nil
		q.running = false
	}
	return batch
}

// sizeOf returns the approximate encoded size of a claim in bytes.
func sizeOf(c jaywind.Claim) int {
	size := len(c.Organisation) + len(c.Service) + len(c.Key) + len(c.Reply.Body)
	for name, values := range c.Reply.Header {
		for _, v := range values {
			size += len(name) + len(v)
		}
	}
	return size
}

func (c *Committer) commitBatch(q *queue, batch []*waiter) error {
	ctx, cancel := context.WithTimeout(context.Background(), batchTimeout)
	defer cancel()
	var wants, replayed []jaywind.Claim
	for _, w := range batch {
		if w.replayed == nil {
			wants = append(wants, w.claim)
		}
		replayed = append(replayed, w.replayed...)
	}
	err := replayAll(ctx, q, replayed)
	var recorded []jaywind.Claim
	if err == nil {
		recorded, err = c.commitAndRemember(ctx, q, wants)
	}
	for _, w := range batch {
		r := result{err: err}
		if err == nil && w.replayed == nil {
			r.claim, recorded = recorded[0], recorded[1:]
			if r.claim.State == jaywind.ClaimNone {
				r.err = ErrIncomplete
			}
		}
		w.done <- r
	}
	return err
}

// replayAll records claims again, if there are any.
func replayAll(ctx context.Context, q *queue, replayed []jaywind.Claim) error {
	if len(replayed) == 0 {
		return nil
	}
	return q.shard.Replay(ctx, replayed)
}

// commitAndRemember commits claims and remembers what is on record. If the store is restored meanwhile, the claims may be remembered too late
// to be recorded again, so they are committed once more.
func (c *Committer) commitAndRemember(ctx context.Context, q *queue, wants []jaywind.Claim) ([]jaywind.Claim, error) {
	for {
		era := c.Store.Era()
		recorded, err := q.shard.Commit(ctx, wants)
		if c.Recall == nil || err != nil {
			return recorded, err
		}
		c.Recall.Add(recorded...)
		if c.Store.Era() == era {
			return recorded, nil
		}
	}
}
