package roster

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"jaywind"
	"jaywind/internal/provider/follow"
)

// Prefix is where the routers' keys are in the store.
const Prefix = "jaywind/vm/"

const (
	leaseTime  = 2500 * time.Millisecond // a VM that lost power is in the list for no longer
	renewEvery = 900 * time.Millisecond  // two renewals may be lost
	callLimit  = 600 * time.Millisecond
)

// Member is one router that takes callers.
type Member struct {
	VM      jaywind.VM      `json:"vm"`
	Domain  jaywind.Domain  `json:"domain"`
	Entry   jaywind.Address `json:"entry"` // for callers
	Fleet   jaywind.Address `json:"fleet"` // for other routers
	Leaving bool            `json:"leaving"`
	Link    float64         `json:"link"` // Mbit/s

	missing time.Time // when its key was missed; zero while it is there
}

// Keeper writes keys that live as long as a lease.
type Keeper interface {
	// Grant opens a lease that lapses after ttl unless it is renewed.
	Grant(ctx context.Context, ttl time.Duration) (jaywind.LeaseID, error)
	// Renew prolongs a lease, or returns jaywind.ErrLapsed.
	Renew(ctx context.Context, id jaywind.LeaseID) error
	// Put writes a key under a lease, whatever it holds.
	Put(ctx context.Context, key string, value []byte, id jaywind.LeaseID) error
}

// Roster keeps this router's key and the list of all; set the exported fields before Run.
type Roster struct {
	Self   Member
	Keeper Keeper
	Log    *zap.Logger
	Size   func(place, routers int) // is told how many routers there are, and which this one is; may be nil

	mu      sync.Mutex
	members map[jaywind.VM]Member
	lease   jaywind.LeaseID
	written bool // the key says what Self does
}

// Run holds the key until ctx ends.
func (r *Roster) Run(ctx context.Context) error {
	t := time.NewTicker(renewEvery)
	defer t.Stop()
	for {
		r.hold(ctx)
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// hold opens or renews the lease and writes the key if it says something else.
func (r *Roster) hold(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	if r.lease != "" {
		err := r.Keeper.Renew(ctx, r.lease)
		if errors.Is(err, jaywind.ErrLeaseExpired) {
			r.Log.Warn("roster: lease lapsed", zap.String("lease", string(r.lease)))
			r.lease = ""
		} else if err != nil {
			r.Log.Debug("roster: not renewed", zap.Error(err))
		}
	}
	if r.lease == "" {
		id, err := r.Keeper.Grant(ctx, leaseTime)
		if err != nil {
			r.Log.Debug("roster: no lease", zap.Error(err))
			return
		}
		r.lease = id
		r.setWritten(false)
	}
	r.write(ctx)
}

func (r *Roster) setWritten(b bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.written = b
}

func (r *Roster) write(ctx context.Context) {
	r.mu.Lock()
	done, self := r.written, r.Self
	r.written = true
	r.mu.Unlock()
	if done {
		return
	}
	value, err := json.Marshal(self)
	if err == nil {
		err = r.Keeper.Put(ctx, Prefix+string(self.VM), value, r.lease)
	}
	if err != nil {
		r.Log.Debug("roster: key not written", zap.Error(err))
		r.setWritten(false)
		if errors.Is(err, jaywind.ErrLeaseExpired) {
			r.lease = ""
		}
	}
}

// Leave tells all that this router takes no more callers.
func (r *Roster) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Self.Leaving = true
	r.written = false
}

// Learn takes a change of a key under Prefix; mayReturn says that a deleted one may have lapsed with the store away.
func (r *Roster) Learn(i follow.Item, mayReturn bool) {
	vm := jaywind.VM(strings.TrimPrefix(i.Key, Prefix))
	var m Member
	err := error(nil)
	if !i.Deleted {
		err = json.Unmarshal(i.Value, &m)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.members == nil {
		r.members = map[jaywind.VM]Member{}
	}
	switch old, known := r.members[vm]; {
	case err != nil || !i.Deleted && m.VM != vm:
		r.Log.Warn("roster: unreadable entry", zap.String("key", i.Key), zap.Error(err))
		return
	case !i.Deleted:
		r.members[vm] = m
		r.Log.Info("roster: member", zap.String("vm", string(vm)), zap.Bool("leaving", m.Leaving), zap.Int64("revision", i.Revision))
	case !known:
		return
	case mayReturn:
		old.missing = time.Now()
		r.members[vm] = old
	default:
		delete(r.members, vm)
		r.Log.Info("roster: member gone", zap.String("vm", string(vm)), zap.Int64("revision", i.Revision))
	}
	r.report()
}

// Expire drops the members whose keys have been missing since before a time.
func (r *Roster) Expire(before time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for vm, m := range r.members {
		if !m.missing.IsZero() && m.missing.Before(before) {
			delete(r.members, vm)
			r.Log.Info("roster: member gone", zap.String("vm", string(vm)))
		}
	}
	r.report()
}

// report tells how many routers there are and which of them this one is; the caller holds mu.
func (r *Roster) report() {
	if r.Size == nil {
		return
	}
	place, routers := 0, 1
	for vm, m := range r.members {
		if vm == r.Self.VM || m.Leaving {
			continue
		}
		routers++
		if vm < r.Self.VM {
			place++
		}
	}
	r.Size(place, routers)
}

// Lead returns the router that acts for all where one has to: the first by name of those that stay. It is a matter of
// speed only; what it writes is checked by the store.
func (r *Roster) Lead() Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	lead := r.Self
	for _, m := range r.members {
		if !m.Leaving && m.missing.IsZero() && (m.VM < lead.VM || lead.Leaving) {
			lead = m
		}
	}
	return lead
}

const (
	readers     = 3  // routers at least that follow the store for the others, so that one is left when two are lost at once
	readersFrom = 16 // routers below which each follows the store itself, as that costs less than a lost reader delays
)

// Readers returns the routers that this one should follow, in its order of preference, or none when it should follow
// the store itself. The second result tells whether others follow this router.
func (r *Roster) Readers() ([]Member, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := r.staying()
	if len(all) < readersFrom {
		return nil, false
	}
	slices.SortFunc(all, func(a, b Member) int { // the widest links first, and among these an order that all share
		return cmp.Or(cmp.Compare(b.Link, a.Link), cmp.Compare(mark(a.VM), mark(b.VM)))
	})
	var chosen, others []Member // the first of each failure domain, and the rest
	for _, m := range all {
		if slices.ContainsFunc(chosen, func(o Member) bool { return o.Domain == m.Domain }) {
			others = append(others, m)
			continue
		}
		chosen = append(chosen, m)
	}
	chosen = append(chosen, others[:max(0, min(readers-len(chosen), len(others)))]...)
	if slices.ContainsFunc(chosen, func(m Member) bool { return m.VM == r.Self.VM }) {
		return nil, true
	}
	slices.SortFunc(chosen, func(a, b Member) int { // the own domain's first
		return cmp.Or(r.away(a)-r.away(b), cmp.Compare(mark(r.Self.VM+a.VM), mark(r.Self.VM+b.VM)))
	})
	return chosen, false
}

// Some returns the fleet addresses of some other routers that stay, drawn at random.
func (r *Roster) Some(most int) []jaywind.Address {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []jaywind.Address
	for _, m := range r.staying() {
		if m.VM != r.Self.VM {
			all = append(all, m.Fleet)
		}
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(most, len(all))]
}

// staying returns the routers that do not leave, this one among them unless it does; the caller holds mu.
func (r *Roster) staying() []Member {
	var all []Member
	for vm, m := range r.members {
		if !m.Leaving && m.missing.IsZero() && vm != r.Self.VM {
			all = append(all, m)
		}
	}
	if !r.Self.Leaving {
		all = append(all, r.Self)
	}
	return all
}

// away is 0 for a member of this router's domain and 1 for any other.
func (r *Roster) away(m Member) int {
	if m.Domain == r.Self.Domain {
		return 0
	}
	return 1
}

// mark spreads names evenly.
func mark(vm jaywind.VM) uint64 { return xxhash.Sum64String(string(vm)) }

const (
	localLeast = 4 // members of a failure domain from which its callers are sent there first
	localOther = 2 // members of each other domain that they may use as well, should their own be lost
)

// Entries returns where callers from a failure domain may connect: members that do not leave, or all when all do.
func (r *Roster) Entries(d jaywind.Domain) []jaywind.Address {
	r.mu.Lock()
	defer r.mu.Unlock()
	var staying, all []Member
	known := false
	for vm, m := range r.members {
		if vm == r.Self.VM {
			known, m = true, r.Self
		}
		all = append(all, m)
		if !m.Leaving {
			staying = append(staying, m)
		}
	}
	if !known && (!r.Self.Leaving || len(all) == 0) {
		staying = append(staying, r.Self)
	}
	if len(staying) == 0 {
		staying = all
	}
	return addresses(near(staying, d))
}

// near returns the members for callers of a domain: its own and a few others if it has enough, all otherwise.
func near(members []Member, d jaywind.Domain) []Member {
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(mark(a.VM), mark(b.VM)) })
	count := map[jaywind.Domain]int{}
	var chosen []Member
	for _, m := range members {
		count[m.Domain]++
		if m.Domain == d || count[m.Domain] <= localOther {
			chosen = append(chosen, m)
		}
	}
	if count[d] < localLeast {
		return members
	}
	return chosen
}

func addresses(members []Member) []jaywind.Address {
	all := make([]jaywind.Address, len(members))
	for i, m := range members {
		all[i] = m.Entry
	}
	slices.Sort(all)
	return all
}
