package follow

import (
	"bytes"
	"errors"
	"time"

	"go.uber.org/zap"

	"jaywind"
)

// ErrRestored is returned by a Source whose store has come back from an older copy of itself, so that its history is another
// one than that of the requested position.
var ErrRestored = errors.New("the store has come back from an older copy")

// AnyEra is the era of a position given by a router that knows no eras. It stands for the present one.
const AnyEra int64 = -1

const (
	deletionMemory = time.Minute // for which deletions are remembered; a copy of the store is some seconds old
	maxDeletions   = 4096
	withholdTime   = ReregisterGrace + cacheFreshTime // the second is by how much a reader's items may be out of date
)

// deletion is a deletion of a key that the follower has reported.
type deletion struct {
	position jaywind.StorePosition
	at       time.Time
}

// withheldItem is an item of a restored store that is older than what was reported of its key.
type withheldItem struct {
	item     Item
	reported Item // before the restore
	until    time.Time
}

// needsList tells whether an error means that the prefix has to be listed again.
func needsList(err error) bool {
	return errors.Is(err, ErrCompacted) || errors.Is(err, ErrRestored)
}

// recordRestore reports that the store has come back from an older copy.
func (f *Follower) recordRestore(position jaywind.StorePosition) {
	f.Log.Warn("store: restored from an older copy", zap.Int64("era", position.Era), zap.Int64("revision", position.Revision),
		zap.Int64("era_before", f.position.Era), zap.Int64("revision_before", f.position.Revision))
	if f.Cache != nil {
		f.Cache.restart()
	}
	if f.OnRestore != nil {
		f.OnRestore()
	}
}

// withhold tells whether an item may be older than what was reported of its key in an earlier era, and keeps it back then:
// the writer of the key writes it again soon. The item is recorded as the store's all the same.
func (f *Follower) withhold(i Item) bool {
	if f.WritesAgain == nil || !f.WritesAgain(i.Key) {
		return false
	}
	reported, known := f.reported(i.Key)
	if !known || reported.Position.Era >= i.Position.Era || i.Position.Revision > reported.Position.Revision ||
		!reported.Deleted && bytes.Equal(i.Value, reported.Value) {
		return false
	}
	f.withheld[i.Key] = withheldItem{item: i, reported: reported, until: time.Now().Add(withholdTime)}
	f.stored[i.Key] = i
	if f.Cache != nil {
		f.Cache.apply(i)
	}
	return true
}

// reported returns what was reported last of a key.
func (f *Follower) reported(key string) (i Item, known bool) {
	if w, found := f.withheld[key]; found {
		return w.reported, true
	}
	if i, known = f.stored[key]; known {
		return i, true
	}
	d, known := f.deletions[key]
	return Item{Key: key, Position: d.position, Deleted: true}, known
}

// recordDeletion remembers the deletion of a key that its writer may write again.
func (f *Follower) recordDeletion(i Item) {
	if f.WritesAgain == nil || !f.WritesAgain(i.Key) {
		return
	}
	now := time.Now()
	if len(f.deletions) >= maxDeletions {
		for key, d := range f.deletions {
			if now.Sub(d.at) > deletionMemory {
				delete(f.deletions, key)
			}
		}
	}
	if len(f.deletions) < maxDeletions {
		f.deletions[i.Key] = deletion{position: i.Position, at: now}
	}
}

// releaseWithheld reports the items that were not written again in time while the store was available, and returns how long the others are still kept
// back, or 0 if there are none.
func (f *Follower) releaseWithheld() (next time.Duration) {
	now := time.Now()
	for key, w := range f.withheld {
		left := w.until.Sub(now)
		switch {
		case !f.unavailableSince.IsZero(): // it may have been written again since
			left = withholdTime
			w.until = now.Add(left)
			f.withheld[key] = w
		case left <= 0:
			delete(f.withheld, key)
			f.report(w.item)
			continue
		}
		if next == 0 || left < next {
			next = left
		}
	}
	return next
}
