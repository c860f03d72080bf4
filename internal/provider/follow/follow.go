package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"
)

// ErrCompacted is returned by a Source whose history no longer contains the requested revision.
var ErrCompacted = errors.New("the history is gone")

// Item is a write or a deletion of a key of the store.
type Item struct {
	Key      string
	Value    []byte
	Revision int64 // of the change
	Deleted  bool
}

// Source reads from the store.
type Source interface {
	// List returns all items under prefix and a revision from which to watch. Without exact the items may be some seconds
	// old; a watch from the revision then returns the changes since. List fails when no data arrives for a second or two,
	// but may take longer in total.
	List(ctx context.Context, prefix string, exact bool) ([]Item, int64, error)
	// Watch waits for changes after a revision and returns them with the revision up to which they are complete. It returns
	// no items once wait has passed. Its errors include ErrCompacted.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Item, int64, error)
}

const (
	defaultWait    = 2400 * time.Millisecond // plus answerMargin less than 3 s, within which a dead connection has to be noticed
	answerMargin   = 500 * time.Millisecond  // for the answer to arrive after the wait
	batchDelay     = 300 * time.Millisecond  // after a change from the store, so that further changes arrive in one answer
	peerBatchDelay = 50 * time.Millisecond   // the same after a change from another router
	listTimeout    = 20 * time.Second        // for a list at any speed; the Source ends one that stalls
	peersTimeout   = 1500 * time.Millisecond // for the list of the items that name the peers
	retryMin       = 100 * time.Millisecond
	retryMax       = 800 * time.Millisecond
)

// Follower follows the changes under one prefix; set its fields before Run.
type Follower struct {
	Source      Source
	Prefix      string
	PeersPrefix string        // prefix of the items that name the peers of the Source; listed before the whole prefix unless empty
	Wait        time.Duration // longest wait for a change; 0 means 2.4 s
	Log         *zap.Logger
	OnChange    func(Item)    // is called with each change; changes of one key come in the order of their revisions
	OnResult    func(ok bool) // is called after each call of the Source, with whether it was answered; may be nil
	Cache       *Cache        // serves the items to other routers; may be nil
	FromStore   func() bool   // whether the last answer came from the store itself; nil means always

	revisions        map[string]int64 // revision of each key's item
	revision         int64            // changes up to this one were applied
	exactNext        bool             // the next list has to be exact
	unavailableSince time.Time        // zero while the store answers
}

// Run follows the prefix until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	f.revisions = map[string]int64{}
	if f.Wait == 0 {
		f.Wait = defaultWait
	}
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = retryMin, retryMax
	for ctx.Err() == nil {
		err := f.list(ctx)
		for err == nil && ctx.Err() == nil {
			pause.Reset()
			err = f.watch(ctx)
		}
		if errors.Is(err, ErrCompacted) {
			continue
		}
		f.sleep(ctx, pause.NextBackOff())
	}
	return ctx.Err()
}

func (f *Follower) sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// listPeers lists the items that name the peers, before the first list of the whole prefix.
func (f *Follower) listPeers(ctx context.Context) {
	if f.PeersPrefix == "" || f.exactNext {
		return
	}
	call, cancel := context.WithTimeout(ctx, peersTimeout)
	defer cancel()
	items, _, err := f.Source.List(call, f.PeersPrefix, false)
	if err != nil {
		return // the list of the whole prefix shows whether the store is available
	}
	for _, i := range items {
		f.apply(i)
	}
}

// list reads the whole prefix and applies all differences.
func (f *Follower) list(ctx context.Context) error {
	f.listPeers(ctx)
	call, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	items, revision, err := f.Source.List(call, f.Prefix, f.exactNext)
	if ctx.Err() != nil {
		return ctx.Err() // cancelled by the owner, which says nothing about the store
	}
	f.recordResult(err)
	if err != nil {
		return err
	}
	f.exactNext = true // an old list would undo changes that were applied already
	listed := make(map[string]bool, len(items))
	for _, i := range items {
		listed[i.Key] = true
		f.apply(i)
	}
	for key, at := range f.revisions {
		if !listed[key] && at <= revision {
			f.apply(Item{Key: key, Revision: revision, Deleted: true})
		}
	}
	f.revision = revision
	f.publish()
	return nil
}

// watch waits for changes once. It returns an error when the prefix has to be listed again.
func (f *Follower) watch(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, f.Wait+answerMargin)
	defer cancel()
	items, revision, err := f.Source.Watch(call, f.Prefix, f.revision, f.Wait)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if err != nil && !errors.Is(err, ErrCompacted) && f.unavailableSince.IsZero() {
		// A single failed call needs no new list; the same watch is repeated.
		f.recordResult(err)
		f.sleep(ctx, time.Duration(rand.Int64N(int64(retryMin))))
		return ctx.Err()
	}
	f.recordResult(err)
	if err != nil {
		return err
	}
	for _, i := range items {
		f.apply(i)
	}
	f.revision = max(f.revision, revision)
	f.publish()
	switch {
	case len(items) == 0:
	case f.fromStore():
		f.sleep(ctx, batchDelay)
	default:
		f.sleep(ctx, peerBatchDelay)
	}
	return nil
}

// apply reports a change unless the same or a newer one of the key was applied. A deletion may have the revision of the
// item that it deletes, because list gives it the revision of the whole list.
func (f *Follower) apply(i Item) {
	if at, known := f.revisions[i.Key]; known && i.Revision <= at && !i.Deleted || known && i.Revision < at {
		return
	}
	if i.Deleted {
		if _, known := f.revisions[i.Key]; !known {
			return
		}
		delete(f.revisions, i.Key)
	} else {
		f.revisions[i.Key] = i.Revision
	}
	if f.Cache != nil {
		f.Cache.apply(i)
	}
	f.OnChange(i)
}

// publish sets the revision up to which the cache is complete.
func (f *Follower) publish() {
	if f.Cache != nil {
		f.Cache.confirm(f.revision, f.fromStore())
	}
}

func (f *Follower) fromStore() bool { return f.FromStore == nil || f.FromStore() }

// recordResult reports the outcome of a call, and logs when the store becomes unavailable and available again.
func (f *Follower) recordResult(err error) {
	ok := err == nil || errors.Is(err, ErrCompacted)
	if f.OnResult != nil {
		f.OnResult(ok)
	}
	if !ok && f.Cache != nil {
		f.Cache.markStale()
	}
	switch {
	case errors.Is(err, ErrCompacted):
		f.Log.Info("store: history compacted, listing again", zap.Int64("after", f.revision))
	case !ok && f.unavailableSince.IsZero():
		f.unavailableSince = time.Now()
		f.Log.Warn("store: unavailable", zap.Error(err), zap.Int64("revision", f.revision))
	case ok && !f.unavailableSince.IsZero():
		f.Log.Info("store: available again", zap.Duration("away", time.Since(f.unavailableSince)), zap.Int64("revision", f.revision))
		f.unavailableSince = time.Time{}
	}
}
