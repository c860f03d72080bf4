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
	defaultInterval = 40 * time.Millisecond // between two swaps of a shard, when claims wait
	batchLimit      = 256                   // claims in one swap
	batchBytes      = 256 << 10             // of the replies in one swap
	replyLimit      = 64 << 10              // bytes of a reply
	queueLimit      = 4096                  // claims that may wait for a shard
	batchTimeout    = 3 * time.Second
	sweepTimeout    = time.Second
	readAhead       = 8 // values of a shard that are read at once
)

// Committer commits claims in groups; set its fields before the first Commit.
type Committer struct {
	Store    jaywind.Store
	Clock    jaywind.Clock // the machine's when nil
	Interval time.Duration // between two swaps of a shard, when claims wait; 40 ms when zero

	mu     sync.Mutex
	shards [claims.Shards]queue
	closed bool
	group  conc.WaitGroup
}

// queue holds the claims that wait for a shard's next swap.
type queue struct {
	shard   claims.Shard
	waiting []*waiter
	running bool
}

type waiter struct {
	ctx   context.Context
	claim jaywind.Claim
	done  chan result // holds one
}

type result struct {
	claim jaywind.Claim
	err   error
}

// Commit records a claim and returns what is on record; an error that wraps
// jaywind.ErrUnknown says that the claim may be recorded now or a little later.
func (c *Committer) Commit(ctx context.Context, claim jaywind.Claim) (jaywind.Claim, error) {
	if sizeOf(claim) > replyLimit {
		return jaywind.Claim{}, fmt.Errorf("%w: claim of %d bytes", jaywind.ErrValueTooLarge, sizeOf(claim))
	}
	w := &waiter{ctx: ctx, claim: claim, done: make(chan result, 1)}
	if err := c.enqueue(claims.ShardOf(claim.ID()), w); err != nil {
		return jaywind.Claim{}, err
	}
	select {
	case r := <-w.done:
		return r.claim, r.err
	case <-ctx.Done():
		return jaywind.Claim{}, fmt.Errorf("%w: %w", jaywind.ErrOutcomeUnknown, ctx.Err())
	}
}

// Close refuses all further claims and returns when no commit is under way.
func (c *Committer) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.group.Wait()
}

// enqueue adds a claim to those that wait for a shard. A handler may still come here after
// Close, since its caller can give up and leave while the server has yet to run it.
func (c *Committer) enqueue(shard int, w *waiter) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := &c.shards[shard]
	if c.closed {
		return fmt.Errorf("%w: the router stops", jaywind.ErrStoreUnavailable)
	}
	if len(q.waiting) >= queueLimit {
		return fmt.Errorf("%w: too many claims wait", jaywind.ErrStoreUnavailable)
	}
	q.waiting = append(q.waiting, w)
	if !q.running {
		q.running = true
		q.shard.Store, q.shard.Number, q.shard.Clock = c.Store, shard, c.Clock
		q.shard.ReadAhead = readAhead
		c.group.Go(func() { c.work(q) })
	}
	return nil
}

// work commits batches until no claim waits.
func (c *Committer) work(q *queue) {
	for {
		batch := c.take(q)
		if batch == nil {
			return
		}
		err := commitBatch(q, batch)
		next := time.Now().Add(c.interval())
		if err == nil {
			sweep(q)
		}
		time.Sleep(time.Until(next))
	}
}

// sweep deletes what the shard no longer needs, in the pause between two swaps; what fails is tried again.
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

// take returns the waiting claims whose claimants have not given up, or nil when the worker ends.
func (c *Committer) take(q *queue) []*waiter {
	c.mu.Lock()
	defer c.mu.Unlock()
	var batch []*waiter
	size := 0
	for len(q.waiting) > 0 && len(batch) < batchLimit && size < batchBytes {
		w := q.waiting[0]
		q.waiting = q.waiting[1:]
		if w.ctx.Err() == nil {
			batch = append(batch, w)
			size += sizeOf(w.claim)
		}
	}
	if len(batch) == 0 {
		q.waiting = nil
		q.running = false
	}
	return batch
}

// sizeOf returns the bytes of a claim, about.
func sizeOf(c jaywind.Claim) int {
	size := len(c.Organisation) + len(c.Service) + len(c.Key) + len(c.Reply.Body)
	for name, values := range c.Reply.Header {
		for _, v := range values {
			size += len(name) + len(v)
		}
	}
	return size
}

func commitBatch(q *queue, batch []*waiter) error {
	ctx, cancel := context.WithTimeout(context.Background(), batchTimeout)
	defer cancel()
	wants := make([]jaywind.Claim, 0, len(batch))
	for _, w := range batch {
		wants = append(wants, w.claim)
	}
	recorded, err := q.shard.Commit(ctx, wants)
	for i, w := range batch {
		if err != nil {
			w.done <- result{err: err}
			continue
		}
		w.done <- result{claim: recorded[i]}
	}
	return err
}
