package embed

import (
	"context"
	"sync"

	"jaywind/internal/core/table"
)

// asks holds the calls of other routers that wait for the core's reply.
type asks[T any] struct {
	mu    sync.Mutex
	waits map[uint64]chan T
	count uint64
}

// ask posts the event that a call's number makes and returns the reply to it.
func (a *asks[T]) ask(ctx context.Context, r *Router, event func(ask uint64) table.Event) (T, error) {
	var none T
	number, wait := a.register()
	defer a.forget(number)
	if !r.post(event(number)) {
		return none, ErrStopped
	}
	select {
	case reply := <-wait:
		return reply, nil
	case <-r.stopped:
		return none, ErrStopped
	case <-ctx.Done():
		return none, ctx.Err()
	}
}

// answer hands a reply to the call that waits for it, if it still does.
func (a *asks[T]) answer(number uint64, reply T) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if wait := a.waits[number]; wait != nil {
		wait <- reply
		delete(a.waits, number)
	}
}

// register returns a new number with the channel that its reply arrives on.
func (a *asks[T]) register() (uint64, chan T) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.count++
	if a.waits == nil {
		a.waits = map[uint64]chan T{}
	}
	wait := make(chan T, 1)
	a.waits[a.count] = wait
	return a.count, wait
}

func (a *asks[T]) forget(number uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.waits, number)
}
