package embed

import (
	"context"
	"sync"

	"jaywind/internal/core/table"
)

// peerCalls holds the calls of other routers that wait for a reply from the core.
type peerCalls[T any] struct {
	mu      sync.Mutex
	replies map[uint64]chan T
	lastID  uint64
}

// call posts the event that newEvent makes for the call's id, and waits for the reply.
func (a *peerCalls[T]) call(ctx context.Context, r *Router, newEvent func(id uint64) table.Event) (T, error) {
	var none T
	id, wait := a.add()
	defer a.remove(id)
	if !r.post(newEvent(id)) {
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

// reply delivers a reply to its call, unless the call was given up.
func (a *peerCalls[T]) reply(id uint64, reply T) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if wait := a.replies[id]; wait != nil {
		wait <- reply
		delete(a.replies, id)
	}
}

// add returns the id of a new call and the channel for its reply.
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

func (a *peerCalls[T]) remove(id uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.replies, id)
}
