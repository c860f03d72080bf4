package embed_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"jaywind"
	"jaywind/embed"
	"jaywind/internal/provider/rules"
	"jaywind/internal/standin/bubble"
	"jaywind/internal/standin/store"
)

// propagationLimit is the time within which accepted rules must be in force at all routers.
const propagationLimit = 3 * time.Second

// network connects the routers of one process, in virtual time.
type network struct {
	mu          sync.Mutex
	routers     map[jaywind.Address]*embed.Router
	partitioned map[jaywind.Address]bool // routers that are partitioned from all others
}

var errPartitioned = errors.New("router is partitioned")

func (n *network) find(from, to jaywind.Address) *embed.Router {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.partitioned[from] || n.partitioned[to] {
		return nil
	}
	return n.routers[to]
}

func (n *network) setPartitioned(at jaywind.Address, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[at] = partitioned
}

// peerClient is the client of one router for the others.
type peerClient struct {
	network *network
	from    jaywind.Address
}

func (c peerClient) reach(ctx context.Context, to jaywind.Address) (*embed.Router, error) {
	if r := c.network.find(c.from, to); r != nil {
		return r, nil
	}
	<-ctx.Done()
	return nil, errPartitioned
}

func (c peerClient) Exchange(ctx context.Context, at jaywind.Address, g jaywind.Gossip) (jaywind.Gossip, error) {
	r, err := c.reach(ctx, at)
	if err != nil {
		return jaywind.Gossip{}, err
	}
	return r.Gossip(ctx, g)
}

func (c peerClient) Head(ctx context.Context, at jaywind.Address) (jaywind.RulesHead, error) {
	r, err := c.reach(ctx, at)
	if err != nil {
		return jaywind.RulesHead{}, err
	}
	return r.RulesHead(), nil
}

func (c peerClient) Chunks(ctx context.Context, at jaywind.Address, ids []jaywind.ChunkID) ([]string, error) {
	r, err := c.reach(ctx, at)
	if err != nil {
		return nil, err
	}
	return r.RulesChunks(ids)
}

// routerStore is the store as one router sees it.
type routerStore struct {
	*store.Store
	network *network
	from    jaywind.Address

	mu          sync.Mutex
	stale       *jaywind.Entry // returned by Watch instead of the stored entry, if set
	unreachable bool           // for this router only
	silent      bool           // the connection of the running Watch has gone silent
	cancelWatch func()         // cancels the running Watch
}

// endWatch interrupts the running Watch.
func (s *routerStore) endWatch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancelWatch != nil {
		s.cancelWatch()
	}
}

func (s *routerStore) setUnreachable(unreachable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreachable = unreachable
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
	unreachable := s.unreachable
	s.mu.Unlock()
	s.network.mu.Lock()
	defer s.network.mu.Unlock()
	return unreachable || s.network.partitioned[s.from]
}

func (s *routerStore) Get(ctx context.Context, key string) (jaywind.Entry, error) {
	if s.isUnreachable() {
		return jaywind.Entry{}, jaywind.ErrStoreUnavailable
	}
	return s.Store.Get(ctx, key)
}

func (s *routerStore) Watch(ctx context.Context, key string, old jaywind.Revision) (jaywind.Entry, error) {
	if s.isUnreachable() {
		return jaywind.Entry{}, jaywind.ErrStoreUnavailable
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
	e, err := s.Store.Watch(ctx, key, old)
	s.mu.Lock()
	silent := s.silent
	s.silent = false
	s.mu.Unlock()
	if silent {
		sleepFor(ctx, pollTimeout)
		return jaywind.Entry{}, jaywind.ErrStoreUnavailable
	}
	return e, err
}

// pollTimeout is when the client of the store gives up a long poll.
const pollTimeout = 22 * time.Second

func sleepFor(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
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
	highest []jaywind.RulesVersion // version seen in force at each router
}

func newTestFleet(t *testing.T, n int) *testFleet {
	fleet := &testFleet{
		t:       t,
		store:   &store.Store{},
		network: &network{routers: map[jaywind.Address]*embed.Router{}, partitioned: map[jaywind.Address]bool{}},
	}
	for i := range n {
		fleet.routers = append(fleet.routers, nil)
		fleet.stores = append(fleet.stores, nil)
		fleet.stops = append(fleet.stops, nil)
		fleet.highest = append(fleet.highest, 0)
		fleet.startRouter(i)
	}
	t.Cleanup(func() {
		for _, stop := range fleet.stops {
			stop()
		}
		fleet.group.Wait()
	})
	return fleet
}

func fleetAddress(i int) jaywind.Address { return jaywind.Address(fmt.Sprint("http://10.0.0.", i)) }

func (fleet *testFleet) startRouter(i int) {
	at := fleetAddress(i)
	s := &routerStore{Store: fleet.store, network: fleet.network, from: at}
	r := &embed.Router{
		Self:            jaywind.VM(fmt.Sprintf("vm%02d", i)),
		Domain:          jaywind.Domain(fmt.Sprint("d", i%3)),
		Seed:            uint64(i + 1),
		TickInterval:    50 * time.Millisecond,
		Fleet:           at,
		Entry:           jaywind.Address(fmt.Sprint("http://10.0.1.", i)),
		Seeds:           []jaywind.Address{fleetAddress(0), fleetAddress(1), fleetAddress(2)},
		Gossiper:        peerClient{fleet.network, at},
		RulesPeer:       peerClient{fleet.network, at},
		DemandExchanger: peerClient{fleet.network, at},
		Engine:          &promptEngine{},
		Store:           s,
	}
	ctx, stop := context.WithCancel(context.Background())
	fleet.network.mu.Lock()
	fleet.network.routers[at] = r
	fleet.network.mu.Unlock()
	fleet.routers[i], fleet.stores[i], fleet.stops[i] = r, s, stop
	fleet.highest[i] = 0
	fleet.group.Go(func() { _ = r.Run(ctx) })
}

func (fleet *testFleet) kill(i int) {
	fleet.stops[i]()
	fleet.network.mu.Lock()
	defer fleet.network.mu.Unlock()
	delete(fleet.network.routers, fleetAddress(i))
}

// setPartitioned partitions a router from all others and from the store, or reconnects it.
func (fleet *testFleet) setPartitioned(i int, partitioned bool) {
	fleet.network.setPartitioned(fleetAddress(i), partitioned)
	fleet.stores[i].endWatch()
}

// acceptRules accepts the next version of the rules into the store.
func (fleet *testFleet) acceptRules() {
	ctx := context.Background()
	repository := rules.Repository{Store: fleet.store, Nonce: fmt.Sprint(time.Now().UnixNano())}
	base, err := repository.Read(ctx)
	if err != nil && !errors.Is(err, jaywind.ErrKeyNotFound) {
		fleet.t.Fatal(err)
	}
	text := fmt.Sprintf("model heat version=v%d # test\n", base.Version+1)
	if _, err := repository.Accept(ctx, base, text); err != nil {
		fleet.t.Fatal(err)
	}
}

// advance lets d pass and fails the test if the rules of a router revert to a lower version.
func (fleet *testFleet) advance(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(50 * time.Millisecond)
		for i := range fleet.routers {
			if v := fleet.version(i); v < fleet.highest[i] {
				fleet.t.Fatalf("router %d reverted from version %d to %d", i, fleet.highest[i], v)
			} else {
				fleet.highest[i] = v
			}
		}
	}
}

// version returns the version of the rules in force at a router, from its status.
func (fleet *testFleet) version(i int) jaywind.RulesVersion {
	s, err := fleet.routers[i].Status(context.Background())
	if err != nil {
		return fleet.highest[i]
	}
	return s.Self.Rules
}

// waitInForce fails the test unless all routers, except the given one, have a version in force within propagationLimit.
func (fleet *testFleet) waitInForce(version jaywind.RulesVersion, except ...int) {
	fleet.t.Helper()
	start := time.Now()
	for {
		pending := 0
		for i := range fleet.routers {
			skip := len(except) > 0 && except[0] == i
			if !skip && fleet.version(i) != version {
				pending++
			}
		}
		took := time.Since(start)
		if pending == 0 {
			fleet.t.Logf("version %d in force in %v", version, took)
			return
		}
		if took > propagationLimit {
			fleet.t.Fatalf("version %d is not in force at %d routers after %v", version, pending, took)
		}
		fleet.advance(50 * time.Millisecond)
	}
}

func (fleet *testFleet) converged() bool {
	for _, r := range fleet.routers {
		if len(r.Members()) != len(fleet.routers) {
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
	tests := map[string]func(fleet *testFleet){
		"no fault": func(fleet *testFleet) {
			fleet.acceptRules()
			fleet.waitInForce(2)
		},
		"router restarts while the store is down": func(fleet *testFleet) {
			fleet.acceptRules()
			fleet.waitInForce(2)
			fleet.store.SetFaults(store.Faults{Down: true})
			fleet.kill(4)
			fleet.advance(time.Second)
			fleet.startRouter(4)
			fleet.waitInForce(2)
		},
		"router is partitioned during the edit": func(fleet *testFleet) {
			fleet.setPartitioned(4, true)
			fleet.advance(20 * time.Second)
			fleet.acceptRules()
			fleet.waitInForce(2, 4)
			fleet.setPartitioned(4, false)
			fleet.waitInForce(2)
		},
		"router reconnects when all others have a later version": func(fleet *testFleet) {
			fleet.setPartitioned(0, true)
			for v := jaywind.RulesVersion(2); v < 6; v++ {
				fleet.acceptRules()
				fleet.waitInForce(v, 0)
			}
			fleet.setPartitioned(0, false)
			fleet.waitInForce(5)
			fleet.advance(10 * time.Second)
			fleet.waitInForce(5)
		},
		"store is down after the edit": func(fleet *testFleet) {
			fleet.acceptRules()
			fleet.store.SetFaults(store.Faults{Down: true})
			fleet.advance(30 * time.Second)
			fleet.store.SetFaults(store.Faults{})
			fleet.waitInForce(2)
			fleet.acceptRules()
			fleet.waitInForce(3)
		},
		"store returns a stale version": func(fleet *testFleet) {
			old, err := fleet.store.Get(context.Background(), "rules")
			if err != nil {
				fleet.t.Fatal(err)
			}
			fleet.acceptRules()
			fleet.waitInForce(2)
			for _, s := range fleet.stores {
				s.setStale(&old)
			}
			fleet.acceptRules()
			fleet.advance(10 * time.Second)
			for _, s := range fleet.stores {
				s.setStale(nil)
			}
			fleet.waitInForce(3)
		},
		"half of the routers die": func(fleet *testFleet) {
			for i := range 4 {
				fleet.kill(2 * i)
			}
			fleet.advance(10 * time.Second)
			fleet.acceptRules()
			for i := range 4 {
				fleet.startRouter(2 * i)
			}
			fleet.advance(2 * time.Second)
			fleet.waitInForce(2)
		},
	}
	for name, act := range tests {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				fleet := newTestFleet(t, fleetSize)
				fleet.acceptRules()
				fleet.advance(convergeTime)
				is.New(t).True(fleet.converged())
				fleet.waitInForce(1)
				act(fleet)
			})
		})
	}
}

func TestOneRouterThatReachesTheStoreIsEnough(t *testing.T) {
	for only := range fleetSize {
		t.Run(fmt.Sprint("router ", only), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				fleet := newTestFleet(t, fleetSize)
				fleet.acceptRules()
				fleet.advance(convergeTime)
				for i, s := range fleet.stores {
					s.setUnreachable(i != only)
				}
				time.Sleep(30 * time.Second)
				fleet.acceptRules()
				time.Sleep(time.Minute)
				fleet.waitInForce(2)
			})
		})
	}
}

// TestSilentRulesWatch fails if rules are in force late because the connections on which the routers watch the store have gone silent, although
// new ones work.
func TestSilentRulesWatch(t *testing.T) {
	const notice, apply = 3 * time.Second, 3 * time.Second // of a silent connection, and of a change
	bubble.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t, fleetSize)
		fleet.acceptRules()
		fleet.advance(convergeTime)
		for _, s := range fleet.stores {
			s.mu.Lock()
			s.silent = true
			s.mu.Unlock()
		}
		fleet.acceptRules()
		time.Sleep(notice + apply)
		for i := range fleet.routers {
			is.New(t).Equal(fleet.version(i), jaywind.RulesVersion(2))
		}
	})
}

func TestStoreCallsDoNotGrowWithRouters(t *testing.T) {
	tests := map[string]struct {
		accepted bool // rules have been accepted
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
				bubble.Test(t, func(t *testing.T) {
					fleet := newTestFleet(t, n)
					if c.accepted {
						fleet.acceptRules()
						time.Sleep(convergeTime)
					}
					fleet.store.SetFaults(store.Faults{Down: c.down})
					time.Sleep(2 * convergeTime)
					before := fleet.store.Calls()
					time.Sleep(time.Minute)
					perMinute[n] = fleet.store.Calls() - before
				})
			}
			t.Logf("in 3 failure domains, store calls a minute by routers: %v", perMinute)
			is.New(t).True(perMinute[24] <= perMinute[9]+perMinute[9]/4)
		})
	}
}

func TestEntries(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := newTestFleet(t, fleetSize)
		fleet.acceptRules()
		fleet.advance(convergeTime)
		homes := fleet.routers[0].HomeEntries("lagos")
		is.Equal(len(homes), 3)
		for _, r := range fleet.routers {
			is.Equal(r.HomeEntries("lagos"), homes) // all routers return the same entries
		}
		domains := map[jaywind.Domain]bool{}
		gone := map[jaywind.Address]bool{}
		for i, r := range fleet.routers {
			if r.Entry == homes[0] || r.Entry == homes[1] {
				domains[r.Domain] = true
				gone[r.Entry] = true
			}
			if r.Entry == homes[0] {
				r.Stop()
			}
			if r.Entry == homes[1] {
				fleet.setPartitioned(i, true)
			}
		}
		is.Equal(len(domains), 2) // entries are spread over failure domains
		fleet.advance(6 * time.Second)
		for _, r := range fleet.routers {
			if gone[r.Entry] {
				continue
			}
			for _, a := range r.HomeEntries("lagos") {
				is.True(!gone[a])
			}
		}
	})
}
