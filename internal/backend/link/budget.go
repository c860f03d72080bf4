package link

import (
	"context"
	"fmt"
	"sync"

	"golang.org/x/sync/semaphore"

	"jaywind"
)

const (
	unreservedBytes = 32 << 10 // of each body or event; only what is longer takes from the budget
	budgetBytes     = 16 << 20 // for the rest of all bodies and events that are being read from a pool's connections
)

// budget bounds the memory of all long answers that are being read. Each of them reserves at once what it may still take, so
// that none waits while it holds a part.
type budget struct {
	once sync.Once
	free *semaphore.Weighted
}

// reserve waits for n bytes until ctx ends. A budget that is nil has no limit.
func (b *budget) reserve(ctx context.Context, n int64) error {
	if b == nil {
		return nil
	}
	b.once.Do(func() { b.free = semaphore.NewWeighted(budgetBytes) })
	if err := b.free.Acquire(ctx, n); err != nil {
		return fmt.Errorf("%w: no memory for a long answer: %w", jaywind.ErrIdleTimeout, err)
	}
	return nil
}

// release returns n bytes that were reserved.
func (b *budget) release(n int64) {
	if b != nil {
		b.free.Release(n)
	}
}
