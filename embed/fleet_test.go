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

// propagationLimit is the stated time for accepted rules to be in force everywhere.
const propagationLimit = 3 * time.Second

// network carries calls between routers in one process, in virtual time.
type network struct {
	mu      sync.Mutex
	routers map[jaywind.Address]*embed.Router
	cut     map[jaywind.Address]bool // routers that nobody reaches and that reach nobody
}

var errCut = errors.New("cut")

func (f *network) find(from, to jaywind.Address) *embed.Router {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cut[from] || f.cut[to] {
		return nil
	}
	return f.routers[to]
}

func (f *network) setCut(at jaywind.Address, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[at] = cut
}

// peerClient is one router's way to the others.
type peerClient struct {
	network *network
	from    jaywind.Address
}

func (l peerClient) reach(ctx context.Context, to jaywind.Address) (*embed.Router, error) {
	if r := l.network.find(l.from, to); r != nil {
		return r, nil
	}
	<-ctx.Done()
	return nil, errCut
}

func (l peerClient) Exchange(ctx context.Context, at jaywind.Address, g jaywind.Gossip) (jaywind.Gossip, error) {
	r, err := l.reach(ctx, at)
	if err != nil {
		return jaywind.Gossip{}, err
	}
	return r.Gossip(ctx, g)
}

func (l peerClient) Head(ctx context.Context, at jaywind.Address) (jaywind.RulesHead, error) {
	r, err := l.reach(ctx, at)
	if err != nil {
		return jaywind.RulesHead{}, err
	}
	return r.RulesHead(), nil
}

func (l peerClient) Chunks(ctx context.Context, at jaywind.Address, ids []jaywind.ChunkID) ([]string, error) {
	r, err := l.reach(ctx, at)
	if err != nil {
		return nil, err
	}
	return r.RulesChunks(ids)
}

// routerStore is one router's way to the store.
type routerStore struct {
	*store.Store
	network *network
	from    jaywind.Address

	mu          sync.Mutex
	stale       *jaywind.Entry // answers reads in place of what is there
	unreachable bool           // this router alone can't reach the store
	cancelWatch func()         // ends the watch under way
}

// endWatch breaks the connection of the watch under way.
func (s *routerStore) endWatch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancelWatch != nil {
		s.cancelWatch()
	}
}

func (s *routerStore) setUnreachable(lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreachable = lost
	if s.cancelWatch != nil {
		s.cancelWatch()
	}
}

func (s *routerStore) setStale(e *jaywind.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stale = e
}

func (s *routerStore) isUnreachable() bool {
	s.mu.Lock()
	lost := s.unreachable
	s.mu.Unlock()
	s.network.mu.Lock()
	defer s.network.mu.Unlock()
	return lost || s.network.cut[s.from]
}

func (s *routerStore) Get(ctx context.Context, key string) (jaywind.Entry, error) {
	if s.isUnreachable() {
		return jaywind.Entry{}, jaywind.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}

func (s *routerStore) Watch(ctx context.Context, key string, old jaywind.Revision) (jaywind.Entry, error) {
	if s.isUnreachable() {
		return jaywind.Entry{}, jaywind.ErrUnavailable
	}
	ctx, end := context.WithCancel(ctx)
	defer end()
	s.mu.Lock()
	stale := s.stale
	s.cancelWatch = end
	s.mu.Unlock()
	if stale != nil {
		return *stale, nil
	}
	return s.Store.Watch(ctx, key, old)
}

// testFleet is a fleet of routers in one process.
type testFleet struct {
	t       *testing.T
	store   *store.Store
	network *network
	routers []*embed.Router
	stores  []*routerStore
	stops   []context.CancelFunc
	group   conc.WaitGroup
	highest []jaywind.RulesVersion // seen in force at each router
}

func newTestFleet(t *testing.T, n int) *testFleet {
	p := &testFleet{
		t:       t,
		store:   &store.Store{},
		network: &network{routers: map[jaywind.Address]*embed.Router{}, cut: map[jaywind.Address]bool{}},
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

func (p *testFleet) startRouter(i int) {
	at := fleetAddress(i)
	own := &routerStore{Store: p.store, network: p.network, from: at}
	r := &embed.Router{
		Self:         jaywind.VM(fmt.Sprintf("vm%02d", i)),
		Domain:       jaywind.Domain(fmt.Sprint("d", i%3)),
		Seed:         uint64(i + 1),
		TickInterval: 50 * time.Millisecond,
		Fleet:        at,
		Entry:        jaywind.Address(fmt.Sprint("http://10.0.1.", i)),
		Seeds:        []jaywind.Address{fleetAddress(0), fleetAddress(1), fleetAddress(2)},
		Gossiper:     peerClient{p.network, at},
		Copier:       peerClient{p.network, at},
		Quota:        peerClient{p.network, at},
		Engine:       &promptEngine{},
		Store:        own,
	}
	ctx, stop := context.WithCancel(context.Background())
	p.network.mu.Lock()
	p.network.routers[at] = r
	p.network.mu.Unlock()
	p.routers[i], p.stores[i], p.stops[i] = r, own, stop
	p.highest[i] = 0
	p.group.Go(func() { _ = r.Run(ctx) })
}

func (p *testFleet) kill(i int) {
	p.stops[i]()
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	delete(p.network.routers, fleetAddress(i))
}

// setCut cuts a router from all others and from the store, or joins it again.
func (p *testFleet) setCut(i int, cut bool) {
	p.network.setCut(fleetAddress(i), cut)
	p.stores[i].endWatch()
}

// acceptRules puts the next version into the store.
func (p *testFleet) acceptRules() {
	ctx := context.Background()
	book := rules.Book{Store: p.store, Nonce: fmt.Sprint(time.Now().UnixNano())}
	base, err := book.Read(ctx)
	if err != nil && !errors.Is(err, jaywind.ErrAbsent) {
		p.t.Fatal(err)
	}
	text := fmt.Sprintf("model heat version=v%d # test\n", base.Version+1)
	if _, err := book.Accept(ctx, base, text); err != nil {
		p.t.Fatal(err)
	}
}

// advance lets time pass and fails the test when a router's rules go back.
func (p *testFleet) advance(d time.Duration) {
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
func (p *testFleet) version(i int) jaywind.RulesVersion {
	s, err := p.routers[i].Status(context.Background())
	if err != nil {
		return p.highest[i]
	}
	return s.Self.Rules
}

// waitInForce fails the test unless all routers have a version in force within the target.
func (p *testFleet) waitInForce(version jaywind.RulesVersion, but ...int) {
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
		if took > propagationLimit {
			p.t.Fatalf("version %d is not in force at %d routers after %v", version, late, took)
		}
		p.advance(50 * time.Millisecond)
	}
}

func (p *testFleet) converged() bool {
	for _, r := range p.routers {
		if len(r.Members()) != len(p.routers) {
			return false
		}
	}
	return true
}

const (
	fleetSize    = 9
	convergeTime = 8 * time.Second
)

func TestAcceptedRulesAreInForceAndNeverRevert(t *testing.T) {
	tests := map[string]func(p *testFleet){
		"no fault": func(p *testFleet) {
			p.acceptRules()
			p.waitInForce(2)
		},
		"router restarts while the store is down": func(p *testFleet) {
			p.acceptRules()
			p.waitInForce(2)
			p.store.Set(store.Faults{Down: true})
			p.kill(4)
			p.advance(time.Second)
			p.startRouter(4)
			p.waitInForce(2)
		},
		"router is cut off during the edit": func(p *testFleet) {
			p.setCut(4, true)
			p.advance(20 * time.Second)
			p.acceptRules()
			p.waitInForce(2, 4)
			p.setCut(4, false)
			p.waitInForce(2)
		},
		"old router wakes when all others are at a later version": func(p *testFleet) {
			p.setCut(0, true)
			for v := jaywind.RulesVersion(2); v < 6; v++ {
				p.acceptRules()
				p.waitInForce(v, 0)
			}
			p.setCut(0, false)
			p.waitInForce(5)
			p.advance(10 * time.Second)
			p.waitInForce(5)
		},
		"store is down after the edit": func(p *testFleet) {
			p.acceptRules()
			p.store.Set(store.Faults{Down: true})
			p.advance(30 * time.Second)
			p.store.Set(store.Faults{})
			p.waitInForce(2)
			p.acceptRules()
			p.waitInForce(3)
		},
		"store answers with an old version": func(p *testFleet) {
			old, err := p.store.Get(context.Background(), "rules")
			if err != nil {
				p.t.Fatal(err)
			}
			p.acceptRules()
			p.waitInForce(2)
			for _, s := range p.stores {
				s.setStale(&old)
			}
			p.acceptRules()
			p.advance(10 * time.Second)
			for _, s := range p.stores {
				s.setStale(nil)
			}
			p.waitInForce(3)
		},
		"half of the routers die": func(p *testFleet) {
			for i := range 4 {
				p.kill(2 * i)
			}
			p.advance(10 * time.Second)
			p.acceptRules()
			for i := range 4 {
				p.startRouter(2 * i)
			}
			p.advance(2 * time.Second)
			p.waitInForce(2)
		},
	}
	for name, act := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newTestFleet(t, fleetSize)
				p.acceptRules()
				p.advance(convergeTime)
				is.New(t).True(p.converged())
				p.waitInForce(1)
				act(p)
			})
		})
	}
}

func TestOneRouterThatReachesTheStoreIsEnough(t *testing.T) {
	for only := range fleetSize {
		t.Run(fmt.Sprint("router ", only), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newTestFleet(t, fleetSize)
				p.acceptRules()
				p.advance(convergeTime)
				for i, s := range p.stores {
					s.setUnreachable(i != only)
				}
				time.Sleep(30 * time.Second)
				p.acceptRules()
				time.Sleep(time.Minute)
				p.waitInForce(2)
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
					p := newTestFleet(t, n)
					if c.accepted {
						p.acceptRules()
						time.Sleep(convergeTime)
					}
					p.store.Set(store.Faults{Down: c.down})
					time.Sleep(2 * convergeTime)
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
		p := newTestFleet(t, fleetSize)
		p.acceptRules()
		p.advance(convergeTime)
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
		p.advance(6 * time.Second)
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
