package memory

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"

	"golang.org/x/sync/semaphore"
)

// ErrShort is wrapped by errors for memory that is not free.
var ErrShort = errors.New("memory is short")

// Budget bounds the memory of one use. Set Limit before the first call.
type Budget struct {
	Limit Bytes

	once sync.Once
	free *semaphore.Weighted
	used atomic.Int64
}

func (b *Budget) init() {
	b.once.Do(func() { b.free = semaphore.NewWeighted(int64(b.Limit)) })
}

// Acquire waits for n bytes until ctx ends; the error wraps ErrShort. A budget that is nil has no limit.
func (b *Budget) Acquire(ctx context.Context, n Bytes) error {
	if b == nil {
		return nil
	}
	b.init()
	if err := b.free.Acquire(ctx, int64(n)); err != nil {
		return fmt.Errorf("%w: %w", ErrShort, err)
	}
	b.used.Add(int64(n))
	return nil
}

// TryAcquire takes n bytes, or returns false if they are not free.
func (b *Budget) TryAcquire(n Bytes) bool {
	if b == nil {
		return true
	}
	b.init()
	if !b.free.TryAcquire(int64(n)) {
		return false
	}
	b.used.Add(int64(n))
	return true
}

// Release returns n bytes.
func (b *Budget) Release(n Bytes) {
	if b == nil || n == 0 {
		return
	}
	b.used.Add(-int64(n))
	b.free.Release(int64(n))
}

// Used returns how many bytes are taken.
func (b *Budget) Used() Bytes { return Bytes(b.used.Load()) }
