package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"
)

// ErrCompacted is returned by a Source whose history no longer reaches back far enough.
var ErrCompacted = errors.New("the history is gone")

// Item is a key of the store, as it was written or deleted.
type Item struct {
	Key      string
	Value    []byte
	Revision int64 // of the change
	Deleted  bool
}

// Source reads from the store.
type Source interface {
	// List returns all items under prefix and a revision from which to watch. Unless it is exact, the items may be
	// some seconds old; a watch from the revision then tells what has changed since. It ends with an error when nothing
	// comes for a second or two, but may take longer in all.
	List(ctx context.Context, prefix string, exact bool) ([]Item, int64, error)
	// Watch waits for changes after a revision, and returns none once wait is over; errors may be ErrCompacted.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Item, int64, error)
}

const (
	defaultWait = 2400 * time.Millisecond // with the slack, less than the 3 s after which a silent connection has to be seen
	waitSlack   = 500 * time.Millisecond  // for the answer to come
	gatherTime  = 300 * time.Millisecond  // after a change of the store, for others that come with it
	peerGather  = 50 * time.Millisecond   // the same after a change that came by way of another router
	listLimit   = 20 * time.Second        // for a list, however slowly it comes; the Source ends one that no longer comes
	firstLimit  = 1500 * time.Millisecond // for the items by which the Source knows whom to ask
	retryFirst  = 100 * time.Millisecond
	retryLast   = 800 * time.Millisecond
)

// Follower keeps up with one prefix; set its fields before Run.
type Follower struct {
	Source  Source
	Prefix  string
	First   string        // prefix of the items by which the Source knows whom to ask; listed before all else unless empty
	Wait    time.Duration // longest wait for a change; 2.4 s when zero
	Log     *zap.Logger
	Changed func(Item)    // is called with each change, in the order of revisions for a key
	Reached func(ok bool) // is called after each call, with whether it was answered; may be nil
	Board   *Board        // shows what is known to others; may be nil
	Direct  func() bool   // whether the last answer was the store's own; always when nil

	known map[string]int64 // revision of each key's item
	after int64
	exact bool      // the next list has to be
	away  time.Time // since the store does not answer; zero while it does
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	f.known = map[string]int64{}
	if f.Wait == 0 {
		f.Wait = defaultWait
	}
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = retryFirst, retryLast
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

// prepare lists what the Source needs before the first whole list.
func (f *Follower) prepare(ctx context.Context) {
	if f.First == "" || f.exact {
		return
	}
	call, cancel := context.WithTimeout(ctx, firstLimit)
	defer cancel()
	items, _, err := f.Source.List(call, f.First, false)
	if err != nil {
		return // the whole list shows whether the store is away
	}
	for _, i := range items {
		f.take(i)
	}
}

// list reads everything and reports what is new, changed or no longer there.
func (f *Follower) list(ctx context.Context) error {
	f.prepare(ctx)
	call, cancel := context.WithTimeout(ctx, listLimit)
	defer cancel()
	items, revision, err := f.Source.List(call, f.Prefix, f.exact)
	if ctx.Err() != nil {
		return ctx.Err() // the follower ends, which says nothing of the store
	}
	f.note(err)
	if err != nil {
		return err
	}
	f.exact = true // of what is known already, an old list would undo changes
	there := make(map[string]bool, len(items))
	for _, i := range items {
		there[i.Key] = true
		f.take(i)
	}
	for key, at := range f.known {
		if !there[key] && at <= revision {
			f.take(Item{Key: key, Revision: revision, Deleted: true})
		}
	}
	f.after = revision
	f.confirm()
	return nil
}

// watch waits for changes once; the error is not nil when everything has to be listed again.
func (f *Follower) watch(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, f.Wait+waitSlack)
	defer cancel()
	items, revision, err := f.Source.Watch(call, f.Prefix, f.after, f.Wait)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if err != nil && !errors.Is(err, ErrCompacted) && f.away.IsZero() {
		// One lost answer is no reason to list: the same wait is asked for again.
		f.note(err)
		f.sleep(ctx, time.Duration(rand.Int64N(int64(retryFirst))))
		return ctx.Err()
	}
	f.note(err)
	if err != nil {
		return err
	}
	for _, i := range items {
		f.take(i)
	}
	f.after = max(f.after, revision)
	f.confirm()
	switch {
	case len(items) == 0:
	case f.direct():
		f.sleep(ctx, gatherTime)
	default:
		f.sleep(ctx, peerGather)
	}
	return nil
}

// take reports a change unless a newer one of the key is known.
func (f *Follower) take(i Item) {
	if at, known := f.known[i.Key]; known && i.Revision <= at && !i.Deleted || known && i.Revision < at {
		return
	}
	if i.Deleted {
		if _, known := f.known[i.Key]; !known {
			return
		}
		delete(f.known, i.Key)
	} else {
		f.known[i.Key] = i.Revision
	}
	if f.Board != nil {
		f.Board.note(i)
	}
	f.Changed(i)
}

// confirm shows on the board that everything is known up to now.
func (f *Follower) confirm() {
	if f.Board != nil {
		f.Board.confirm(f.after, f.direct())
	}
}

func (f *Follower) direct() bool { return f.Direct == nil || f.Direct() }

// note logs when the store goes away and comes back.
func (f *Follower) note(err error) {
	ok := err == nil || errors.Is(err, ErrCompacted)
	if f.Reached != nil {
		f.Reached(ok)
	}
	if !ok && f.Board != nil {
		f.Board.lose()
	}
	switch {
	case errors.Is(err, ErrCompacted):
		f.Log.Info("store: history gone, listing again", zap.Int64("after", f.after))
	case !ok && f.away.IsZero():
		f.away = time.Now()
		f.Log.Warn("store: lost", zap.Error(err), zap.Int64("revision", f.after))
	case ok && !f.away.IsZero():
		f.Log.Info("store: regained", zap.Duration("away", time.Since(f.away)), zap.Int64("revision", f.after))
		f.away = time.Time{}
	}
}
