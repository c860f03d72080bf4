package link

import (
	"context"
	"fmt"

	"jaywind"
	"jaywind/internal/core/memory"
)

const (
	unreservedBytes = 32 << 10       // of each body or event; only what is longer takes from the budget
	budgetBytes     = 16 * memory.MB // default of Pool.Answers
)

// reserve waits until ctx ends for the memory of an answer that may become n bytes long. It is taken at once, so that no answer
// waits while it holds a part.
func (c *Conn) reserve(ctx context.Context, n int64) error {
	memory.Drop(ctx)
	if err := c.answers.Acquire(ctx, memory.Bytes(n)); err != nil {
		return fmt.Errorf("%w: a long answer: %w", jaywind.ErrIdleTimeout, err)
	}
	return nil
}

// keep holds n of the reserved bytes until the request of ctx has ended, and returns the rest.
func (c *Conn) keep(ctx context.Context, reserved, n int64) {
	c.answers.Release(memory.Bytes(reserved - n))
	memory.Keep(ctx, c.answers, memory.Bytes(n))
}

// release returns n bytes that were reserved.
func (c *Conn) release(n int64) { c.answers.Release(memory.Bytes(n)) }
