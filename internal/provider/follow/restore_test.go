package follow_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"jaywind"
	"jaywind/internal/provider/follow"
	"jaywind/internal/standin/bubble"
)

const (
	rewriteTime = 1500 * time.Millisecond // within which writers write their keys again after a restore
	settleTime  = 8 * time.Second         // after the last fault, until all routers agree
)

// worldStep is one step of a scenario. Fields that a kind does not use are ignored.
type worldStep struct {
	Kind   string
	Key    int
	Router int // the one that is affected
	Peer   int
	Wait   int // ms after the step
}

var stepKinds = []string{"write", "write", "write", "delete", "copy", "drill", "outage", "back", "compact", "cut", "heal", "order", "late"}

// world is a store with readers and routers that follow them.
type world struct {
	mu      sync.Mutex
	truth   *fakeStore
	copied  *fakeStore            // of the store
	written map[string]int        // newest value of each key that its writer has written, which counts up; negative if it is a deletion
	deleted map[string][]deletion // those by its writer, of each key
	cut     map[[2]int]bool
	late    map[int]time.Duration // delay of the next answer of the store to a router
	order   []int                 // of the readers, as routers prefer them
	routers []*worldRouter
	errs    []string
}

// worldRouter is a router of a world; the first two are readers.
type worldRouter struct {
	world    *world
	number   int
	cache    follow.Cache
	values   map[string]string // as reported
	position map[string]jaywind.StorePosition
	newest   map[string]int // newest value reported of each key that is written again
	gone     map[string]int // newest value of which a deletion by the writer was reported
}

// deletion is a deletion of a key by its writer.
type deletion struct {
	value    int // of which it is
	position jaywind.StorePosition
}

const worldReaders, worldRouters = 2, 5

func (w *world) fail(format string, args ...any) {
	w.errs = append(w.errs, fmt.Sprintf(format, args...))
}

// change checks a reported change against those before it.
func (r *worldRouter) change(i follow.Item) {
	r.world.mu.Lock()
	defer r.world.mu.Unlock()
	if before := r.position[i.Key]; i.Position.Compare(before) < 0 {
		r.world.fail("router %d: %s goes back from %v to %v", r.number, i.Key, before, i.Position)
	}
	r.position[i.Key] = i.Position
	if i.Deleted {
		delete(r.values, i.Key)
		for _, d := range r.world.deleted[i.Key] {
			if d.position.Compare(i.Position) <= 0 {
				r.gone[i.Key] = max(r.gone[i.Key], d.value)
			}
		}
		return
	}
	r.values[i.Key] = string(i.Value)
	if !isRewritten(i.Key) {
		return
	}
	n, _ := strconv.Atoi(string(i.Value))
	if n < r.newest[i.Key] || n <= r.gone[i.Key] {
		r.world.fail("router %d: %s goes back from value %d to %d at %v", r.number, i.Key, r.newest[i.Key], n, i.Position)
	}
	r.newest[i.Key] = max(n, r.newest[i.Key])
}

func isRewritten(key string) bool { return strings.HasPrefix(key, "w/") }

// reach returns an error if a router can't reach another one, or the store as number -1.
func (w *world) reach(from, to int) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cut[[2]int{from, to}] {
		return errUnavailable
	}
	return nil
}

// direct is the store as one router reaches it.
type direct struct {
	world  *world
	router int
}

func (d direct) delay() {
	d.world.mu.Lock()
	pause := d.world.late[d.router]
	delete(d.world.late, d.router)
	d.world.mu.Unlock()
	time.Sleep(pause)
}

func (d direct) List(ctx context.Context, prefix string, exact bool) ([]follow.Item, jaywind.StorePosition, error) {
	if err := d.world.reach(d.router, -1); err != nil {
		return nil, jaywind.StorePosition{}, err
	}
	items, position, err := d.world.truth.List(ctx, prefix, exact)
	d.delay()
	return items, position, err
}

func (d direct) Watch(ctx context.Context, prefix string, after jaywind.StorePosition, wait time.Duration) ([]follow.Item, jaywind.StorePosition, error) {
	if err := d.world.reach(d.router, -1); err != nil {
		return nil, jaywind.StorePosition{}, err
	}
	items, position, err := d.world.truth.Watch(ctx, prefix, after, wait)
	d.delay()
	if err := d.world.reach(d.router, -1); err != nil {
		return nil, jaywind.StorePosition{}, err
	}
	return items, position, err
}

// via is a reader as one router reaches it.
type via struct {
	world          *world
	router, reader int
}

func (v via) List(ctx context.Context, prefix string, exact bool) ([]follow.Item, jaywind.StorePosition, error) {
	if err := v.world.reach(v.router, v.reader); err != nil {
		return nil, jaywind.StorePosition{}, err
	}
	return v.world.routers[v.reader].cache.List(ctx, prefix, exact)
}

func (v via) Watch(ctx context.Context, prefix string, after jaywind.StorePosition, wait time.Duration) ([]follow.Item, jaywind.StorePosition, error) {
	if err := v.world.reach(v.router, v.reader); err != nil {
		return nil, jaywind.StorePosition{}, err
	}
	return v.world.routers[v.reader].cache.Watch(ctx, prefix, after, wait)
}

// newWorld returns a world whose routers follow the store until ctx ends.
func newWorld(ctx context.Context, group *conc.WaitGroup, routers int) *world {
	w := &world{truth: &fakeStore{}, copied: &fakeStore{}, written: map[string]int{}, deleted: map[string][]deletion{}, cut: map[[2]int]bool{}, late: map[int]time.Duration{}, order: []int{0, 1}}
	for n := range routers {
		w.routers = append(w.routers, &worldRouter{world: w, number: n, values: map[string]string{}, position: map[string]jaywind.StorePosition{}, newest: map[string]int{}, gone: map[string]int{}})
	}
	for n, r := range w.routers {
		path := &follow.PeerSource{Store: direct{w, n}, Peers: func() ([]follow.Peer, bool) { return w.peers(n), n < worldReaders }}
		f := &follow.Follower{Source: path, Log: zap.NewNop(), OnChange: r.change, Cache: &r.cache, FromStore: path.FromStore, ForOthers: path.IsReader, WritesAgain: isRewritten}
		group.Go(func() { _ = f.Run(ctx) })
	}
	return w
}

func (w *world) peers(router int) (peers []follow.Peer) {
	if router < worldReaders {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range w.order {
		peers = append(peers, follow.Peer{Name: fmt.Sprint(n), Source: via{w, router, n}})
	}
	return peers
}

// keyPrefixes are the kinds of keys: written again after a restore, also when the follower isn't told so, and never.
var keyPrefixes = []string{"w", "c", "x"}

// write returns the next value of a key.
func (w *world) write(key string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.written[key] = max(w.written[key], -w.written[key]) + 1
	return w.written[key]
}

// delete deletes a key whose newest value is value, as its writer does. No router reports that before it is recorded.
func (w *world) delete(key string, value int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.truth.put(key, "")
	w.truth.update(func(s *fakeStore) {
		n := len(s.events) - 1
		for s.events[n].Key != key {
			n--
		}
		w.deleted[key] = append(w.deleted[key], deletion{value, s.events[n].Position})
	})
}

// run makes one step.
func (w *world) run(group *conc.WaitGroup, s worldStep) {
	key := fmt.Sprintf("%s/%d", keyPrefixes[s.Key%len(keyPrefixes)], s.Key)
	switch s.Kind {
	case "write":
		w.truth.put(key, fmt.Sprint(w.write(key)))
	case "delete":
		value := w.write(key)
		w.mu.Lock()
		w.written[key] = -value
		w.mu.Unlock()
		w.delete(key, value)
	case "copy":
		w.copied.copyFrom(w.truth)
	case "drill":
		w.drill()
		group.Go(func() {
			time.Sleep(rewriteTime * time.Duration(s.Router) / worldRouters)
			w.rewrite()
		})
	case "outage":
		w.truth.update(func(t *fakeStore) { t.unavailable = true })
	case "back":
		w.truth.update(func(t *fakeStore) { t.unavailable = false })
	case "compact":
		w.truth.update(func(t *fakeStore) { t.compacted, t.events = t.revision, nil })
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	switch s.Kind {
	case "cut":
		w.cut[[2]int{s.Router, s.Peer - 1}] = true
	case "heal":
		clear(w.cut)
	case "order":
		slices.Reverse(w.order)
	case "late":
		w.late[s.Router] = 900 * time.Millisecond
	}
}

// drill replaces the store by its copy, in a new era. The copy's history may still be there.
func (w *world) drill() {
	w.copied.update(func(c *fakeStore) {
		w.truth.update(func(t *fakeStore) {
			t.items, t.events, t.revision, t.compacted = map[string]follow.Item{}, nil, max(c.revision, 1), c.compacted
			t.era++
			for key, i := range c.items {
				i.Position.Era = t.era
				t.items[key] = i
			}
			for _, i := range c.events {
				i.Position.Era = t.era
				t.events = append(t.events, i)
			}
		})
	})
}

// rewrite lets the writers write again what the store lacks of their keys.
func (w *world) rewrite() {
	w.mu.Lock()
	written := maps.Clone(w.written)
	w.mu.Unlock()
	for _, key := range slices.Sorted(maps.Keys(written)) {
		want := ""
		if written[key] > 0 {
			want = fmt.Sprint(written[key])
		}
		if strings.HasPrefix(key, "x/") {
			continue
		}
		w.truth.mu.Lock()
		has := string(w.truth.items[key].Value)
		w.truth.mu.Unlock()
		switch {
		case has == want:
		case want == "":
			w.delete(key, -written[key])
		default:
			w.truth.put(key, want)
		}
	}
}

// play runs a scenario to its end and returns what went wrong.
func play(t *testing.T, steps []worldStep) (errs []string) {
	t.Helper()
	bubble.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		var group, rewrites conc.WaitGroup
		w := newWorld(ctx, &group, worldRouters)
		time.Sleep(time.Second)
		for _, s := range steps {
			w.run(&rewrites, s)
			time.Sleep(time.Duration(s.Wait) * time.Millisecond)
		}
		rewrites.Wait()
		w.run(nil, worldStep{Kind: "back"})
		w.run(nil, worldStep{Kind: "heal"})
		time.Sleep(settleTime)
		want := map[string]string{}
		w.truth.update(func(s *fakeStore) {
			for key, i := range s.items {
				want[key] = string(i.Value)
			}
		})
		w.mu.Lock()
		for _, r := range w.routers {
			if !maps.Equal(r.values, want) {
				w.fail("router %d has %v, the store %v", r.number, r.values, want)
			}
		}
		errs = w.errs
		w.mu.Unlock()
		cancel()
		group.Wait()
	})
	return errs
}

// TestRestoresModel plays random scenarios of writes, restores from older copies, outages, cuts, changes of the readers,
// compaction and late answers. No router's knowledge of a key may go back, and all agree with the store once it is quiet.
func TestRestoresModel(t *testing.T) {
	step := rapid.Custom(func(t *rapid.T) worldStep {
		return worldStep{
			Kind: rapid.SampledFrom(stepKinds).Draw(t, "kind"), Key: rapid.IntRange(0, 8).Draw(t, "key"),
			Router: rapid.IntRange(0, worldRouters-1).Draw(t, "router"), Peer: rapid.IntRange(0, worldReaders).Draw(t, "peer"),
			Wait: rapid.SampledFrom([]int{0, 0, 20, 120, 700, 1300, 2600}).Draw(t, "wait"),
		}
	})
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(step, 1, 30).Draw(rt, "steps")
		if errs := play(t, steps); len(errs) > 0 {
			rt.Fatalf("%s", strings.Join(errs, "\n"))
		}
	})
}

// TestRestores plays scenarios by name.
func TestRestores(t *testing.T) {
	write := func(key, wait int) worldStep { return worldStep{Kind: "write", Key: key, Wait: wait} }
	do := func(kind string, wait int) worldStep { return worldStep{Kind: kind, Wait: wait} }
	drill := func(wait int) worldStep { return worldStep{Kind: "drill", Router: worldRouters - 1, Wait: wait} } // writers are slow to write again
	tests := map[string][]worldStep{
		"what was written since is lost":      {write(0, 500), do("copy", 0), write(2, 500), do("drill", 3000)},
		"the history hides it":                {write(0, 0), do("copy", 0), write(2, 500), do("drill", 0), write(1, 0), write(1, 0), write(1, 500)},
		"a revision that is given out again":  {do("copy", 0), write(0, 500), do("drill", 0), write(1, 500)},
		"two restores in a row":               {write(0, 500), do("copy", 0), write(0, 500), drill(300), drill(300)},
		"restore while a router is cut off":   {do("copy", 0), write(0, 500), {Kind: "cut", Router: 3, Peer: 0}, {Kind: "cut", Router: 3, Peer: 1}, {Kind: "cut", Router: 3, Peer: 2}, do("drill", 2000), do("heal", 0)},
		"a reader misses the restore":         {do("copy", 0), write(0, 500), {Kind: "cut", Router: 0, Peer: 0}, do("drill", 300), do("order", 300), do("order", 3000)},
		"an answer arrives after the restore": {do("copy", 0), write(0, 500), {Kind: "late", Router: 0}, write(2, 100), do("drill", 2000)},
		"deleted, then restored":              {write(0, 500), do("copy", 0), {Kind: "delete", Key: 0, Wait: 500}, drill(100)},
		"an outage after the restore":         {write(0, 500), do("copy", 0), write(0, 500), drill(100), do("outage", 6000), do("back", 100)},
		"an outage before the restore":        {write(0, 500), do("copy", 0), write(0, 500), do("outage", 1500), do("drill", 0), do("back", 100)},
	}
	for name, steps := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(play(t, steps), nil)
		})
	}
}

// TestOlderValueIsWithheld: a restored store has an older value of a key than the one that was reported. It is reported only
// if the key's writer does not write it again in time.
func TestOlderValueIsWithheld(t *testing.T) {
	tests := map[string]struct {
		again bool
		at    int           // revisions in which it is written again at once
		hangs time.Duration // time after which the store does not answer any more; 0 for never
		after time.Duration
		want  string
	}{
		"at first":               {false, 0, 0, 1500 * time.Millisecond, "map[w/0:2]"},
		"written again":          {true, 0, 0, 1500 * time.Millisecond, "map[w/0:3]"},
		"not written again":      {false, 0, 0, 4300 * time.Millisecond, "map[w/0:1]"},
		"written again, quieter": {true, 0, 0, 6 * time.Second, "map[w/0:3]"},
		"with a later revision":  {false, 4, 0, 500 * time.Millisecond, "map[w/0:5]"},
		"store hangs":            {false, 0, 2600 * time.Millisecond, 6 * time.Second, "map[w/0:2]"},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				truth, older, v := &fakeStore{}, &fakeStore{}, &recorder{keys: map[string]string{}}
				truth.put("w/0", "1")
				older.copyFrom(truth)
				truth.put("w/0", "2")
				ctx, cancel := context.WithCancel(context.Background())
				var group conc.WaitGroup
				defer func() { cancel(); group.Wait() }()
				var restored atomic.Int64
				f := follow.Follower{Source: truth, Log: zap.NewNop(), OnChange: v.change, OnRestore: func() { restored.Add(1) }, WritesAgain: isRewritten}
				group.Go(func() { _ = f.Run(ctx) })
				time.Sleep(time.Second)
				w := &world{truth: truth, copied: older}
				w.drill()
				for n := range c.at {
					truth.put("w/0", fmt.Sprint(n+2))
				}
				time.Sleep(100 * time.Millisecond)
				if c.again {
					truth.put("w/0", "3")
				}
				if c.hangs > 0 {
					time.Sleep(c.hangs)
					truth.update(func(s *fakeStore) { s.hangs = true })
				}
				time.Sleep(c.after - c.hangs)
				is := is.New(t)
				is.Equal(v.String(), c.want)
				is.Equal(restored.Load(), int64(1))
			})
		})
	}
}

// TestCacheKnowsEras: a reader serves no changes of another era than the one that is asked for, and serves the present era to
// a router that knows none.
func TestCacheKnowsEras(t *testing.T) {
	tests := map[string]struct {
		era  int64
		want error
	}{
		"same era":     {1, nil},
		"earlier era":  {0, follow.ErrRestored},
		"later era":    {2, follow.ErrStale},
		"knows no era": {follow.AnyEra, nil},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				truth := &fakeStore{era: 1}
				truth.put("a", "1")
				var cache follow.Cache
				ctx, cancel := context.WithCancel(context.Background())
				var group conc.WaitGroup
				defer func() { cancel(); group.Wait() }()
				f := follow.Follower{Source: truth, Log: zap.NewNop(), OnChange: func(follow.Item) {}, Cache: &cache}
				group.Go(func() { _ = f.Run(ctx) })
				time.Sleep(time.Second)
				_, position, err := cache.Watch(ctx, "", jaywind.StorePosition{Era: c.era, Revision: 1}, 10*time.Millisecond)
				is := is.New(t)
				is.True(errors.Is(err, c.want))
				if c.want == nil {
					is.Equal(position, jaywind.StorePosition{Era: 1, Revision: 1})
				}
			})
		})
	}
}

// scriptedAnswer is the answer to one call of a scriptedSource.
type scriptedAnswer struct {
	items    []follow.Item
	position jaywind.StorePosition
}

// scriptedSource gives its answers in their order, and then none, or the last one for ever.
type scriptedSource struct {
	lists, watches []scriptedAnswer
	repeats        bool
}

func (s *scriptedSource) List(context.Context, string, bool) ([]follow.Item, jaywind.StorePosition, error) {
	return s.next(context.Background(), &s.lists, 0)
}

func (s *scriptedSource) Watch(ctx context.Context, _ string, _ jaywind.StorePosition, wait time.Duration) ([]follow.Item, jaywind.StorePosition, error) {
	return s.next(ctx, &s.watches, wait)
}

func (s *scriptedSource) next(ctx context.Context, answers *[]scriptedAnswer, wait time.Duration) ([]follow.Item, jaywind.StorePosition, error) {
	if len(*answers) == 0 {
		select {
		case <-ctx.Done():
		case <-time.After(wait + time.Second):
		}
		return nil, jaywind.StorePosition{}, errUnavailable
	}
	a := (*answers)[0]
	if !s.repeats || len(*answers) > 1 {
		*answers = (*answers)[1:]
	}
	return a.items, a.position, nil
}

// answer returns the answer of a store that has value n of key a, with position n of an era.
func answer(era, n int64) scriptedAnswer {
	position := jaywind.StorePosition{Era: era, Revision: n}
	return scriptedAnswer{[]follow.Item{{Key: "a", Value: fmt.Append(nil, n), Position: position}}, position}
}

// TestAnswersOfOtherEras: after an answer of a later era, answers of an earlier one arrive: late, or from a reader that knows
// no eras. The test fails if a follower takes them.
func TestAnswersOfOtherEras(t *testing.T) {
	tests := map[string]struct {
		peers []*scriptedSource
		store *scriptedSource
		want  string
	}{
		"list of the store":  {nil, &scriptedSource{[]scriptedAnswer{answer(1, 3), answer(0, 9), answer(2, 2)}, []scriptedAnswer{answer(2, 1)}, false}, "map[a:2]"},
		"watch of the store": {nil, &scriptedSource{[]scriptedAnswer{answer(1, 3)}, []scriptedAnswer{answer(0, 9)}, false}, "map[a:3]"},
		"list of a reader": {
			[]*scriptedSource{{[]scriptedAnswer{answer(1, 3), answer(0, 9)}, []scriptedAnswer{answer(2, 1)}, false}},
			&scriptedSource{[]scriptedAnswer{answer(2, 2)}, nil, false}, "map[a:2]",
		},
		"watch of a reader": {
			[]*scriptedSource{{[]scriptedAnswer{answer(1, 3)}, []scriptedAnswer{answer(0, 9)}, false}},
			&scriptedSource{nil, []scriptedAnswer{answer(1, 4)}, false}, "map[a:4]",
		},
		"a reader that knows no eras": {
			[]*scriptedSource{{[]scriptedAnswer{answer(1, 3), answer(0, 9)}, []scriptedAnswer{answer(2, 1), answer(0, 9)}, true}},
			&scriptedSource{[]scriptedAnswer{answer(2, 2)}, nil, false}, "map[a:2]",
		},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				v := &recorder{keys: map[string]string{}}
				var peers []follow.Peer
				for i, s := range c.peers {
					peers = append(peers, follow.Peer{Name: fmt.Sprint(i), Source: s})
				}
				path := &follow.PeerSource{Store: c.store, Peers: func() ([]follow.Peer, bool) { return peers, false }}
				ctx, cancel := context.WithCancel(context.Background())
				var group conc.WaitGroup
				defer func() { cancel(); group.Wait() }()
				f := follow.Follower{Source: path, Log: zap.NewNop(), OnChange: v.change, FromStore: path.FromStore}
				if c.peers == nil {
					f.Source, f.FromStore = c.store, nil
				}
				group.Go(func() { _ = f.Run(ctx) })
				time.Sleep(3 * time.Second)
				is.New(t).Equal(v.String(), c.want)
			})
		})
	}
}

// TestCacheAfterRestore: a reader that has listed a new era lacks the changes before its list, also those of that era.
func TestCacheAfterRestore(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		source := &scriptedSource{[]scriptedAnswer{answer(0, 5), answer(1, 9)}, []scriptedAnswer{answer(1, 1), answer(1, 10)}, false}
		var cache follow.Cache
		ctx, cancel := context.WithCancel(context.Background())
		var group conc.WaitGroup
		defer func() { cancel(); group.Wait() }()
		f := follow.Follower{Source: source, Log: zap.NewNop(), OnChange: func(follow.Item) {}, Cache: &cache}
		group.Go(func() { _ = f.Run(ctx) })
		time.Sleep(500 * time.Millisecond)
		is := is.New(t)
		_, _, err := cache.Watch(ctx, "", jaywind.StorePosition{Era: 1, Revision: 7}, time.Millisecond)
		is.True(errors.Is(err, follow.ErrCompacted))
		items, _, err := cache.Watch(ctx, "", jaywind.StorePosition{Era: 1, Revision: 9}, time.Millisecond)
		is.NoErr(err)
		is.Equal(len(items), 1)
	})
}

// TestFleetAfterRestore answers a restore under a large fleet: all routers need a new list at the same moment. The test fails
// if others than the readers list from the store, or if a router does not have the present items within 2 s.
func TestFleetAfterRestore(t *testing.T) {
	const routers = 195
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		var group conc.WaitGroup
		defer func() { cancel(); group.Wait() }()
		w := newWorld(ctx, &group, routers)
		w.truth.put("c/1", "1")
		time.Sleep(3 * time.Second)
		w.copied.copyFrom(w.truth)
		w.truth.put("c/2", "1")
		time.Sleep(2 * time.Second)
		w.drill()
		w.truth.put("c/3", "1")
		before := 0
		w.truth.update(func(s *fakeStore) { before = s.calls })
		time.Sleep(2 * time.Second)
		w.mu.Lock()
		for _, r := range w.routers {
			is.Equal(fmt.Sprint(r.values), "map[c/1:1 c/3:1]")
		}
		w.mu.Unlock()
		time.Sleep(3 * time.Second)
		w.truth.update(func(s *fakeStore) {
			is.True(s.calls-before <= worldReaders*10) // a list, and a watch each second
		})
		w.mu.Lock()
		is.Equal(len(w.errs), 0)
		w.mu.Unlock()
	})
}
