package follow_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"jaywind"
	"jaywind/internal/provider/follow"
	"jaywind/internal/standin/bubble"
)

var errUnavailable = errors.New("store unavailable")

// fakeStore is a Source that can be made unavailable, miss events and lose its history.
type fakeStore struct {
	mu          sync.Mutex
	items       map[string]follow.Item
	events      []follow.Item
	revision    int64
	compacted   int64
	era         int64
	unavailable bool
	dropsEvents bool // watches return no events
	hangs       bool // watches return nothing
	silent      bool // calls return nothing, a list after a second and a half
	calls       int
}

func (s *fakeStore) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i := follow.Item{Key: key, Value: []byte(value), Position: s.position(), Deleted: value == ""}
	if i.Deleted {
		delete(s.items, key)
	} else {
		if s.items == nil {
			s.items = map[string]follow.Item{}
		}
		s.items[key] = i
	}
	s.events = append(s.events, i)
}

// position returns the position of the last change; the caller holds mu.
func (s *fakeStore) position() jaywind.StorePosition {
	return jaywind.StorePosition{Era: s.era, Revision: s.revision}
}

func (s *fakeStore) update(change func(s *fakeStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

func (s *fakeStore) List(ctx context.Context, _ string, _ bool) ([]follow.Item, jaywind.StorePosition, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.silent {
		s.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(1500 * time.Millisecond):
		}
		s.mu.Lock()
		return nil, jaywind.StorePosition{}, errUnavailable
	}
	if s.unavailable {
		return nil, jaywind.StorePosition{}, errUnavailable
	}
	var items []follow.Item
	for _, i := range s.items {
		items = append(items, i)
	}
	return items, s.position(), nil
}

func (s *fakeStore) Watch(ctx context.Context, _ string, after jaywind.StorePosition, wait time.Duration) ([]follow.Item, jaywind.StorePosition, error) {
	s.update(func(s *fakeStore) { s.calls++ })
	for end := time.Now().Add(wait); ; time.Sleep(5 * time.Millisecond) {
		s.mu.Lock()
		var events []follow.Item
		for _, i := range s.events {
			if i.Position.Revision > after.Revision && !s.dropsEvents {
				events = append(events, i)
			}
		}
		unavailable, hangs, position := s.unavailable, s.hangs || s.silent, s.position()
		compacted := after.Revision < s.compacted || after.Revision > s.revision // as after a restore
		s.mu.Unlock()
		switch {
		case hangs:
			<-ctx.Done()
			return nil, jaywind.StorePosition{}, errUnavailable
		case unavailable:
			return nil, jaywind.StorePosition{}, errUnavailable
		case compacted:
			return nil, jaywind.StorePosition{}, follow.ErrCompacted
		case ctx.Err() != nil:
			return nil, jaywind.StorePosition{}, ctx.Err()
		case len(events) > 0:
			return events, position, nil
		case !time.Now().Before(end):
			return nil, jaywind.StorePosition{Era: position.Era, Revision: after.Revision}, nil
		}
	}
}

// recorder keeps the items that a follower has reported.
type recorder struct {
	mu   sync.Mutex
	keys map[string]string
}

func (v *recorder) change(i follow.Item) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if i.Deleted {
		delete(v.keys, i.Key)
		return
	}
	v.keys[i.Key] = string(i.Value)
}

func (v *recorder) String() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return fmt.Sprint(v.keys)
}

// TestFollowerRecovers fails if a follower does not have the items of the store 2 s after a change or fault.
func TestFollowerRecovers(t *testing.T) {
	tests := map[string]func(s *fakeStore){
		"plain change": func(s *fakeStore) { s.put("a", "2") },
		"deletion":     func(s *fakeStore) { s.put("a", "") },
		"short outage": func(s *fakeStore) {
			s.update(func(s *fakeStore) { s.unavailable = true })
			s.put("a", "2")
			s.updateLater(func() { s.unavailable = false })
		},
		"history compacted": func(s *fakeStore) {
			s.update(func(s *fakeStore) { s.dropsEvents = true })
			s.put("a", "2")
			s.updateLater(func() { s.dropsEvents, s.compacted, s.events = false, s.revision, nil })
		},
		"deletion in compacted history": func(s *fakeStore) {
			s.update(func(s *fakeStore) { s.dropsEvents = true })
			s.put("a", "")
			s.updateLater(func() { s.dropsEvents, s.compacted, s.events = false, s.revision, nil })
		},
	}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				s, v := &fakeStore{}, &recorder{keys: map[string]string{}}
				s.put("a", "1")
				s.put("b", "1")
				ctx, cancel := context.WithCancel(context.Background())
				var group conc.WaitGroup
				defer func() { cancel(); group.Wait() }()
				f := follow.Follower{Source: s, Log: zap.NewNop(), OnChange: v.change}
				group.Go(func() { _ = f.Run(ctx) })
				time.Sleep(time.Second)
				is := is.New(t)
				is.Equal(v.String(), "map[a:1 b:1]")
				fault(s)
				time.Sleep(2 * time.Second) // within which a configuration has to be in force
				want := map[string]string{}
				s.update(func(s *fakeStore) {
					for k, i := range s.items {
						want[k] = string(i.Value)
					}
				})
				is.Equal(v.String(), fmt.Sprint(want))
			})
		})
	}
}

func (s *fakeStore) updateLater(do func()) {
	time.Sleep(700 * time.Millisecond)
	s.update(func(*fakeStore) { do() })
}

// TestReaderFailures: in a large fleet readers stop, hang or lose the store. The test fails if a follower does not have a
// change within 2 s, in which a configuration has to be in force, or calls the store while a reader works.
func TestReaderFailures(t *testing.T) {
	tests := map[string]struct {
		fault func(first, second *fakeReader)
		calls int // largest number of calls of the store by the follower
	}{
		"both work":            {func(_, _ *fakeReader) {}, 0},
		"first is unreachable": {func(a, _ *fakeReader) { a.down.Store(true) }, 0},
		"first hangs":          {func(a, _ *fakeReader) { a.hangs.Store(true) }, 0},
		"first has lost the store": {func(a, _ *fakeReader) {
			a.source.update(func(s *fakeStore) { s.unavailable = true })
		}, 0},
		"both are unreachable": {func(a, b *fakeReader) { a.down.Store(true); b.down.Store(true) }, 8},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(context.Background())
				var group conc.WaitGroup
				defer func() { cancel(); group.Wait() }()
				truth := &fakeStore{}
				truth.put("a", "1")
				first, second := newReader(ctx, &group, truth), newReader(ctx, &group, truth)
				time.Sleep(time.Second)
				v := &recorder{keys: map[string]string{}}
				direct := &fakeStore{}
				direct.copyFrom(truth)
				path := &follow.PeerSource{Store: direct, Peers: func() ([]follow.Peer, bool) {
					return []follow.Peer{{Name: "first", Source: first}, {Name: "second", Source: second}}, false
				}}
				f := follow.Follower{Source: path, Log: zap.NewNop(), OnChange: v.change, FromStore: path.FromStore}
				group.Go(func() { _ = f.Run(ctx) })
				time.Sleep(time.Second)
				is.Equal(v.String(), "map[a:1]")
				c.fault(first, second)
				truth.put("a", "2")
				first.source.copyFrom(truth)
				second.source.copyFrom(truth)
				direct.copyFrom(truth)
				time.Sleep(2 * time.Second)
				is.Equal(v.String(), "map[a:2]")
				direct.update(func(s *fakeStore) { is.True(s.calls <= c.calls) }) // the readers take the load off the store
			})
		})
	}
}

// copyFrom copies the state of another store.
func (s *fakeStore) copyFrom(o *fakeStore) {
	o.mu.Lock()
	items, events, revision, era := o.items, o.events, o.revision, o.era
	o.mu.Unlock()
	s.update(func(s *fakeStore) {
		s.items = map[string]follow.Item{}
		for k, i := range items {
			s.items[k] = i
		}
		s.events, s.revision, s.era = append([]follow.Item(nil), events...), revision, era
	})
}

// TestStartDuringOutage fails if a router that starts while the store is unavailable does not get the items from a seed, or
// does not have those of the store soon after its return.
func TestStartDuringOutage(t *testing.T) {
	tests := map[string]struct {
		down int // unreachable seeds of two
		want string
	}{
		"both seeds work": {0, "map[a:1]"},
		"one seed works":  {1, "map[a:1]"},
		"no seed works":   {2, "map[]"},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(context.Background())
				var group conc.WaitGroup
				defer func() { cancel(); group.Wait() }()
				truth := &fakeStore{}
				truth.put("a", "1")
				seeds := []*fakeReader{newReader(ctx, &group, truth), newReader(ctx, &group, truth)}
				time.Sleep(time.Second)
				for i, r := range seeds {
					r.source.update(func(s *fakeStore) { s.unavailable = true })
					r.down.Store(i < c.down)
				}
				time.Sleep(5 * time.Second) // their items are old by then
				direct := &fakeStore{unavailable: true}
				path := &follow.PeerSource{Store: direct, Peers: func() ([]follow.Peer, bool) { return nil, false }, Seeds: func() []follow.Peer {
					return []follow.Peer{{Name: "first", Source: seeds[0]}, {Name: "second", Source: seeds[1]}}
				}}
				v := &recorder{keys: map[string]string{}}
				f := follow.Follower{Source: path, Log: zap.NewNop(), OnChange: v.change, FromStore: path.FromStore}
				group.Go(func() { _ = f.Run(ctx) })
				time.Sleep(time.Second)
				is.Equal(v.String(), c.want)
				truth.put("a", "2")
				direct.copyFrom(truth)
				direct.update(func(s *fakeStore) { s.unavailable = false })
				time.Sleep(2 * time.Second)
				is.Equal(v.String(), "map[a:2]")
			})
		})
	}
}

// TestStopIsNoOutage fails if a follower that is stopped during a watch reports the store as unavailable.
func TestStopIsNoOutage(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &fakeStore{}
		s.put("a", "1")
		ctx, cancel := context.WithCancel(context.Background())
		var group conc.WaitGroup
		lost := false
		f := follow.Follower{Source: s, Log: zap.NewNop(), OnChange: func(follow.Item) {}, OnResult: func(ok bool) { lost = lost || !ok }}
		group.Go(func() { _ = f.Run(ctx) })
		time.Sleep(time.Second)
		cancel()
		group.Wait()
		is.True(!lost)
	})
}

// slowStore is a store with slow lists, as when many routers list at once or the list is long.
type slowStore struct {
	*fakeStore
	delay time.Duration
}

func (s *slowStore) List(ctx context.Context, prefix string, exact bool) ([]follow.Item, jaywind.StorePosition, error) {
	select {
	case <-time.After(s.delay):
		return s.fakeStore.List(ctx, prefix, exact)
	case <-ctx.Done():
		return nil, jaywind.StorePosition{}, ctx.Err()
	}
}

// TestLongList fails if a list that takes longer than usual is cancelled and requested again without end, by a router that
// has just started or has to list again.
func TestLongList(t *testing.T) {
	tests := map[string]struct {
		delay, within time.Duration
	}{
		"longer than the delay before seeds are asked": {delay: 800 * time.Millisecond, within: time.Second},
		"longer than usual":                            {delay: 2 * time.Second, within: 3 * time.Second},
		"much longer":                                  {delay: 10 * time.Second, within: 12 * time.Second},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				is := is.New(t)
				truth := &fakeStore{}
				truth.put("a", "1")
				seed := &fakeStore{unavailable: true}
				path := &follow.PeerSource{
					Store: &slowStore{truth, c.delay},
					Peers: func() ([]follow.Peer, bool) { return nil, false },
					Seeds: func() []follow.Peer { return []follow.Peer{{Name: "seed", Source: seed}} },
				}
				known := make(chan follow.Item, 4)
				f := follow.Follower{Source: path, Log: zap.NewNop(), OnChange: func(i follow.Item) { known <- i }, FromStore: path.FromStore}
				ctx, cancel := context.WithCancel(context.Background())
				var group conc.WaitGroup
				group.Go(func() { _ = f.Run(ctx) })
				begun := time.Now()
				select {
				case <-known:
				case <-time.After(time.Minute):
					t.Error("no item after a minute")
				}
				is.True(time.Since(begun) <= c.within)
				cancel()
				group.Wait()
			})
		})
	}
}

// TestFleetStart starts a router of a large fleet whose readers start at the same time. It fails if the router lists the
// whole prefix from the store although a reader has the list a moment later, or if it waits for readers that are gone.
func TestFleetStart(t *testing.T) {
	tests := map[string]struct {
		err          error
		hangs        bool          // another reader is asked first and does not answer
		readerStarts time.Duration // delay after the start of the router; 0 for never
		within       time.Duration
		whole        int // lists of the whole prefix from the store
	}{
		"readers start a moment later":    {err: errUnavailable, readerStarts: 300 * time.Millisecond, within: 600 * time.Millisecond},
		"readers have their lists later":  {err: follow.ErrStale, readerStarts: 1500 * time.Millisecond, within: 2 * time.Second},
		"readers are sending other lists": {err: follow.ErrTooManyLists, readerStarts: 1500 * time.Millisecond, within: 2 * time.Second},
		"readers are gone":                {err: errUnavailable, within: time.Second, whole: 1},
		"the first reader hangs":          {err: errUnavailable, hangs: true, readerStarts: 50 * time.Millisecond, within: 400 * time.Millisecond},
		"readers never have their lists":  {err: follow.ErrStale, within: 3 * time.Second, whole: 1},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				is := is.New(t)
				truth := &fakeStore{}
				truth.put("members/vm2", "at")
				truth.put("endpoints/e1", "1")
				direct := &countingSource{Source: truth}
				ctx, cancel := context.WithCancel(context.Background())
				var group conc.WaitGroup
				peer := &lateReader{err: c.err}
				if c.readerStarts > 0 {
					group.Go(func() {
						time.Sleep(c.readerStarts)
						peer.reader.Store(newReader(ctx, &group, truth))
					})
				}
				reported := make(chan string, 4)
				member := false
				path := &follow.PeerSource{
					Store: direct,
					Peers: func() ([]follow.Peer, bool) {
						if !member {
							return nil, false
						}
						if c.hangs {
							return []follow.Peer{{Name: "vm1", Source: &lateReader{}}, {Name: "vm2", Source: peer}}, false
						}
						return []follow.Peer{{Name: "vm2", Source: peer}}, false
					},
					FirstListPeers: func() []follow.Peer {
						return []follow.Peer{{Name: "vm3", Source: &lateReader{err: errUnavailable}}}
					},
					Seeds: func() []follow.Peer { return nil },
				}
				f := follow.Follower{Source: path, PeersPrefix: "members/", Log: zap.NewNop(), FromStore: path.FromStore, OnChange: func(i follow.Item) {
					member = member || i.Key == "members/vm2"
					reported <- i.Key
				}}
				begun := time.Now()
				group.Go(func() { _ = f.Run(ctx) })
				is.Equal(<-reported, "members/vm2")
				is.Equal(<-reported, "endpoints/e1")
				is.True(time.Since(begun) <= c.within)
				is.Equal(int(direct.whole.Load()), c.whole)
				cancel()
				group.Wait()
			})
		})
	}
}

// countingSource filters lists by prefix and counts those of the whole prefix.
type countingSource struct {
	follow.Source
	whole atomic.Int64
}

func (c *countingSource) List(ctx context.Context, prefix string, exact bool) ([]follow.Item, jaywind.StorePosition, error) {
	if prefix == "" {
		c.whole.Add(1)
	}
	items, position, err := c.Source.List(ctx, prefix, exact)
	return slices.DeleteFunc(items, func(i follow.Item) bool { return !strings.HasPrefix(i.Key, prefix) }), position, err
}

// lateReader is a router that returns an error, or hangs, until it has started.
type lateReader struct {
	err    error // until it has started; nil to hang
	reader atomic.Pointer[fakeReader]
}

func (l *lateReader) List(ctx context.Context, prefix string, exact bool) ([]follow.Item, jaywind.StorePosition, error) {
	if r := l.reader.Load(); r != nil {
		return r.List(ctx, prefix, exact)
	}
	if l.err == nil {
		<-ctx.Done()
		return nil, jaywind.StorePosition{}, ctx.Err()
	}
	return nil, jaywind.StorePosition{}, l.err
}

func (l *lateReader) Watch(ctx context.Context, prefix string, after jaywind.StorePosition, wait time.Duration) ([]follow.Item, jaywind.StorePosition, error) {
	if r := l.reader.Load(); r != nil {
		return r.Watch(ctx, prefix, after, wait)
	}
	return nil, jaywind.StorePosition{}, errUnavailable
}

// TestFrequentChanges answers a large fleet whose endpoints change all the time: each change would wake the watches of all
// readers. The test fails if a reader calls the store more than 1.5 times a second, or has a change later than 1 s.
func TestFrequentChanges(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		truth := &fakeStore{}
		path := &follow.PeerSource{Store: truth, Peers: func() ([]follow.Peer, bool) { return nil, true }}
		var mu sync.Mutex
		written, latest := map[string]time.Time{}, time.Duration(0)
		f := &follow.Follower{Source: path, Log: zap.NewNop(), FromStore: path.FromStore, ForOthers: path.IsReader, OnChange: func(i follow.Item) {
			mu.Lock()
			defer mu.Unlock()
			latest = max(latest, time.Since(written[i.Key]))
		}}
		ctx, cancel := context.WithCancel(context.Background())
		var group conc.WaitGroup
		group.Go(func() { _ = f.Run(ctx) })
		time.Sleep(time.Second)
		before := 0
		truth.update(func(s *fakeStore) { before = s.calls })
		const during = 20 * time.Second
		for n := range int(during / (50 * time.Millisecond)) {
			key := fmt.Sprintf("endpoints/e%d", n)
			mu.Lock()
			written[key] = time.Now()
			mu.Unlock()
			truth.put(key, "1")
			time.Sleep(50 * time.Millisecond)
		}
		cancel()
		group.Wait()
		truth.update(func(s *fakeStore) { is.True(float64(s.calls-before) <= 1.5*during.Seconds()) })
		is.True(latest <= time.Second)
	})
}

// TestPanicAtOneItem: one item makes the code that applies it panic. The test fails if the other items, also later ones, are
// not reported.
func TestPanicAtOneItem(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		truth, v := &fakeStore{}, &recorder{keys: map[string]string{}}
		for _, key := range []string{"a", "bad", "c"} {
			truth.put(key, "1")
		}
		f := follow.Follower{Source: truth, Log: zap.NewNop(), OnChange: func(i follow.Item) {
			if i.Key == "bad" {
				panic("index out of range")
			}
			v.change(i)
		}}
		ctx, cancel := context.WithCancel(context.Background())
		var group conc.WaitGroup
		defer func() { cancel(); group.Wait() }()
		group.Go(func() { _ = f.Run(ctx) })
		time.Sleep(time.Second)
		is.Equal(v.String(), "map[a:1 c:1]")
		truth.put("bad", "2")
		truth.put("d", "2")
		time.Sleep(time.Second)
		is.Equal(v.String(), "map[a:1 c:1 d:2]")
	})
}
