package embed_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"jaywind"
	"jaywind/embed"
	"jaywind/internal/provider/rules"
	"jaywind/internal/standin/store"
)

// forceTarget is the stated time for accepted rules to be in force everywhere.
const forceTarget = 3 * time.Second

// fabric carries calls between routers in one process, in virtual time.
type fabric struct {
	mu      sync.Mutex
	routers map[jaywind.Address]*embed.Router
	cut     map[jaywind.Address]bool // routers that nobody reaches and that reach nobody
}

var errCut = errors.New("cut")

func (f *fabric) find(from, to jaywind.Address) *embed.Router {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cut[from] || f.cut[to] {
		return nil
	}
	return f.routers[to]
}

func (f *fabric) setCut(at jaywind.Address, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[at] = cut
}

// line is one router's way to the others.
type line struct {
	fabric *fabric
	from   jaywind.Address
}

func (l line) reach(ctx context.Context, to jaywind.Address) (*embed.Router, error) {
	if r := l.fabric.find(l.from, to); r != nil {
		return r, nil
	}
	<-ctx.Done()
	return nil, errCut
}

func (l line) Exchange(ctx context.Context, at jaywind.Address, g jaywind.Gossip) (jaywind.Gossip, error) {
	r, err := l.reach(ctx, at)
	if err != nil {
		return jaywind.Gossip{}, err
	}
	return r.Gossip(ctx, g)
}

func (l line) Head(ctx context.Context, at jaywind.Address) (jaywind.RulesHead, error) {
	r, err := l.reach(ctx, at)
	if err != nil {
		return jaywind.RulesHead{}, err
	}
	return r.RulesHead(), nil
}

func (l line) Chunks(ctx context.Context, at jaywind.Address, ids []jaywind.ChunkID) ([]string, error) {
	r, err := l.reach(ctx, at)
	if err != nil {
		return nil, err
	}
	return r.RulesChunks(ids)
}

// ownStore is one router's way to the store.
type ownStore struct {
	*store.Store
	fabric *fabric
	from   jaywind.Address

	mu    sync.Mutex
	stale *jaywind.Entry // answers reads in place of what is there
	lost  bool           // this router alone can't reach the store
	end   func()         // ends the watch under way
}

// endWatch breaks the connection of the watch under way.
func (s *ownStore) endWatch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.end != nil {
		s.end()
	}
}

func (s *ownStore) setLost(lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost = lost
	if s.end != nil {
		s.end()
	}
}

func (s *ownStore) setStale(e *jaywind.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stale = e
}

func (s *ownStore) gone() bool {
	s.mu.Lock()
	lost := s.lost
	s.mu.Unlock()
	s.fabric.mu.Lock()
	defer s.fabric.mu.Unlock()
	return lost || s.fabric.cut[s.from]
}

func (s *ownStore) Get(ctx context.Context, key string) (jaywind.Entry, error) {
	if s.gone() {
		return jaywind.Entry{}, jaywind.ErrStoreUnavailable
	}
	return s.Store.Get(ctx, key)
}

func (s *ownStore) Watch(ctx context.Context, key string, old jaywind.Revision) (jaywind.Entry, error) {
	if s.gone() {
		return jaywind.Entry{}, jaywind.ErrStoreUnavailable
	}
	ctx, end := context.WithCancel(ctx)
	defer end()
	s.mu.Lock()
	stale := s.stale
	s.end = end
	s.mu.Unlock()
	if stale != nil {
		return *stale, nil
	}
	return s.Store.Watch(ctx, key, old)
}

// troop is a fleet of routers in one process.
type troop struct {
	t       *testing.T
	store   *store.Store
	fabric  *fabric
	routers []*embed.Router
	stores  []*ownStore
	stops   []context.CancelFunc
	group   conc.WaitGroup
	highest []jaywind.RulesVersion // seen in force at each router
}

func newTroop(t *testing.T, n int) *troop {
	p := &troop{
		t:      t,
		store:  &store.Store{},
		fabric: &fabric{routers: map[jaywind.Address]*embed.Router{}, cut: map[jaywind.Address]bool{}},
	}
	for i := range n {
		p.routers = append(p.routers, nil)
		p.stores = append(p.stores, nil)
		p.stops = append(p.stops, nil)
		p.highest = append(p.highest, 0)
		p.startRouter(i)
	}
	t.Cleanup(func() {
		for _, stop := range p.stops {
			stop()
		}
		p.group.Wait()
	})
	return p
}

func fleetAddress(i int) jaywind.Address { return jaywind.Address(fmt.Sprint("http://10.0.0.", i)) }

func (p *troop) startRouter(i int) {
	at := fleetAddress(i)
	own := &ownStore{Store: p.store, fabric: p.fabric, from: at}
	r := &embed.Router{
		Self:     jaywind.VM(fmt.Sprintf("vm%02d", i)),
		Domain:   jaywind.Domain(fmt.Sprint("d", i%3)),
		Seed:     uint64(i + 1),
		Tick:     50 * time.Millisecond,
		Fleet:    at,
		Entry:    jaywind.Address(fmt.Sprint("http://10.0.1.", i)),
		Seeds:    []jaywind.Address{fleetAddress(0), fleetAddress(1), fleetAddress(2)},
		Gossiper: line{p.fabric, at},
		Copier:   line{p.fabric, at},
		Quota:    line{p.fabric, at},
		Engine:   &prompt{},
		Store:    own,
	}
	ctx, stop := context.WithCancel(context.Background())
	p.fabric.mu.Lock()
	p.fabric.routers[at] = r
	p.fabric.mu.Unlock()
	p.routers[i], p.stores[i], p.stops[i] = r, own, stop
	p.highest[i] = 0
	p.group.Go(func() { _ = r.Run(ctx) })
}

func (p *troop) kill(i int) {
	p.stops[i]()
	p.fabric.mu.Lock()
	defer p.fabric.mu.Unlock()
	delete(p.fabric.routers, fleetAddress(i))
}

// setCut cuts a router from all others and from the store, or joins it again.
func (p *troop) setCut(i int, cut bool) {
	p.fabric.setCut(fleetAddress(i), cut)
	p.stores[i].endWatch()
}

// accept puts the next version into the store.
func (p *troop) accept() {
	ctx := context.Background()
	book := rules.Book{Store: p.store, Nonce: fmt.Sprint(time.Now().UnixNano())}
	base, err := book.Read(ctx)
	if err != nil && !errors.Is(err, jaywind.ErrKeyNotFound) {
		p.t.Fatal(err)
	}
	text := fmt.Sprintf("model heat version=v%d # test\n", base.Version+1)
	if _, err := book.Accept(ctx, base, text); err != nil {
		p.t.Fatal(err)
	}
}

// run lets time pass and fails the test when a router's rules go back.
func (p *troop) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(50 * time.Millisecond)
		for i := range p.routers {
			if v := p.version(i); v < p.highest[i] {
				p.t.Fatalf("router %d went back from version %d to %d", i, p.highest[i], v)
			} else {
				p.highest[i] = v
			}
		}
	}
}

// version returns the rules in force at a router, by the word of its core.
func (p *troop) version(i int) jaywind.RulesVersion {
	s, err := p.routers[i].Status(context.Background())
	if err != nil {
		return p.highest[i]
	}
	return s.Self.Rules
}

// inForce fails the test unless all routers have a version in force within the target.
func (p *troop) inForce(version jaywind.RulesVersion, but ...int) {
	p.t.Helper()
	start := time.Now()
	for {
		late := 0
		for i := range p.routers {
			skip := len(but) > 0 && but[0] == i
			if !skip && p.version(i) != version {
				late++
			}
		}
		took := time.Since(start)
		if late == 0 {
			p.t.Logf("version %d in force in %v", version, took)
			return
		}
		if took > forceTarget {
			p.t.Fatalf("version %d is not in force at %d routers after %v", version, late, took)
		}
		p.run(50 * time.Millisecond)
	}
}

func (p *troop) joined() bool {
	for _, r := range p.routers {
		if len(r.Members()) != len(p.routers) {
			return false
		}
	}
	return true
}

const (
	troopSize = 9
	settle    = 8 * time.Second
)

func TestAcceptedRulesAreInForceAndNeverRevert(t *testing.T) {
	tests := map[string]func(p *troop){
		"no fault": func(p *troop) {
			p.accept()
			p.inForce(2)
		},
		"router restarts while the store is down": func(p *troop) {
			p.accept()
			p.inForce(2)
			p.store.Set(store.Faults{Down: true})
			p.kill(4)
			p.run(time.Second)
			p.startRouter(4)
			p.inForce(2)
		},
		"router is cut off during the edit": func(p *troop) {
			p.setCut(4, true)
			p.run(20 * time.Second)
			p.accept()
			p.inForce(2, 4)
			p.setCut(4, false)
			p.inForce(2)
		},
		"old router wakes when all others are at a later version": func(p *troop) {
			p.setCut(0, true)
			for v := jaywind.RulesVersion(2); v < 6; v++ {
				p.accept()
				p.inForce(v, 0)
			}
			p.setCut(0, false)
			p.inForce(5)
			p.run(10 * time.Second)
			p.inForce(5)
		},
		"store is down after the edit": func(p *troop) {
			p.accept()
			p.store.Set(store.Faults{Down: true})
			p.run(30 * time.Second)
			p.store.Set(store.Faults{})
			p.inForce(2)
			p.accept()
			p.inForce(3)
		},
		"store answers with an old version": func(p *troop) {
			old, err := p.store.Get(context.Background(), "rules")
			if err != nil {
				p.t.Fatal(err)
			}
			p.accept()
			p.inForce(2)
			for _, s := range p.stores {
				s.setStale(&old)
			}
			p.accept()
			p.run(10 * time.Second)
			for _, s := range p.stores {
				s.setStale(nil)
			}
			p.inForce(3)
		},
		"half of the routers die": func(p *troop) {
			for i := range 4 {
				p.kill(2 * i)
			}
			p.run(10 * time.Second)
			p.accept()
			for i := range 4 {
				p.startRouter(2 * i)
			}
			p.run(2 * time.Second)
			p.inForce(2)
		},
	}
	for name, act := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newTroop(t, troopSize)
				p.accept()
				p.run(settle)
				is.New(t).True(p.joined())
				p.inForce(1)
				act(p)
			})
		})
	}
}

func TestOneRouterThatReachesTheStoreIsEnough(t *testing.T) {
	for only := range troopSize {
		t.Run(fmt.Sprint("router ", only), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newTroop(t, troopSize)
				p.accept()
				p.run(settle)
				for i, s := range p.stores {
					s.setLost(i != only)
				}
				time.Sleep(30 * time.Second)
				p.accept()
				time.Sleep(time.Minute)
				p.inForce(2)
			})
		})
	}
}

func TestStoreCallsDoNotGrowWithRouters(t *testing.T) {
	tests := map[string]struct {
		accepted bool // whether there are rules
		down     bool
	}{
		"store answers":               {accepted: true},
		"store goes down":             {accepted: true, down: true},
		"no rules yet":                {},
		"no rules yet, store is down": {down: true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			perMinute := map[int]int{}
			for _, n := range []int{9, 24} {
				synctest.Test(t, func(t *testing.T) {
					p := newTroop(t, n)
					if c.accepted {
						p.accept()
						time.Sleep(settle)
					}
					p.store.Set(store.Faults{Down: c.down})
					time.Sleep(2 * settle)
					before := p.store.Calls()
					time.Sleep(time.Minute)
					perMinute[n] = p.store.Calls() - before
				})
			}
			t.Logf("in 3 failure domains, store calls a minute by routers: %v", perMinute)
			is.New(t).True(perMinute[24] <= perMinute[9]+perMinute[9]/4)
		})
	}
}

func TestEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newTroop(t, troopSize)
		p.accept()
		p.run(settle)
		homes := p.routers[0].Entries("lagos")
		is.Equal(len(homes), 3)
		for _, r := range p.routers {
			is.Equal(r.Entries("lagos"), homes) // any router gives the same answer
		}
		domains := map[jaywind.Domain]bool{}
		gone := map[jaywind.Address]bool{}
		for i, r := range p.routers {
			if r.Entry == homes[0] || r.Entry == homes[1] {
				domains[r.Domain] = true
				gone[r.Entry] = true
			}
			if r.Entry == homes[0] {
				r.Stop()
			}
			if r.Entry == homes[1] {
				p.setCut(i, true)
			}
		}
		is.Equal(len(domains), 2) // two of three failure domains
		p.run(6 * time.Second)
		for _, r := range p.routers {
			if gone[r.Entry] {
				continue
			}
			for _, a := range r.Entries("lagos") {
				is.True(!gone[a])
			}
		}
	})
}
