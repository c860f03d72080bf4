package follow

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"
)

// ErrStale is returned by a Board whose router has not heard from the store lately.
var ErrStale = errors.New("not in touch with the store")

// ErrLater is returned by the Source of another router that has too many lists to send.
var ErrLater = errors.New("other lists are being sent")

const (
	boardEvents = 4096                    // kept for routers that are behind
	boardFresh  = 1700 * time.Millisecond // since the store answered; a reader waits for it no longer than directWait and its slack
)

// Board shows what a Follower knows to others, as long as it hears from the store itself; its zero value is empty.
type Board struct {
	mu       sync.Mutex
	items    map[string]Item
	events   []Item // the newest changes
	floor    int64  // changes up to this revision are not among the events
	revision int64  // up to which everything is known
	at       time.Time
	changed  chan struct{} // closed when there is something new
}

// note takes a change.
func (b *Board) note(i Item) {
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
	if drop := len(b.events) - boardEvents; drop > 0 {
		b.floor = max(b.floor, b.events[drop-1].Revision)
		b.events = append([]Item(nil), b.events[drop:]...)
	}
}

// confirm notes that all is known up to a revision, by the store's own word or by another router's.
func (b *Board) confirm(revision int64, direct bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.revision == 0 {
		b.floor, b.events = revision, nil
	}
	b.revision = max(b.revision, revision)
	b.at = time.Time{}
	if direct {
		b.at = time.Now()
	}
	b.wake()
}

// lose notes that the store does not answer; those who wait are told at once, so that they follow another router.
func (b *Board) lose() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.at = time.Time{}
	b.wake()
}

// wake ends all waits; the caller holds mu.
func (b *Board) wake() {
	if b.changed != nil {
		close(b.changed)
		b.changed = nil
	}
}

// List returns what is known under prefix, or ErrStale; a list that need not be exact may be as old as the last word
// from the store.
func (b *Board) List(_ context.Context, prefix string, exact bool) ([]Item, int64, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if exact && time.Since(b.at) > boardFresh || b.revision == 0 {
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

// Watch waits for changes after a revision; errors are ErrStale and ErrCompacted.
func (b *Board) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Item, int64, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		items, revision, changed, err := b.since(prefix, after)
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

func (b *Board) since(prefix string, after int64) (items []Item, revision int64, changed chan struct{}, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if time.Since(b.at) > boardFresh {
		return nil, 0, nil, ErrStale
	}
	if after < b.floor {
		return nil, 0, nil, ErrCompacted
	}
	for _, i := range b.events {
		if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
			items = append(items, i)
		}
	}
	if b.changed == nil {
		b.changed = make(chan struct{})
	}
	return items, max(b.revision, after), b.changed, nil
}
