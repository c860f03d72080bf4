package roster_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"jaywind"
	"jaywind/internal/provider/follow"
	"jaywind/internal/provider/roster"
)

// member returns the n-th member of a fleet with four failure domains and links of two widths.
func member(n int) roster.Member {
	link := 10.0
	if n%3 == 0 {
		link = 200
	}
	return roster.Member{
		VM: jaywind.VM(fmt.Sprintf("vm%02d", n)), Domain: jaywind.Domain(fmt.Sprintf("d%d", n%4)),
		Entry: jaywind.Address(fmt.Sprintf("10.0.0.%d:1", n)), Link: link,
	}
}

func item(t *testing.T, m roster.Member) follow.Item {
	t.Helper()
	b, err := json.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return follow.Item{Key: roster.Prefix + string(m.VM), Value: b, Revision: 1}
}

// fleet returns the rosters of n routers that know each other.
func fleet(t *testing.T, n int) []*roster.Roster {
	t.Helper()
	all := make([]*roster.Roster, n)
	for i := range all {
		all[i] = &roster.Roster{Self: member(i), Log: zap.NewNop()}
		for k := range n {
			all[i].Learn(item(t, member(k)), false)
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
					is.Equal(peers[0].Domain, member(i).Domain) // the own domain's first
					is.Equal(peers[0].Link, 200.0)
					followed[peers[0].VM]++
				}
			}
			is.Equal(len(readers), c.readers)
			for vm := range followed {
				is.True(readers[vm]) // all agree on who reads
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
		"small fleet, all":       {8, func(*roster.Roster) {}, 8},
		"large fleet, own first": {76, func(*roster.Roster) {}, 19 + 3*2},
		"one is leaving":         {8, func(r *roster.Roster) { r.Learn(item(t, leaving), false) }, 7},
		"this one is leaving":    {8, func(r *roster.Roster) { r.Leave() }, 7},
		"one is gone": {8, func(r *roster.Roster) {
			r.Learn(follow.Item{Key: roster.Prefix + "vm04", Deleted: true, Revision: 9}, false)
		}, 7},
		"one may come back": {8, func(r *roster.Roster) {
			r.Learn(follow.Item{Key: roster.Prefix + "vm04", Deleted: true, Revision: 9}, true)
		}, 8},
		"it does not": {8, func(r *roster.Roster) {
			r.Learn(follow.Item{Key: roster.Prefix + "vm04", Deleted: true, Revision: 9}, true)
			r.Expire(time.Now().Add(time.Second))
		}, 7},
		"unreadable entry": {8, func(r *roster.Roster) {
			r.Learn(follow.Item{Key: roster.Prefix + "vm04", Value: []byte("{"), Revision: 9}, false)
		}, 8},
		"the last one leaves": {1, func(r *roster.Roster) { r.Leave() }, 1},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			r := fleet(t, c.routers)[0]
			c.change(r)
			is.New(t).Equal(len(r.Entries("d0")), c.want)
		})
	}
}

// keeper is a store whose leases end when it is told so.
type keeper struct {
	mu     sync.Mutex
	leases int
	lapsed bool
	away   bool
	keys   map[string]string
}

var errAway = errors.New("away")

func (k *keeper) Grant(context.Context, time.Duration) (jaywind.LeaseID, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.away {
		return "", errAway
	}
	k.leases++
	k.lapsed = false
	return jaywind.LeaseID(fmt.Sprint(k.leases)), nil
}

func (k *keeper) Renew(context.Context, jaywind.LeaseID) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case k.away:
		return errAway
	case k.lapsed:
		return jaywind.ErrLeaseExpired
	}
	return nil
}

func (k *keeper) Put(_ context.Context, key string, value []byte, id jaywind.LeaseID) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.away {
		return errAway
	}
	k.keys[key] = string(value) + " " + string(id)
	return nil
}

// TestHold: the key is there again soon after the lease lapsed or the store came back, and says when the router leaves.
func TestHold(t *testing.T) {
	tests := map[string]struct {
		strike func(k *keeper, r *roster.Roster)
		lease  string
	}{
		"undisturbed":    {func(*keeper, *roster.Roster) {}, "1"},
		"lease lapsed":   {func(k *keeper, _ *roster.Roster) { k.lapsed = true }, "2"},
		"store was away": {func(k *keeper, _ *roster.Roster) { k.away = true }, "1"},
		"leaves":         {func(_ *keeper, r *roster.Roster) { r.Leave() }, "1"},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				k := &keeper{keys: map[string]string{}}
				r := &roster.Roster{Self: member(1), Keeper: k, Log: zap.NewNop()}
				ctx, cancel := context.WithCancel(context.Background())
				var group conc.WaitGroup
				defer func() { cancel(); group.Wait() }()
				group.Go(func() { _ = r.Run(ctx) })
				time.Sleep(3 * time.Second)
				k.mu.Lock()
				c.strike(k, r)
				k.mu.Unlock()
				time.Sleep(3 * time.Second)
				k.mu.Lock()
				k.away = false
				k.mu.Unlock()
				time.Sleep(2 * time.Second)
				want, err := json.Marshal(r.Self)
				is.NoErr(err)
				k.mu.Lock()
				defer k.mu.Unlock()
				is.Equal(k.keys[roster.Prefix+"vm01"], string(want)+" "+c.lease)
			})
		})
	}
}
