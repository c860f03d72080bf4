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
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"jaywind/internal/provider/follow"
)

var errAway = errors.New("away")

// store is a source that can be taken away, go stale and forget.
type store struct {
	mu       sync.Mutex
	items    map[string]follow.Item
	events   []follow.Item
	revision int64
	floor    int64
	away     bool
	deaf     bool // watches hear nothing
	calls    int
}

func (s *store) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i := follow.Item{Key: key, Value: []byte(value), Revision: s.revision, Deleted: value == ""}
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

func (s *store) set(change func(s *store)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

func (s *store) List(context.Context, string, bool) ([]follow.Item, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.away {
		return nil, 0, errAway
	}
	var items []follow.Item
	for _, i := range s.items {
		items = append(items, i)
	}
	return items, s.revision, nil
}

func (s *store) Watch(ctx context.Context, _ string, after int64, wait time.Duration) ([]follow.Item, int64, error) {
	s.set(func(s *store) { s.calls++ })
	for end := time.Now().Add(wait); ; time.Sleep(5 * time.Millisecond) {
		s.mu.Lock()
		var events []follow.Item
		for _, i := range s.events {
			if i.Revision > after && !s.deaf {
				events = append(events, i)
			}
		}
		away, gone, revision := s.away, after < s.floor, s.revision
		s.mu.Unlock()
		switch {
		case away:
			return nil, 0, errAway
		case gone:
			return nil, 0, follow.ErrCompacted
		case ctx.Err() != nil:
			return nil, 0, ctx.Err()
		case len(events) > 0:
			return events, revision, nil
		case !time.Now().Before(end):
			return nil, after, nil
		}
	}
}

// view is what a follower has reported.
type view struct {
	mu   sync.Mutex
	keys map[string]string
}

func (v *view) change(i follow.Item) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if i.Deleted {
		delete(v.keys, i.Key)
		return
	}
	v.keys[i.Key] = string(i.Value)
}

func (v *view) String() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return fmt.Sprint(v.keys)
}

// TestLosses: whatever happens at the store, a follower knows what it holds soon afterwards.
func TestLosses(t *testing.T) {
	tests := map[string]func(s *store){
		"plain change": func(s *store) { s.put("a", "2") },
		"deletion":     func(s *store) { s.put("a", "") },
		"away for a moment": func(s *store) {
			s.set(func(s *store) { s.away = true })
			s.put("a", "2")
			s.later(func() { s.away = false })
		},
		"history is gone": func(s *store) {
			s.set(func(s *store) { s.deaf = true })
			s.put("a", "2")
			s.later(func() { s.deaf, s.floor, s.events = false, s.revision, nil })
		},
		"deleted in the dark": func(s *store) {
			s.set(func(s *store) { s.deaf = true })
			s.put("a", "")
			s.later(func() { s.deaf, s.floor, s.events = false, s.revision, nil })
		},
	}
	for name, strike := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, v := &store{}, &view{keys: map[string]string{}}
				s.put("a", "1")
				s.put("b", "1")
				ctx, cancel := context.WithCancel(context.Background())
				var group conc.WaitGroup
				defer func() { cancel(); group.Wait() }()
				f := follow.Follower{Source: s, Log: zap.NewNop(), Changed: v.change}
				group.Go(func() { _ = f.Run(ctx) })
				time.Sleep(time.Second)
				is := is.New(t)
				is.Equal(v.String(), "map[a:1 b:1]")
				strike(s)
				time.Sleep(2 * time.Second) // the time within which a configuration has to be in force
				want := map[string]string{}
				s.set(func(s *store) {
					for k, i := range s.items {
						want[k] = string(i.Value)
					}
				})
				is.Equal(v.String(), fmt.Sprint(want))
			})
		})
	}
}

func (s *store) later(do func()) {
	time.Sleep(700 * time.Millisecond)
	s.set(func(*store) { do() })
}

// TestReaders: the pattern is a large fleet whose readers die, are cut off or go stale; followers are right within the
// time that a configuration has, and the store is not asked by all.
func TestReaders(t *testing.T) {
	tests := map[string]struct {
		strike func(first, second *reader)
		calls  int // of the store by the follower at most
	}{
		"both fine":         {func(_, _ *reader) {}, 0},
		"first one is dead": {func(a, _ *reader) { a.dead.Store(true) }, 0},
		"first one hangs":   {func(a, _ *reader) { a.hangs.Store(true) }, 0},
		"first one is stale": {func(a, _ *reader) {
			a.source.set(func(s *store) { s.away = true })
		}, 0},
		"both are dead": {func(a, b *reader) { a.dead.Store(true); b.dead.Store(true) }, 8},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(context.Background())
				var group conc.WaitGroup
				defer func() { cancel(); group.Wait() }()
				truth := &store{}
				truth.put("a", "1")
				first, second := newReader(ctx, &group, truth), newReader(ctx, &group, truth)
				time.Sleep(time.Second)
				v := &view{keys: map[string]string{}}
				direct := &store{}
				direct.copyOf(truth)
				path := &follow.Path{Direct: direct, Peers: func() ([]follow.Peer, bool) {
					return []follow.Peer{{Name: "first", Source: first}, {Name: "second", Source: second}}, false
				}}
				f := follow.Follower{Source: path, Log: zap.NewNop(), Changed: v.change, Direct: path.IsDirect}
				group.Go(func() { _ = f.Run(ctx) })
				time.Sleep(time.Second)
				is.Equal(v.String(), "map[a:1]")
				c.strike(first, second)
				truth.put("a", "2")
				first.source.copyOf(truth)
				second.source.copyOf(truth)
				direct.copyOf(truth)
				time.Sleep(2 * time.Second)
				is.Equal(v.String(), "map[a:2]")
				direct.set(func(s *store) { is.True(s.calls <= c.calls) }) // the store is spared
			})
		})
	}
}

// copyOf takes over what another store holds.
func (s *store) copyOf(o *store) {
	o.mu.Lock()
	items, events, revision := o.items, o.events, o.revision
	o.mu.Unlock()
	s.set(func(s *store) {
		s.items = map[string]follow.Item{}
		for k, i := range items {
			s.items[k] = i
		}
		s.events, s.revision = append([]follow.Item(nil), events...), revision
	})
}

// TestStartInTheDark: a router that starts while the store is away learns from a seed what the others believe, and what
// the store holds once that is back.
func TestStartInTheDark(t *testing.T) {
	tests := map[string]struct {
		dead int // of two seeds
		want string
	}{
		"seeds live":      {0, "map[a:1]"},
		"one seed lives":  {1, "map[a:1]"},
		"no seed is left": {2, "map[]"},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(context.Background())
				var group conc.WaitGroup
				defer func() { cancel(); group.Wait() }()
				truth := &store{}
				truth.put("a", "1")
				seeds := []*reader{newReader(ctx, &group, truth), newReader(ctx, &group, truth)}
				time.Sleep(time.Second)
				for i, r := range seeds {
					r.source.set(func(s *store) { s.away = true })
					r.dead.Store(i < c.dead)
				}
				time.Sleep(5 * time.Second) // their knowledge is old
				direct := &store{away: true}
				path := &follow.Path{Direct: direct, Peers: func() ([]follow.Peer, bool) { return nil, false }, Seeds: func() []follow.Peer {
					return []follow.Peer{{Name: "first", Source: seeds[0]}, {Name: "second", Source: seeds[1]}}
				}}
				v := &view{keys: map[string]string{}}
				f := follow.Follower{Source: path, Log: zap.NewNop(), Changed: v.change, Direct: path.IsDirect}
				group.Go(func() { _ = f.Run(ctx) })
				time.Sleep(time.Second)
				is.Equal(v.String(), c.want)
				truth.put("a", "2")
				direct.copyOf(truth)
				direct.set(func(s *store) { s.away = false })
				time.Sleep(2 * time.Second)
				is.Equal(v.String(), "map[a:2]")
			})
		})
	}
}

// TestEndIsNoLoss: a follower that is told to end while it waits does not say that the store is lost.
func TestEndIsNoLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &store{}
		s.put("a", "1")
		ctx, cancel := context.WithCancel(context.Background())
		var group conc.WaitGroup
		lost := false
		f := follow.Follower{Source: s, Log: zap.NewNop(), Changed: func(follow.Item) {}, Reached: func(ok bool) { lost = lost || !ok }}
		group.Go(func() { _ = f.Run(ctx) })
		time.Sleep(time.Second)
		cancel()
		group.Wait()
		is.True(!lost)
	})
}

// slow is a store whose lists take their time, page by page, as when many routers ask at once or the list is long.
type slow struct {
	*store
	takes time.Duration
}

func (s *slow) List(ctx context.Context, prefix string, exact bool) ([]follow.Item, int64, error) {
	select {
	case <-time.After(s.takes):
		return s.store.List(ctx, prefix, exact)
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
}

// TestLongList fails when a list that takes longer than usual is cut off and asked for again for ever, by a router that
// has just started and by one that has to list again.
func TestLongList(t *testing.T) {
	tests := map[string]struct {
		takes, within time.Duration
	}{
		"a bit longer than seeds are waited for": {takes: 800 * time.Millisecond, within: time.Second},
		"longer than usual":                      {takes: 2 * time.Second, within: 3 * time.Second},
		"much longer":                            {takes: 10 * time.Second, within: 12 * time.Second},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				truth := &store{}
				truth.put("a", "1")
				seed := &store{away: true}
				path := &follow.Path{
					Direct: &slow{truth, c.takes},
					Peers:  func() ([]follow.Peer, bool) { return nil, false },
					Seeds:  func() []follow.Peer { return []follow.Peer{{Name: "seed", Source: seed}} },
				}
				known := make(chan follow.Item, 4)
				f := follow.Follower{Source: path, Log: zap.NewNop(), Changed: func(i follow.Item) { known <- i }, Direct: path.IsDirect}
				ctx, cancel := context.WithCancel(context.Background())
				var group conc.WaitGroup
				group.Go(func() { _ = f.Run(ctx) })
				begun := time.Now()
				select {
				case <-known:
				case <-time.After(time.Minute):
					t.Error("nothing is known after a minute")
				}
				is.True(time.Since(begun) <= c.within)
				cancel()
				group.Wait()
			})
		})
	}
}

// TestStartOfMany starts a router of a large fleet whose readers start at the same time: it fails when the router asks the
// store for the whole list, though a reader has it a moment later, or when it waits for readers that are gone.
func TestStartOfMany(t *testing.T) {
	tests := map[string]struct {
		refuses      error
		silent       bool          // another reader, which is asked first, does not answer
		readerStarts time.Duration // after the router; 0 for never
		within       time.Duration
		whole        int // lists of everything that the store is asked for
	}{
		"readers start a bit later":       {refuses: errAway, readerStarts: 300 * time.Millisecond, within: 600 * time.Millisecond},
		"readers have their lists later":  {refuses: follow.ErrStale, readerStarts: 1500 * time.Millisecond, within: 2 * time.Second},
		"readers have many lists to send": {refuses: follow.ErrLater, readerStarts: 1500 * time.Millisecond, within: 2 * time.Second},
		"readers are gone":                {refuses: errAway, within: time.Second, whole: 1},
		"the first reader is silent":      {refuses: errAway, silent: true, readerStarts: 50 * time.Millisecond, within: 400 * time.Millisecond},
		"readers never have their lists":  {refuses: follow.ErrStale, within: 3 * time.Second, whole: 1},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				truth := &store{}
				truth.put("members/vm2", "at")
				truth.put("endpoints/e1", "1")
				direct := &counted{Source: truth}
				ctx, cancel := context.WithCancel(context.Background())
				var group conc.WaitGroup
				peer := &late{refuses: c.refuses}
				if c.readerStarts > 0 {
					group.Go(func() {
						time.Sleep(c.readerStarts)
						peer.reader.Store(newReader(ctx, &group, truth))
					})
				}
				told := make(chan string, 4)
				member := false
				path := &follow.Path{
					Direct: direct,
					Peers: func() ([]follow.Peer, bool) {
						if !member {
							return nil, false
						}
						if c.silent {
							return []follow.Peer{{Name: "vm1", Source: &late{}}, {Name: "vm2", Source: peer}}, false
						}
						return []follow.Peer{{Name: "vm2", Source: peer}}, false
					},
					Others: func() []follow.Peer { return []follow.Peer{{Name: "vm3", Source: &late{refuses: errAway}}} },
					Seeds:  func() []follow.Peer { return nil },
				}
				f := follow.Follower{Source: path, First: "members/", Log: zap.NewNop(), Direct: path.IsDirect, Changed: func(i follow.Item) {
					member = member || i.Key == "members/vm2"
					told <- i.Key
				}}
				begun := time.Now()
				group.Go(func() { _ = f.Run(ctx) })
				is.Equal(<-told, "members/vm2")
				is.Equal(<-told, "endpoints/e1")
				is.True(time.Since(begun) <= c.within)
				is.Equal(int(direct.whole.Load()), c.whole)
				cancel()
				group.Wait()
			})
		})
	}
}

// counted is a source that lists by prefix and counts the whole lists.
type counted struct {
	follow.Source
	whole atomic.Int64
}

func (c *counted) List(ctx context.Context, prefix string, exact bool) ([]follow.Item, int64, error) {
	if prefix == "" {
		c.whole.Add(1)
	}
	items, revision, err := c.Source.List(ctx, prefix, exact)
	return slices.DeleteFunc(items, func(i follow.Item) bool { return !strings.HasPrefix(i.Key, prefix) }), revision, err
}

// late is a router that refuses until it has started.
type late struct {
	refuses error // until it has started; silent when nil
	reader  atomic.Pointer[reader]
}

func (l *late) List(ctx context.Context, prefix string, exact bool) ([]follow.Item, int64, error) {
	if r := l.reader.Load(); r != nil {
		return r.List(ctx, prefix, exact)
	}
	if l.refuses == nil {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	return nil, 0, l.refuses
}

func (l *late) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]follow.Item, int64, error) {
	if r := l.reader.Load(); r != nil {
		return r.Watch(ctx, prefix, after, wait)
	}
	return nil, 0, errAway
}
