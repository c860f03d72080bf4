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

// Prefix is the prefix of the routers' keys in the store.
const Prefix = "jaywind/vm/"

const (
	leaseTTL      = 2500 * time.Millisecond // longest time that a VM stays listed after a power loss
	renewInterval = 900 * time.Millisecond  // the lease survives one lost renewal; a third one would come after its end
	callTimeout   = 600 * time.Millisecond
)

// Member is one router that accepts callers.
type Member struct {
	VM           jaywind.VM      `json:"vm"`
	Domain       jaywind.Domain  `json:"domain"`
	EntryAddress jaywind.Address `json:"entry"` // for requests of callers
	FleetAddress jaywind.Address `json:"fleet"` // for requests of other routers
	Leaving      bool            `json:"leaving"`
	LinkMbps     float64         `json:"link"` // Mbit/s

	missingSince time.Time // when its key disappeared; zero while the key exists
}

// LeaseStore writes keys that are deleted when their lease expires.
type LeaseStore interface {
	// Grant creates a lease that expires after ttl unless it is renewed.
	Grant(ctx context.Context, ttl time.Duration) (jaywind.LeaseID, error)
	// Renew extends a lease, or returns jaywind.ErrLeaseExpired.
	Renew(ctx context.Context, id jaywind.LeaseID) error
	// Put writes a key under a lease and overwrites any earlier value.
	Put(ctx context.Context, key string, value []byte, id jaywind.LeaseID) error
}

// Roster maintains this router's key and the list of all members; set the exported fields before Run.
type Roster struct {
	Self        Member
	Store       LeaseStore
	Log         *zap.Logger
	OnPartition func(index, routers int) // is called with this router's index, from 0, and the number of routers; may be nil

	mu        sync.Mutex
	members   map[jaywind.VM]Member
	lease     jaywind.LeaseID
	published bool // the key has the present value of Self, or a write of it is in progress
}

// Run maintains the lease and the key until ctx ends. The time of the renewals is random, so that routers which start
// together do not all take new leases at the same moment after a restore of the store.
func (r *Roster) Run(ctx context.Context) error {
	r.maintainLease(ctx)
	first := time.NewTimer(rand.N(renewInterval))
	defer first.Stop()
	select {
	case <-first.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	t := time.NewTicker(renewInterval)
	defer t.Stop()
	for {
		r.maintainLease(ctx)
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// maintainLease creates or renews the lease and writes the key if its value is out of date.
func (r *Roster) maintainLease(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if r.lease != "" {
		err := r.Store.Renew(ctx, r.lease)
		if errors.Is(err, jaywind.ErrLeaseExpired) {
			r.Log.Warn("roster: lease expired", zap.String("lease", string(r.lease)))
			r.lease = ""
		} else if err != nil {
			r.Log.Debug("roster: lease renewal failed", zap.Error(err))
		}
	}
	if r.lease == "" {
		id, err := r.Store.Grant(ctx, leaseTTL)
		if err != nil {
			r.Log.Debug("roster: lease grant failed", zap.Error(err))
			return
		}
		r.lease = id
		r.setPublished(false)
	}
	r.publish(ctx)
}

func (r *Roster) setPublished(b bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.published = b
}

// publish writes the key unless it has the present value of Self.
func (r *Roster) publish(ctx context.Context) {
	r.mu.Lock()
	done, self := r.published, r.Self
	r.published = true
	r.mu.Unlock()
	if done {
		return
	}
	value, err := json.Marshal(self)
	if err == nil {
		err = r.Store.Put(ctx, Prefix+string(self.VM), value, r.lease)
	}
	if err != nil {
		r.Log.Debug("roster: key write failed", zap.Error(err))
		r.setPublished(false)
		if errors.Is(err, jaywind.ErrLeaseExpired) {
			r.lease = ""
		}
	}
}

// Leave marks this router as leaving; the next lease renewal publishes it, so that no new callers are sent here.
func (r *Roster) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Self.Leaving = true
	r.published = false
}

// Update applies a change of a key under Prefix. With mayReturn, a deleted key may have expired because the store was
// unavailable; its member stays until Expire or until it registers again.
func (r *Roster) Update(i follow.Item, mayReturn bool) {
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
		r.Log.Warn("roster: invalid entry", zap.String("key", i.Key), zap.Error(err))
		return
	case !i.Deleted:
		r.members[vm] = m
		r.Log.Info("roster: member updated", zap.String("vm", string(vm)), zap.Bool("leaving", m.Leaving), zap.Int64("revision", i.Position.Revision))
	case !known:
		return
	case mayReturn:
		old.missingSince = time.Now()
		r.members[vm] = old
	default:
		delete(r.members, vm)
		r.Log.Info("roster: member removed", zap.String("vm", string(vm)), zap.Int64("revision", i.Position.Revision))
	}
	r.reportPartition()
}

// Expire removes the members whose keys disappeared before a time.
func (r *Roster) Expire(before time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for vm, m := range r.members {
		if !m.missingSince.IsZero() && m.missingSince.Before(before) {
			delete(r.members, vm)
			r.Log.Info("roster: member removed", zap.String("vm", string(vm)))
		}
	}
	r.reportPartition()
}

// reportPartition calls Roster.OnPartition with this router's index by name among the routers that are not leaving; the
// caller holds mu.
func (r *Roster) reportPartition() {
	if r.OnPartition == nil {
		return
	}
	index, routers := 0, 1
	for vm, m := range r.members {
		if vm == r.Self.VM || m.Leaving {
			continue
		}
		routers++
		if vm < r.Self.VM {
			index++
		}
	}
	r.OnPartition(index, routers)
}

// RolloutLeader returns the router that acts for the fleet where one has to: the first by name of those that are not leaving.
// Routers that disagree on the leader lose only time, because the store checks what a leader writes. This choice needs no
// lease, unlike that of package leader.
func (r *Roster) RolloutLeader() Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	leader := r.Self
	for _, m := range r.members {
		if !m.Leaving && m.missingSince.IsZero() && (m.VM < leader.VM || leader.Leaving) {
			leader = m
		}
	}
	return leader
}

const (
	minReaders     = 3  // least number of readers, so that one is left when two are lost at once
	minReaderFleet = 16 // in a smaller fleet every router watches the store: this costs less than the delay after the loss of a reader
)

// Readers returns the readers, which are the routers that watch the store and serve its data to the others, in this
// router's order of preference. It returns none if this router should watch the store itself. The second result tells
// whether this router is a reader.
func (r *Roster) Readers() ([]Member, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := r.active()
	if len(all) < minReaderFleet {
		return nil, false
	}
	slices.SortFunc(all, func(a, b Member) int { // the fastest links first; all routers break ties in the same order
		return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(hash(a.VM), hash(b.VM)))
	})
	var chosen, others []Member // the first of each failure domain, and the rest
	for _, m := range all {
		if slices.ContainsFunc(chosen, func(o Member) bool { return o.Domain == m.Domain }) {
			others = append(others, m)
			continue
		}
		chosen = append(chosen, m)
	}
	chosen = append(chosen, others[:max(0, min(minReaders-len(chosen), len(others)))]...)
	if slices.ContainsFunc(chosen, func(m Member) bool { return m.VM == r.Self.VM }) {
		return nil, true
	}
	slices.SortFunc(chosen, func(a, b Member) int { // this router's domain first
		return cmp.Or(r.domainRank(a)-r.domainRank(b), cmp.Compare(hash(r.Self.VM+a.VM), hash(r.Self.VM+b.VM)))
	})
	return chosen, false
}

// Sample returns the fleet addresses of at most so many other routers, drawn at random from those that are not leaving.
func (r *Roster) Sample(limit int) []jaywind.Address {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []jaywind.Address
	for _, m := range r.active() {
		if m.VM != r.Self.VM {
			all = append(all, m.FleetAddress)
		}
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(limit, len(all))]
}

// active returns the routers that are not leaving and whose keys exist, including this one unless it is leaving; the
// caller holds mu.
func (r *Roster) active() []Member {
	var all []Member
	for vm, m := range r.members {
		if !m.Leaving && m.missingSince.IsZero() && vm != r.Self.VM {
			all = append(all, m)
		}
	}
	if !r.Self.Leaving {
		all = append(all, r.Self)
	}
	return all
}

// domainRank returns 0 for a member of this router's domain and 1 for any other.
func (r *Roster) domainRank(m Member) int {
	if m.Domain == r.Self.Domain {
		return 0
	}
	return 1
}

// hash returns a sort key that spreads choices evenly over the members.
func hash(vm jaywind.VM) uint64 { return xxhash.Sum64String(string(vm)) }

const (
	minLocal        = 4 // members that a domain needs for its callers to be sent mainly there
	remotePerDomain = 2 // members of each other domain that are listed as well, for the loss of a caller's own domain
)

// EntryAddresses returns the addresses to which callers from a failure domain may connect: those of the members that are
// not leaving, or of all members if all are leaving.
func (r *Roster) EntryAddresses(d jaywind.Domain) []jaywind.Address {
	r.mu.Lock()
	defer r.mu.Unlock()
	var active, all []Member
	known := false
	for vm, m := range r.members {
		if vm == r.Self.VM {
			known, m = true, r.Self
		}
		all = append(all, m)
		if !m.Leaving {
			active = append(active, m)
		}
	}
	if !known && (!r.Self.Leaving || len(all) == 0) {
		active = append(active, r.Self)
	}
	if len(active) == 0 {
		active = all
	}
	return entryAddresses(preferLocal(active, d))
}

// preferLocal returns the members for callers of a domain: the domain's own members and a few of each other domain if it
// has at least minLocal, and all members otherwise.
func preferLocal(members []Member, d jaywind.Domain) []Member {
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(hash(a.VM), hash(b.VM)) })
	count := map[jaywind.Domain]int{}
	var chosen []Member
	for _, m := range members {
		count[m.Domain]++
		if m.Domain == d || count[m.Domain] <= remotePerDomain {
			chosen = append(chosen, m)
		}
	}
	if count[d] < minLocal {
		return members
	}
	return chosen
}

func entryAddresses(members []Member) []jaywind.Address {
	all := make([]jaywind.Address, len(members))
	for i, m := range members {
		all[i] = m.EntryAddress
	}
	slices.Sort(all)
	return all
}
