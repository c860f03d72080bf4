package roster

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"jaywind"
	"jaywind/internal/fleet/rendezvous"
	"jaywind/internal/provider/follow"
)

// Prefix is the prefix of the routers' keys in the store.
const Prefix = "jaywind/vm/"

// leaseTiming is how long a lease lasts, which is the longest time that a VM stays listed after a power loss unless others
// notice it, and when the lease is renewed: it survives one lost renewal.
type leaseTiming struct{ ttl, renewal time.Duration }

var (
	shortLease = leaseTiming{ttl: 2500 * time.Millisecond, renewal: 900 * time.Millisecond}
	longLease  = leaseTiming{ttl: 4 * time.Second, renewal: 1400 * time.Millisecond} // in a fleet whose readers notice silent VMs
)

const (
	callTimeout     = 600 * time.Millisecond
	retryInterval   = 900 * time.Millisecond // after a call that failed
	adoptionTime    = 250 * time.Millisecond // at the start, for this VM's key of before a restart to be found
	restOfList      = 20 * time.Millisecond  // after this VM's key, for the keys of the others in the same list
	fleetSizeTime   = 5 * time.Second        // at the start, for the other VMs to register
	reregisterDelay = 600 * time.Millisecond // over which VMs take new leases after a restore of the store
)

// Member is one router that accepts callers.
type Member struct {
	VM           jaywind.VM      `json:"vm"`
	Domain       jaywind.Domain  `json:"domain"`
	EntryAddress jaywind.Address `json:"entry"` // for requests of callers
	FleetAddress jaywind.Address `json:"fleet"` // for requests of other routers
	Leaving      bool            `json:"leaving"`
	LinkMbps     float64         `json:"link"`            // Mbit/s
	Lease        jaywind.LeaseID `json:"lease,omitempty"` // of the key

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
	OnMembers   func()                   // is called after a change of the members; may be nil

	mu        sync.Mutex
	members   map[jaywind.VM]Member
	published bool                     // the key has the present value of Self, or a write of it is in progress
	found     Member                   // this router's key of before a restart; zero if there is none
	searched  bool                     // found is not set any more, as the key is this router's own from now on
	silent    map[jaywind.VM]time.Time // VMs that a reader has not heard of for a while, and since when this router knows
	suspects  map[jaywind.VM]time.Time // VMs that did not answer this router, and until when they do not lead
	wake      chan time.Duration       // asks Run for an earlier call, after a delay

	lease  jaywind.LeaseID // this and the next two are used by Run only
	timing leaseTiming     // of lease
	since  time.Time       // start of Run
}

// Run maintains the lease and the key until ctx ends. The time of the renewals is random, so that routers which start
// together do not all call the store at the same moments.
func (r *Roster) Run(ctx context.Context) error {
	r.since, r.timing = time.Now(), longLease
	r.adopt(ctx)
	ok := r.maintainLease(ctx)
	next := rand.N(r.timing.renewal)
	for {
		if !ok {
			next = min(next, retryInterval)
		}
		if err := r.sleep(ctx, next); err != nil {
			return err
		}
		ok = r.maintainLease(ctx)
		next = r.timing.renewal
	}
}

// sleep waits for a time, or for a shorter one if an earlier call is asked for.
func (r *Roster) sleep(ctx context.Context, d time.Duration) error {
	end := time.Now().Add(d)
	for {
		t := time.NewTimer(time.Until(end))
		select {
		case <-t.C:
			return nil
		case sooner := <-r.wakeups():
			t.Stop()
			if at := time.Now().Add(sooner); at.Before(end) {
				end = at
			}
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		}
	}
}

func (r *Roster) wakeups() chan time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.wake == nil {
		r.wake = make(chan time.Duration, 1)
	}
	return r.wake
}

// callSoon makes Run call the store after a delay.
func (r *Roster) callSoon(delay time.Duration) {
	select {
	case r.wakeups() <- delay:
	default: // another one is under way
	}
}

// adopt takes over the lease of this VM's key of before a restart, if the key is found soon. This saves the store two writes
// for each VM when a whole fleet restarts.
func (r *Roster) adopt(ctx context.Context) {
	if r.sleep(ctx, adoptionTime) != nil { // Update ends it sooner when it finds the key
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.searched = true
	if r.found.Lease == "" {
		return
	}
	r.lease, r.timing = r.found.Lease, longLease
	self := r.Self
	self.Lease = r.lease
	r.published = self == r.found
	r.Log.Info("roster: lease of before the restart taken over", zap.String("lease", string(r.lease)), zap.Bool("published", r.published))
}

// maintainLease creates or renews the lease and writes the key if its value is out of date. It returns false if a call failed.
func (r *Roster) maintainLease(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	wanted := r.wantedTiming()
	if r.lease != "" && r.timing.ttl <= wanted.ttl {
		err := r.Store.Renew(ctx, r.lease)
		switch {
		case errors.Is(err, jaywind.ErrLeaseExpired):
			r.Log.Warn("roster: lease expired", zap.String("lease", string(r.lease)))
			r.lease = ""
		case err != nil:
			r.Log.Debug("roster: lease renewal failed", zap.Error(err))
			return false
		}
	}
	if r.lease == "" || r.timing.ttl > wanted.ttl {
		id, err := r.Store.Grant(ctx, wanted.ttl)
		if err != nil {
			r.Log.Debug("roster: lease grant failed", zap.Error(err))
			return false
		}
		r.lease, r.timing = id, wanted
		r.setPublished(false)
	}
	return r.publish(ctx)
}

// wantedTiming returns the timing for a new lease. A small fleet has no readers that would notice a silent VM.
func (r *Roster) wantedTiming() leaseTiming {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.found.VM != "" || time.Since(r.since) > fleetSizeTime
	if known && len(r.active()) < minReaderFleet {
		return shortLease
	}
	return longLease
}

func (r *Roster) setPublished(b bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.published = b
}

// publish writes the key unless it has the present value of Self. It returns false if that failed.
func (r *Roster) publish(ctx context.Context) bool {
	r.mu.Lock()
	done, self := r.published, r.Self
	r.published = true
	r.mu.Unlock()
	if done {
		return true
	}
	self.Lease = r.lease
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
	return err == nil
}

// Leave marks this router as leaving and publishes it, so that no new callers are sent here.
func (r *Roster) Leave() {
	r.mu.Lock()
	r.Self.Leaving = true
	r.published = false
	r.mu.Unlock()
	r.callSoon(0)
}

// Reregister takes a new lease soon, after the store has come back from an older copy of itself.
func (r *Roster) Reregister() { r.callSoon(rand.N(reregisterDelay)) }

// Update applies a change of a key under Prefix. With mayReturn, a deleted key may have expired because the store was
// unavailable; its member stays until Expire or until it registers again.
func (r *Roster) Update(i follow.Item, mayReturn bool) {
	defer r.reportMembers()
	switch found := r.update(i, mayReturn); {
	case found:
		r.callSoon(restOfList) // adopt waits for it
	case i.Deleted && i.Key == Prefix+string(r.Self.VM):
		r.Reregister() // the lease has ended, or the store has lost the key
	}
}

// update is Update. It reports whether the change shows this VM's key of before a restart.
func (r *Roster) update(i follow.Item, mayReturn bool) (found bool) {
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
		return false
	case !i.Deleted:
		r.members[vm] = m
		if vm == r.Self.VM && r.found.VM == "" && !r.searched {
			r.found, found = m, true
		}
		r.Log.Info("roster: member updated", zap.String("vm", string(vm)), zap.Bool("leaving", m.Leaving), zap.Int64("revision", i.Position.Revision))
	case !known:
		return false
	case mayReturn:
		old.missingSince = time.Now()
		r.members[vm] = old
	default:
		delete(r.members, vm)
		r.Log.Info("roster: member removed", zap.String("vm", string(vm)), zap.Int64("revision", i.Position.Revision))
	}
	r.reportPartition()
	return found
}

// Expire removes the members whose keys disappeared before a time.
func (r *Roster) Expire(before time.Time) {
	if r.expire(before) {
		r.reportMembers()
	}
}

// expire is Expire. It reports whether a member was removed.
func (r *Roster) expire(before time.Time) (removed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for vm, m := range r.members {
		if !m.missingSince.IsZero() && m.missingSince.Before(before) {
			delete(r.members, vm)
			removed = true
			r.Log.Info("roster: member removed", zap.String("vm", string(vm)))
		}
	}
	r.reportPartition()
	return removed
}

// reportMembers calls Roster.OnMembers; the caller does not hold mu.
func (r *Roster) reportMembers() {
	if r.OnMembers != nil {
		r.OnMembers()
	}
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
	leader, now := r.Self, time.Now()
	for _, m := range r.members {
		if !m.Leaving && m.missingSince.IsZero() && !now.Before(r.suspects[m.VM]) && (m.VM < leader.VM || leader.Leaving) {
			leader = m
		}
	}
	return leader
}

const suspicionTime = 3 * time.Second // for which a router that did not answer is not taken as the leader

// Suspect records that a router did not answer this one, so that the next one leads for a while.
func (r *Roster) Suspect(vm jaywind.VM) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.suspects == nil {
		r.suspects = map[jaywind.VM]time.Time{}
	}
	r.suspects[vm] = time.Now().Add(suspicionTime)
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

// HasHost reports whether a router of the fleet has its fleet address at a host.
func (r *Roster) HasHost(host string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.members {
		if h, _, err := net.SplitHostPort(string(m.FleetAddress)); err == nil && h == host {
			return true
		}
	}
	return false
}

// Helpers returns the fleet addresses of at most so many other routers through which endpoints may be reached, drawn at random. Routers
// that are leaving come last.
func (r *Roster) Helpers(limit int) []jaywind.Address {
	helpers := r.Sample(limit)
	r.mu.Lock()
	defer r.mu.Unlock()
	for vm, m := range r.members {
		if len(helpers) < limit && m.Leaving && m.missingSince.IsZero() && vm != r.Self.VM {
			helpers = append(helpers, m.FleetAddress)
		}
	}
	return helpers
}

// Count returns the number of routers that are not leaving.
func (r *Roster) Count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.active())
}

// Collectors returns the fleet addresses of the routers, other than this one, that collect what concerns a key, and whether this
// one is among those. All routers with the same view of the members choose the same.
func (r *Roster) Collectors(key string, count int) (others []jaywind.Address, self bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range rendezvous.Pick(key, r.fleetMembers(), count, "") {
		if m.VM == r.Self.VM {
			self = true
			continue
		}
		others = append(others, m.Fleet)
	}
	return others, self
}

// Owners returns the fleet addresses of the routers that own a key, the best first; this one may be among them. All routers with the same
// view of the members choose the same.
func (r *Roster) Owners(key string, count int) []jaywind.Address {
	r.mu.Lock()
	defer r.mu.Unlock()
	var owners []jaywind.Address
	for _, m := range rendezvous.Pick(key, r.fleetMembers(), count, "") {
		owners = append(owners, m.Fleet)
	}
	return owners
}

// WideOwners is Owners among the routers with the widest links, for a key that all routers call about often. These are the ones that have
// at least half of the widest link.
func (r *Roster) WideOwners(key string, count int) []jaywind.Address {
	r.mu.Lock()
	defer r.mu.Unlock()
	widest := 0.0
	for _, m := range r.active() {
		widest = max(widest, m.LinkMbps)
	}
	var wide []jaywind.Member
	for _, m := range r.active() {
		if 2*m.LinkMbps >= widest {
			wide = append(wide, jaywind.Member{VM: m.VM, Domain: m.Domain, Fleet: m.FleetAddress})
		}
	}
	if len(wide) < count {
		wide = r.fleetMembers()
	}
	var owners []jaywind.Address
	for _, m := range rendezvous.Pick(key, wide, count, "") {
		owners = append(owners, m.Fleet)
	}
	return owners
}

// fleetMembers returns the active routers; the caller holds mu.
func (r *Roster) fleetMembers() []jaywind.Member {
	var members []jaywind.Member
	for _, m := range r.active() {
		members = append(members, jaywind.Member{VM: m.VM, Domain: m.Domain, Fleet: m.FleetAddress})
	}
	return members
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
	silent := r.silentMembers()
	for vm, m := range r.members {
		if vm == r.Self.VM {
			known, m = true, r.Self
		}
		all = append(all, m)
		if !m.Leaving && !silent[vm] {
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
