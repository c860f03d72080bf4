package follow_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"jaywind"
	"jaywind/internal/provider/follow"
	"jaywind/internal/standin/bubble"
)

var errConnectionLost = errors.New("connection lost")

// connection is a Source reached over a connection that can go silent for good. A call that runs into its time-out ends the connection, as in
// HTTP/1; a multiplexed one ends only when the client's pings have had no answer. The next call uses a new connection.
type connection struct {
	follow.Source
	multiplexed bool

	mu     sync.Mutex
	silent chan struct{} // closed when the connection ends; nil while it works
	lost   bool          // new connections are silent as well
}

const pingTime = 3 * time.Second // within which the pings of a multiplexed connection show that it is silent

// fallSilent makes the connection silent, also for a call in progress.
func (c *connection) fallSilent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.silent != nil {
		return
	}
	end := make(chan struct{})
	c.silent = end
	if c.multiplexed {
		time.AfterFunc(pingTime, func() { c.end(end) })
	}
}

// lose makes the connection and all further ones silent, as those to a VM without power.
func (c *connection) lose() {
	c.mu.Lock()
	c.lost = true
	c.mu.Unlock()
	c.fallSilent()
}

func (c *connection) end(silent chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.silent == silent && !c.lost {
		close(silent)
		c.silent = nil
	}
}

// err waits until the connection or the call has ended if the connection is silent.
func (c *connection) err(ctx context.Context) error {
	c.mu.Lock()
	silent := c.silent
	c.mu.Unlock()
	if silent == nil {
		return nil
	}
	select {
	case <-ctx.Done():
		if !c.multiplexed {
			c.end(silent)
		}
		return ctx.Err()
	case <-silent:
		return errConnectionLost
	}
}

func (c *connection) List(ctx context.Context, prefix string, exact bool) ([]follow.Item, jaywind.StorePosition, error) {
	if err := c.err(ctx); err != nil {
		return nil, jaywind.StorePosition{}, err
	}
	items, position, err := c.Source.List(ctx, prefix, exact)
	if lost := c.err(ctx); lost != nil {
		return nil, jaywind.StorePosition{}, lost
	}
	return items, position, err
}

func (c *connection) Watch(ctx context.Context, prefix string, after jaywind.StorePosition, wait time.Duration) ([]follow.Item, jaywind.StorePosition, error) {
	if err := c.err(ctx); err != nil {
		return nil, jaywind.StorePosition{}, err
	}
	items, position, err := c.Source.Watch(ctx, prefix, after, wait)
	if lost := c.err(ctx); lost != nil {
		return nil, jaywind.StorePosition{}, lost
	}
	return items, position, err
}

// fleet is one router with the readers that it follows, and the store.
type fleet struct {
	truth       *fakeStore
	connections []*connection // of all of them
	toReaders   []*connection // those of the router to the readers
	known       recorder      // what the router has
}

// newFleet starts the routers. Without readers the router watches the store itself.
func newFleet(ctx context.Context, group *conc.WaitGroup, readers int) *fleet {
	w := &fleet{truth: &fakeStore{}, known: recorder{keys: map[string]string{}}}
	w.truth.put("a", "1")
	connect := func(s follow.Source, multiplexed bool) *connection {
		c := &connection{Source: s, multiplexed: multiplexed}
		w.connections = append(w.connections, c)
		return c
	}
	var peers []follow.Peer
	for n := range readers {
		r := &fakeReader{}
		path := &follow.PeerSource{Store: connect(w.truth, false), Peers: func() ([]follow.Peer, bool) { return nil, true }}
		f := &follow.Follower{Source: path, Log: zap.NewNop(), OnChange: func(follow.Item) {}, Cache: &r.cache, FromStore: path.FromStore, ForOthers: path.IsReader}
		group.Go(func() { _ = f.Run(ctx) })
		c := connect(r, true)
		w.toReaders = append(w.toReaders, c)
		peers = append(peers, follow.Peer{Name: fmt.Sprint(n), Source: c})
	}
	path := &follow.PeerSource{Store: connect(w.truth, false), Peers: func() ([]follow.Peer, bool) { return peers, false }}
	f := &follow.Follower{Source: path, Log: zap.NewNop(), OnChange: w.known.change, FromStore: path.FromStore}
	group.Go(func() { _ = f.Run(ctx) })
	return w
}

// playFleet starts a fleet, and calls play some seconds later.
func playFleet(t *testing.T, readers int, play func(is *is.I, w *fleet)) {
	bubble.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		var group conc.WaitGroup
		defer func() { cancel(); group.Wait() }()
		w := newFleet(ctx, &group, readers)
		time.Sleep(6 * time.Second)
		play(is.New(t), w)
	})
}

// fleetBounds are fleets of the sizes in service, with how many readers they have, within which time of its acknowledgement a change has to be
// in force, and for how long routers whose connections were lost are excused.
var fleetBounds = map[string]struct {
	readers        int
	apply, contact time.Duration
}{
	"8 VMs":   {0, 2 * time.Second, 3 * time.Second},
	"73 VMs":  {4, 3 * time.Second, 4 * time.Second},
	"195 VMs": {6, 4 * time.Second, 5 * time.Second},
}

// TestSilentConnections fails if a router whose connections to the store and to all readers go silent at some moment of its cycle, and
// those of the readers with them, is not up to date when it counts as in touch again.
func TestSilentConnections(t *testing.T) {
	const step = 130 * time.Millisecond
	changed := map[string]time.Duration{ // before the silence, so that some of the routers pause
		"just before": 10 * time.Millisecond, "a moment before": 250 * time.Millisecond, "some time before": 600 * time.Millisecond, "long before": 3 * time.Second,
	}
	for name, c := range fleetBounds {
		for when, before := range changed {
			t.Run(name+", a change "+when, func(t *testing.T) {
				for moment := time.Duration(0); moment < 2500*time.Millisecond; moment += step {
					playFleet(t, c.readers, func(is *is.I, w *fleet) {
						time.Sleep(moment)
						w.truth.put("b", "1")
						time.Sleep(before)
						silentAt := time.Now()
						for _, l := range w.connections {
							l.fallSilent()
						}
						time.Sleep(c.contact - c.apply)
						w.truth.put("a", "2") // is due when the router is in touch again
						time.Sleep(time.Until(silentAt.Add(c.contact)))
						is.Equal(w.known.String(), "map[a:2 b:1]") // at the moment of the cycle
					})
				}
			})
		}
	}
}

// TestLostReaders fails if a router does not have a change in time because all readers but the last one that it would ask are lost without
// notice just before the change.
func TestLostReaders(t *testing.T) {
	const step = 130 * time.Millisecond
	for name, c := range fleetBounds {
		t.Run(name, func(t *testing.T) {
			for moment := time.Duration(0); moment < 2500*time.Millisecond; moment += step {
				for lost := range c.readers {
					playFleet(t, c.readers, func(is *is.I, w *fleet) {
						time.Sleep(moment)
						for _, l := range w.toReaders[:lost] {
							l.lose()
						}
						w.truth.put("a", "2")
						time.Sleep(c.apply)
						is.Equal(w.known.String(), "map[a:2]")
					})
				}
			}
		})
	}
}

// TestFleetAfterOutage fails if a router does not have a change that was made when the store returned by the time at which it counts as in touch
// again, whatever the store did during the outage.
func TestFleetAfterOutage(t *testing.T) {
	const step = 430 * time.Millisecond
	outages := map[string]func(s *fakeStore, down bool){
		"the store refuses calls": func(s *fakeStore, down bool) { s.unavailable = down },
		"the store is silent":     func(s *fakeStore, down bool) { s.silent = down },
	}
	for name, c := range fleetBounds {
		for kind, set := range outages {
			t.Run(name+", "+kind, func(t *testing.T) {
				for moment := 2 * time.Second; moment < 9*time.Second; moment += step {
					playFleet(t, c.readers, func(is *is.I, w *fleet) {
						w.truth.update(func(s *fakeStore) { set(s, true) })
						time.Sleep(moment)
						w.truth.update(func(s *fakeStore) { set(s, false) })
						w.truth.put("a", "2")
						time.Sleep(c.contact)
						is.Equal(w.known.String(), "map[a:2]")
					})
				}
			})
		}
	}
}

// TestPauseAfterSilentStore fails if a router whose call of a silent store took long leaves the store alone for longer after it than after one
// that was refused at once, so that it has changes late when the store is back and no reader is.
func TestPauseAfterSilentStore(t *testing.T) {
	const pause = 2500 * time.Millisecond // between two calls of a store that fails, less a random time
	outages := map[string]func(s *fakeStore){
		"refuses": func(s *fakeStore) { s.unavailable = true },
		"silent":  func(s *fakeStore) { s.silent = true },
	}
	for name, outage := range outages {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				is := is.New(t)
				for range 100 { // with other random times
					s := &fakeStore{}
					outage(s)
					stale := []follow.Peer{{Name: "reader", Source: &follow.Cache{}}}
					path := &follow.PeerSource{Store: s, Peers: func() ([]follow.Peer, bool) { return stale, false }}
					began := time.Now()
					_, _, err := path.List(context.Background(), "", true)
					is.True(err != nil)
					*s = fakeStore{}
					time.Sleep(time.Until(began.Add(pause)))
					_, _, err = path.List(context.Background(), "", true)
					is.NoErr(err)
				}
			})
		})
	}
}
