package follow

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"jaywind"
)

// ErrStale is returned by a Cache whose router has had no recent answer from the store.
var ErrStale = errors.New("not in touch with the store")

// ErrTooManyLists is returned by a router that is sending too many lists to serve another one.
var ErrTooManyLists = errors.New("other lists are being sent")

const (
	cacheEvents    = 4096                    // kept for routers that have not read them yet
	cacheFreshTime = 1700 * time.Millisecond // since the last answer of the store; a reader's watch of the store ends within storeWait plus answerMargin
)

// Cache serves the items of a Follower to other routers while the store itself answers the Follower; its zero value is empty.
type Cache struct {
	mu              sync.Mutex
	items           map[string]Item
	events          []Item                // the newest changes
	compacted       jaywind.StorePosition // changes up to this one are not in events
	position        jaywind.StorePosition // up to which items and events are complete; zero before the first list of an era
	storeAnsweredAt time.Time
	updated         chan struct{} // closed at the next change of state
}

// apply applies a change.
func (b *Cache) apply(i Item) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.items == nil {
		b.items = map[string]Item{}
	}
	if i.Deleted {
		delete(b.items, i.Key)
	} else {
		b.items[i.Key] = i
	}
	b.events = append(b.events, i)
	if drop := len(b.events) - cacheEvents; drop > 0 {
		if last := b.events[drop-1].Position; last.Compare(b.compacted) > 0 {
			b.compacted = last
		}
		b.events = append([]Item(nil), b.events[drop:]...)
	}
}

// restart drops the history of an era that has ended. There are no lists before the next confirm.
func (b *Cache) restart() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.events, b.position = nil, jaywind.StorePosition{}
	b.wake()
}

// confirm sets the position up to which the cache is complete; fromStore tells whether the store itself answered, and not
// another router.
func (b *Cache) confirm(position jaywind.StorePosition, fromStore bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.position.IsZero() {
		b.compacted, b.events = position, nil
	}
	if position.Compare(b.position) > 0 {
		b.position = position
	}
	b.storeAnsweredAt = time.Time{}
	if fromStore {
		b.storeAnsweredAt = time.Now()
	}
	b.wake()
}

// markStale records that the store does not answer. Waiting watches end at once, so that their routers turn to another one.
func (b *Cache) markStale() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.storeAnsweredAt = time.Time{}
	b.wake()
}

// wake wakes all waiting watches; the caller holds mu.
func (b *Cache) wake() {
	if b.updated != nil {
		close(b.updated)
		b.updated = nil
	}
}

// List returns the items under prefix, or ErrStale. A list that need not be exact is returned whatever its age, once there
// is one.
func (b *Cache) List(_ context.Context, prefix string, exact bool) ([]Item, jaywind.StorePosition, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if exact && time.Since(b.storeAnsweredAt) > cacheFreshTime || b.position.IsZero() {
		return nil, jaywind.StorePosition{}, ErrStale
	}
	var items []Item
	for _, i := range b.items {
		if strings.HasPrefix(i.Key, prefix) {
			items = append(items, i)
		}
	}
	return items, b.position, nil
}

// Watch waits for changes after a position, at most until the items are stale. Its errors are ErrStale, ErrCompacted, ErrRestored and that of
// ctx.
func (b *Cache) Watch(ctx context.Context, prefix string, after jaywind.StorePosition, wait time.Duration) ([]Item, jaywind.StorePosition, error) {
	end := time.Now().Add(wait)
	for {
		items, position, changed, err := b.changesSince(prefix, after)
		if err != nil || len(items) > 0 {
			return items, position, err
		}
		left, fresh := time.Until(end), time.Until(b.freshUntil())
		if left <= 0 {
			return nil, position, nil
		}
		timer := time.NewTimer(min(left, fresh+time.Millisecond))
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			err = ctx.Err()
		}
		timer.Stop()
		if err != nil {
			return nil, jaywind.StorePosition{}, err
		}
	}
}

// freshUntil returns until when the items may be served without another answer of the store.
func (b *Cache) freshUntil() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.storeAnsweredAt.Add(cacheFreshTime)
}

// changesSince returns the changes after a position and a channel that is closed at the next change of state.
func (b *Cache) changesSince(prefix string, after jaywind.StorePosition) (items []Item, position jaywind.StorePosition, changed chan struct{}, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if after.Era == AnyEra {
		after.Era = b.position.Era
	}
	switch {
	case time.Since(b.storeAnsweredAt) > cacheFreshTime, b.position.IsZero(), after.Era > b.position.Era:
		return nil, jaywind.StorePosition{}, nil, ErrStale
	case after.Era < b.position.Era:
		return nil, jaywind.StorePosition{}, nil, ErrRestored
	case after.Compare(b.compacted) < 0:
		return nil, jaywind.StorePosition{}, nil, ErrCompacted
	}
	for _, i := range b.events {
		if i.Position.Compare(after) > 0 && strings.HasPrefix(i.Key, prefix) {
			items = append(items, i)
		}
	}
	if b.updated == nil {
		b.updated = make(chan struct{})
	}
	if b.position.Compare(after) > 0 {
		after = b.position
	}
	return items, after, b.updated, nil
}
