package follow

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"
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
	events          []Item // the newest changes
	compacted       int64  // changes up to this revision are not in events
	revision        int64  // up to which items and events are complete
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
		b.compacted = max(b.compacted, b.events[drop-1].Revision)
		b.events = append([]Item(nil), b.events[drop:]...)
	}
}

// confirm sets the revision up to which the cache is complete; fromStore tells whether the store itself answered, and not
// another router.
func (b *Cache) confirm(revision int64, fromStore bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.revision == 0 {
		b.compacted, b.events = revision, nil
	}
	b.revision = max(b.revision, revision)
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
func (b *Cache) List(_ context.Context, prefix string, exact bool) ([]Item, int64, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if exact && time.Since(b.storeAnsweredAt) > cacheFreshTime || b.revision == 0 {
		return nil, 0, ErrStale
	}
	var items []Item
	for _, i := range b.items {
		if strings.HasPrefix(i.Key, prefix) {
			items = append(items, i)
		}
	}
	return items, b.revision, nil
}

// Watch waits for changes after a revision. Its errors are ErrStale, ErrCompacted and that of ctx.
func (b *Cache) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Item, int64, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		items, revision, changed, err := b.changesSince(prefix, after)
		if err != nil || len(items) > 0 {
			return items, revision, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, revision, nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

// changesSince returns the changes after a revision and a channel that is closed at the next change of state.
func (b *Cache) changesSince(prefix string, after int64) (items []Item, revision int64, changed chan struct{}, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if time.Since(b.storeAnsweredAt) > cacheFreshTime {
		return nil, 0, nil, ErrStale
	}
	if after < b.compacted {
		return nil, 0, nil, ErrCompacted
	}
	for _, i := range b.events {
		if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
			items = append(items, i)
		}
	}
	if b.updated == nil {
		b.updated = make(chan struct{})
	}
	return items, max(b.revision, after), b.updated, nil
}
