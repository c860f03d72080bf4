package drain

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

// Calls runs calls that no caller waits for, such as notices to other routers. The zero value is ready to use.
type Calls struct {
	mu      sync.Mutex
	ctx     context.Context // ends when the calls are cancelled; nil before the first call
	cancel  context.CancelFunc
	stopped bool
	group   conc.WaitGroup
}

// Go runs a call in the background. Wait cancels its context. Once Wait has been called, Go does nothing.
func (c *Calls) Go(call func(ctx context.Context)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		return
	}
	if c.ctx == nil {
		c.ctx, c.cancel = context.WithCancel(context.Background())
	}
	ctx := c.ctx
	c.group.Go(func() { call(ctx) })
}

// Wait returns when all calls have ended. It cancels those that take longer than limit.
func (c *Calls) Wait(limit time.Duration) {
	c.mu.Lock()
	c.stopped = true
	cancel := c.cancel
	c.mu.Unlock()
	if cancel == nil {
		return
	}
	defer cancel()
	timer := time.AfterFunc(limit, cancel)
	defer timer.Stop()
	c.group.Wait()
}
