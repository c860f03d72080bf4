package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"jaywind"
)

// ErrCompacted is returned by a Source whose history no longer contains the requested revision.
var ErrCompacted = errors.New("the history is gone")

// Item is a write or a deletion of a key of the store.
type Item struct {
	Key      string
	Value    []byte
	Position jaywind.StorePosition // of the change
	Deleted  bool
}

// Source reads from the store.
type Source interface {
	// List returns all items under prefix and a position from which to watch. Without exact the items may be some seconds
	// old; a watch from the position then returns the changes since. List fails when no data arrives for a second or two,
	// but may take longer in total.
	List(ctx context.Context, prefix string, exact bool) ([]Item, jaywind.StorePosition, error)
	// Watch waits for changes after a position and returns them with the position up to which they are complete. If that is
	// in a later era, the items are of no use. It returns no items once wait has passed. Its errors include ErrCompacted and
	// ErrRestored. A call after one that ran into its time-out uses a new connection.
	Watch(ctx context.Context, prefix string, after jaywind.StorePosition, wait time.Duration) ([]Item, jaywind.StorePosition, error)
}

const (
	defaultWait    = maxAge - answerMargin
	answerMargin   = 500 * time.Millisecond  // for the answer to arrive after the wait
	failoverTime   = 3 * time.Second         // for a Source to turn to others
	batchDelay     = 300 * time.Millisecond  // after a change from the store, so that further changes arrive in one answer
	readerDelay    = 700 * time.Millisecond  // the same for a reader; in the large fleets that have readers, changes are frequent
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
	Wait        time.Duration // longest wait for a change; 0 means 2.3 s
	Log         *zap.Logger
	OnChange    func(Item)    // is called with each change; changes of one key come in the order of their positions
	OnRestore   func()        // is called when the store has come back from an older copy, before the changes that this shows; may be nil
	OnResult    func(ok bool) // is called after each call of the Source, with whether it was answered; may be nil
	Cache       *Cache        // serves the items to other routers; may be nil
	FromStore   func() bool   // whether the last answer came from the store itself; nil means always
	ForOthers   func() bool   // whether this router reads the store for others as well; nil means never
	// WritesAgain tells whether a key's writer writes it again when the store has come back from an older copy. What the copy
	// says of it is then not reported for some seconds if it is older than what was reported before. May be nil.
	WritesAgain func(key string) bool

	stored           map[string]Item // the items in the store
	withheld         map[string]withheldItem
	deletions        map[string]deletion
	position         jaywind.StorePosition // changes up to this one were applied
	exactNext        bool                  // the next list has to be exact
	unavailableSince time.Time             // zero while the store answers
}

// Run follows the prefix until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	f.stored, f.withheld, f.deletions = map[string]Item{}, map[string]withheldItem{}, map[string]deletion{}
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
		if needsList(err) {
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
	items, position, err := f.Source.List(call, f.Prefix, f.exactNext)
	if ctx.Err() != nil {
		return ctx.Err() // cancelled by the owner, which says nothing about the store
	}
	if err == nil && position.Era < f.position.Era {
		err = ErrStale // from before the restore
	}
	f.recordResult(err)
	if err != nil {
		return err
	}
	f.exactNext = true // an old list would undo changes that were applied already
	restored := position.Era > f.position.Era && !f.position.IsZero()
	if restored {
		f.recordRestore(position)
	}
	listed := make(map[string]bool, len(items))
	for _, i := range items {
		listed[i.Key] = true
		if !restored || !f.withhold(i) {
			f.apply(i)
		}
	}
	for key, i := range f.stored {
		if !listed[key] && i.Position.Compare(position) <= 0 {
			f.apply(Item{Key: key, Position: position, Deleted: true})
		}
	}
	f.position = position
	f.publish()
	return nil
}

// watch waits for changes once. It returns an error when the prefix has to be listed again.
func (f *Follower) watch(ctx context.Context) error {
	wait := f.Wait
	if next := f.releaseWithheld(); next > 0 {
		wait = min(wait, next)
	}
	call, cancel := context.WithTimeout(ctx, wait+answerMargin+failoverTime)
	defer cancel()
	items, position, err := f.Source.Watch(call, f.Prefix, f.position, wait)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	switch {
	case err == nil && position.Era > f.position.Era:
		err = ErrRestored
	case err == nil && position.Era < f.position.Era:
		err = ErrStale
	}
	if err != nil && !needsList(err) && f.unavailableSince.IsZero() {
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
	if position.Compare(f.position) > 0 {
		f.position = position
	}
	f.publish()
	switch {
	case len(items) == 0:
	case f.ForOthers != nil && f.ForOthers():
		f.sleep(ctx, readerDelay)
	case f.fromStore():
		f.sleep(ctx, batchDelay)
	default:
		f.sleep(ctx, peerBatchDelay)
	}
	return nil
}

// apply reports a change unless the same or a newer one of the key was applied. A deletion may have the position of the
// item that it deletes, because list gives it the position of the whole list.
func (f *Follower) apply(i Item) {
	old, known := f.stored[i.Key]
	order := i.Position.Compare(old.Position)
	switch {
	case known && (order < 0 || order == 0 && !i.Deleted), !known && i.Deleted:
		return
	case i.Deleted:
		delete(f.stored, i.Key)
		f.recordDeletion(i)
	default:
		f.stored[i.Key] = i
		delete(f.deletions, i.Key)
	}
	delete(f.withheld, i.Key)
	if f.Cache != nil {
		f.Cache.apply(i)
	}
	f.report(i)
}

// report calls OnChange. A panic in it, which one unexpected item may cause, ends neither the process nor the following of all
// other items.
func (f *Follower) report(i Item) {
	defer func() {
		if cause := recover(); cause != nil {
			f.Log.Error("store: panic while an item was applied", zap.String("key", i.Key), zap.Int64("revision", i.Position.Revision),
				zap.Any("cause", cause), zap.Stack("stack"))
		}
	}()
	f.OnChange(i)
}

// publish sets the position up to which the cache is complete.
func (f *Follower) publish() {
	if f.Cache != nil {
		f.Cache.confirm(f.position, f.fromStore())
	}
}

func (f *Follower) fromStore() bool { return f.FromStore == nil || f.FromStore() }

// recordResult reports the outcome of a call, and logs when the store becomes unavailable and available again.
func (f *Follower) recordResult(err error) {
	ok := err == nil || needsList(err)
	if f.OnResult != nil {
		f.OnResult(ok)
	}
	if !ok && f.Cache != nil {
		f.Cache.markStale()
	}
	switch {
	case errors.Is(err, ErrCompacted):
		f.Log.Info("store: history compacted, listing again", zap.Int64("after", f.position.Revision))
	case !ok && f.unavailableSince.IsZero():
		f.unavailableSince = time.Now()
		f.Log.Warn("store: unavailable", zap.Error(err), zap.Int64("revision", f.position.Revision))
	case ok && !f.unavailableSince.IsZero():
		f.Log.Info("store: available again", zap.Duration("away", time.Since(f.unavailableSince)), zap.Int64("revision", f.position.Revision))
		f.unavailableSince = time.Time{}
	}
}
