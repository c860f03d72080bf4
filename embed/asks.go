package embed

import (
	"context"
	"sync"

	"jaywind/internal/core/table"
)

// peerCalls holds the calls of other routers that wait for the core's reply.
type peerCalls[T any] struct {
	mu      sync.Mutex
	replies map[uint64]chan T
	lastID  uint64
}

// call posts the event that a call's number makes and returns the reply to it.
func (a *peerCalls[T]) call(ctx context.Context, r *Router, event func(ask uint64) table.Event) (T, error) {
	var none T
	number, wait := a.add()
	defer a.remove(number)
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

// reply hands a reply to the call that waits for it, if it still does.
func (a *peerCalls[T]) reply(number uint64, reply T) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if wait := a.replies[number]; wait != nil {
		wait <- reply
		delete(a.replies, number)
	}
}

// add returns a new number with the channel that its reply arrives on.
func (a *peerCalls[T]) add() (uint64, chan T) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastID++
	if a.replies == nil {
		a.replies = map[uint64]chan T{}
	}
	wait := make(chan T, 1)
	a.replies[a.lastID] = wait
	return a.lastID, wait
}

func (a *peerCalls[T]) remove(number uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.replies, number)
}
