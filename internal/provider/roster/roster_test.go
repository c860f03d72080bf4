package roster_test

import (
	"context"
	"encoding/json"
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
	"jaywind/internal/provider/roster"
	"jaywind/internal/standin/bubble"
)

// member returns the n-th member of a fleet with four failure domains and links of 10 and 200 Mbit/s.
func member(n int) roster.Member {
	link := 10.0
	if n%3 == 0 {
		link = 200
	}
	return roster.Member{
		VM: jaywind.VM(fmt.Sprintf("vm%02d", n)), Domain: jaywind.Domain(fmt.Sprintf("d%d", n%4)),
		EntryAddress: jaywind.Address(fmt.Sprintf("10.0.0.%d:1", n)), LinkMbps: link,
	}
}

func item(t *testing.T, m roster.Member) follow.Item {
	t.Helper()
	b, err := json.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return follow.Item{Key: roster.Prefix + string(m.VM), Value: b, Position: jaywind.StorePosition{Revision: 1}}
}

// fleet returns the rosters of n routers that know each other.
func fleet(t *testing.T, n int) []*roster.Roster {
	t.Helper()
	all := make([]*roster.Roster, n)
	for i := range all {
		all[i] = &roster.Roster{Self: member(i), Log: zap.NewNop()}
		for k := range n {
			all[i].Update(item(t, member(k)), false)
		}
	}
	return all
}

func TestReaders(t *testing.T) {
	tests := map[string]struct{ routers, readers int }{
		"small fleet": {8, 0},
		"large fleet": {77, 4},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			readers := map[jaywind.VM]bool{}
			followed := map[jaywind.VM]int{}
			for i, r := range fleet(t, c.routers) {
				peers, reader := r.Readers()
				if reader {
					readers[member(i).VM] = true
					is.Equal(len(peers), 0)
				}
				if len(peers) > 0 {
					is.Equal(peers[0].Domain, member(i).Domain) // a reader of the same domain is preferred
					is.Equal(peers[0].LinkMbps, 200.0)
					followed[peers[0].VM]++
				}
			}
			is.Equal(len(readers), c.readers)
			for vm := range followed {
				is.True(readers[vm]) // all routers choose the same readers
			}
		})
	}
}

func TestEntries(t *testing.T) {
	leaving := member(4)
	leaving.Leaving = true
	tests := map[string]struct {
		routers int
		change  func(r *roster.Roster)
		want    int
	}{
		"small fleet, all members":      {8, func(*roster.Roster) {}, 8},
		"large fleet, own domain first": {76, func(*roster.Roster) {}, 19 + 3*2},
		"one member leaving":            {8, func(r *roster.Roster) { r.Update(item(t, leaving), false) }, 7},
		"this router leaving":           {8, func(r *roster.Roster) { r.Leave() }, 7},
		"one key deleted": {8, func(r *roster.Roster) {
			r.Update(follow.Item{Key: roster.Prefix + "vm04", Deleted: true, Position: jaywind.StorePosition{Revision: 9}}, false)
		}, 7},
		"one key expired during an outage": {8, func(r *roster.Roster) {
			r.Update(follow.Item{Key: roster.Prefix + "vm04", Deleted: true, Position: jaywind.StorePosition{Revision: 9}}, true)
		}, 8},
		"the expired key does not return": {8, func(r *roster.Roster) {
			r.Update(follow.Item{Key: roster.Prefix + "vm04", Deleted: true, Position: jaywind.StorePosition{Revision: 9}}, true)
			r.Expire(time.Now().Add(time.Second))
		}, 7},
		"invalid entry": {8, func(r *roster.Roster) {
			r.Update(follow.Item{Key: roster.Prefix + "vm04", Value: []byte("{"), Position: jaywind.StorePosition{Revision: 9}}, false)
		}, 8},
		"the only member leaving": {1, func(r *roster.Roster) { r.Leave() }, 1},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			r := fleet(t, c.routers)[0]
			c.change(r)
			is.New(t).Equal(len(r.EntryAddresses("d0")), c.want)
		})
	}
}

// fakeStore is a LeaseStore whose lease expires and whose calls fail when a test sets its fields.
type fakeStore struct {
	mu          sync.Mutex
	leases      int
	expired     bool
	unavailable bool
	keys        map[string]string
}

var errUnavailable = errors.New("store unavailable")

func (k *fakeStore) Grant(context.Context, time.Duration) (jaywind.LeaseID, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.unavailable {
		return "", errUnavailable
	}
	k.leases++
	k.expired = false
	return jaywind.LeaseID(fmt.Sprint(k.leases)), nil
}

func (k *fakeStore) Renew(context.Context, jaywind.LeaseID) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case k.unavailable:
		return errUnavailable
	case k.expired:
		return jaywind.ErrLeaseExpired
	}
	return nil
}

func (k *fakeStore) Put(_ context.Context, key string, value []byte, id jaywind.LeaseID) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.unavailable {
		return errUnavailable
	}
	k.keys[key] = string(value) + " " + string(id)
	return nil
}

// TestFleetAfterRestore answers a restore of the store under fleets of the users' sizes: all leases end at the same moment, in a
// fleet whose routers started together. The test fails if the calls that follow exceed the rate of the store, or if a key is
// not back within the grace period.
func TestFleetAfterRestore(t *testing.T) {
	tests := map[string]struct{ routers, writesPerSecond int }{
		"9 routers":   {9, 400},
		"73 routers":  {73, 1200},
		"195 routers": {195, 3200},
		"300 routers": {300, 4900},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				is := is.New(t)
				k := &restoredStore{leases: map[jaywind.LeaseID]bool{}, keys: map[string]bool{}}
				ctx, cancel := context.WithCancel(context.Background())
				var group conc.WaitGroup
				defer func() { cancel(); group.Wait() }()
				all := make([]*roster.Roster, c.routers)
				for i := range all {
					r := &roster.Roster{Self: roster.Member{VM: jaywind.VM(fmt.Sprint("vm", i))}, Store: k, Log: zap.NewNop()}
					all[i] = r
					group.Go(func() {
						time.Sleep(time.Duration(i) * time.Millisecond) // all start within 0.3 s
						_ = r.Run(ctx)
					})
				}
				time.Sleep(12 * time.Second)
				k.restore()
				for _, r := range all {
					r.Reregister()
				}
				time.Sleep(follow.ReregisterGrace)
				k.mu.Lock()
				defer k.mu.Unlock()
				is.Equal(len(k.keys), c.routers)
				for _, n := range k.writes {
					is.True(n <= c.writesPerSecond/10)
				}
			})
		})
	}
}

// restoredStore is a LeaseStore that loses everything at a restore. It counts the writes in each 100 ms after it.
type restoredStore struct {
	mu     sync.Mutex
	since  time.Time
	grants int
	leases map[jaywind.LeaseID]bool
	keys   map[string]bool
	writes map[time.Duration]int
}

func (k *restoredStore) restore() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.since, k.writes = time.Now(), map[time.Duration]int{}
	clear(k.leases)
	clear(k.keys)
}

// write counts a write; the caller holds mu.
func (k *restoredStore) write() {
	if !k.since.IsZero() {
		k.writes[time.Since(k.since)/(100*time.Millisecond)]++
	}
}

func (k *restoredStore) Grant(context.Context, time.Duration) (jaywind.LeaseID, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.write()
	k.grants++
	id := jaywind.LeaseID(fmt.Sprint(k.grants))
	k.leases[id] = true
	return id, nil
}

func (k *restoredStore) Renew(_ context.Context, id jaywind.LeaseID) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.leases[id] {
		return jaywind.ErrLeaseExpired
	}
	return nil
}

func (k *restoredStore) Put(_ context.Context, key string, _ []byte, id jaywind.LeaseID) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.write()
	if !k.leases[id] {
		return jaywind.ErrLeaseExpired
	}
	k.keys[key] = true
	return nil
}

// TestMaintainLease fails if the key is not back within seconds after the lease expired or the store returned, or does
// not show that the router is leaving.
func TestMaintainLease(t *testing.T) {
	tests := map[string]struct {
		fault func(k *fakeStore, r *roster.Roster)
		lease string
	}{
		"undisturbed":       {func(*fakeStore, *roster.Roster) {}, "1"},
		"lease expired":     {func(k *fakeStore, _ *roster.Roster) { k.expired = true }, "2"},
		"store unavailable": {func(k *fakeStore, _ *roster.Roster) { k.unavailable = true }, "1"},
		"leaves":            {func(_ *fakeStore, r *roster.Roster) { r.Leave() }, "1"},
		"key deleted": {func(k *fakeStore, r *roster.Roster) {
			k.expired = true
			delete(k.keys, roster.Prefix+"vm01")
			r.Update(follow.Item{Key: roster.Prefix + "vm01", Deleted: true}, true)
		}, "2"},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				is := is.New(t)
				k := &fakeStore{keys: map[string]string{}}
				r := fleet(t, 20)[1]
				r.Store = k
				ctx, cancel := context.WithCancel(context.Background())
				var group conc.WaitGroup
				defer func() { cancel(); group.Wait() }()
				group.Go(func() { _ = r.Run(ctx) })
				time.Sleep(3 * time.Second)
				k.mu.Lock()
				c.fault(k, r)
				k.mu.Unlock()
				time.Sleep(3 * time.Second)
				k.mu.Lock()
				k.unavailable = false
				k.mu.Unlock()
				time.Sleep(2 * time.Second)
				self := r.Self
				self.Lease = jaywind.LeaseID(c.lease)
				want, err := json.Marshal(self)
				is.NoErr(err)
				k.mu.Lock()
				defer k.mu.Unlock()
				is.Equal(k.keys[roster.Prefix+"vm01"], string(want)+" "+c.lease)
			})
		})
	}
}

// TestWideOwners guards against owners with narrow links, on which the answers to all routers come too late, against a service without a
// deputy, and against routers that disagree on the owner.
func TestWideOwners(t *testing.T) {
	links := func(all ...float64) []float64 { return all }
	tests := map[string]struct {
		links   []float64 // Mbit/s of each router
		leaving int       // of the first ones
		want    []int     // routers that may be owners
		count   int
	}{
		"alike":                   {links(100, 100, 100), 0, []int{0, 1, 2}, 2},
		"unknown":                 {links(0, 0, 0), 0, []int{0, 1, 2}, 2},
		"two wide":                {links(200, 10, 200, 10), 0, []int{0, 2}, 2},
		"half of the widest":      {links(200, 100, 99, 10), 0, []int{0, 1}, 2},
		"one wide":                {links(200, 10, 10, 10), 0, []int{0, 1, 2, 3}, 2},
		"wide ones are leaving":   {links(200, 200, 10, 10), 2, []int{2, 3}, 2},
		"one of three is leaving": {links(200, 200, 200, 10), 1, []int{1, 2}, 2},
		"alone":                   {links(10), 0, []int{0}, 1},
		"some links are unknown":  {links(200, 0, 200, 0), 0, []int{0, 2}, 2},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			members := make([]roster.Member, len(c.links))
			allowed := map[jaywind.Address]bool{}
			for i, link := range c.links {
				members[i] = member(i)
				members[i].LinkMbps, members[i].FleetAddress = link, jaywind.Address(fmt.Sprintf("10.0.0.%d:2", i))
				members[i].Leaving = i < c.leaving
			}
			for _, i := range c.want {
				allowed[members[i].FleetAddress] = true
			}
			used := map[jaywind.Address]bool{}
			for k := range 50 {
				key := fmt.Sprint("schedule/s", k)
				var first []jaywind.Address
				for i := range members {
					if members[i].Leaving { // it knows that of itself by Leave
						continue
					}
					r := &roster.Roster{Self: members[i], Log: zap.NewNop()}
					for _, m := range members {
						r.Update(item(t, m), false)
					}
					owners := r.WideOwners(key, 2)
					if first == nil {
						first = owners
					}
					is.Equal(owners, first) // all agree
				}
				is.Equal(len(first), c.count)
				is.True(c.count < 2 || first[0] != first[1])
				for _, at := range first {
					is.True(allowed[at])
					used[at] = true
				}
			}
			is.Equal(len(used), len(c.want)) // services have different owners
		})
	}
}
