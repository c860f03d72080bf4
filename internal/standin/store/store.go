package store

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"strconv"
	"sync"
	"time"

	"jaywind"
)

// Faults are the faults to inject.
type Faults struct {
	Down        bool          `json:"down"` // every call fails before it takes effect
	LoseReplies int           `json:"lose"` // this many writes take effect but their replies are lost
	LoseCalls   int           `json:"drop"` // this many writes are lost before they take effect; the caller sees the same error as for a lost reply
	Delay       time.Duration `json:"slow"` // added to the time of each call, in nanoseconds

	ExpireLeases bool `json:"lapse"` // all leases held when the faults are set expire at once
}

// Store is an in-memory key-value service; its zero value works.
type Store struct {
	mu      sync.Mutex
	entries map[string]*entry
	leases  map[jaywind.LeaseID]*lease
	counter uint64
	faults  Faults
	calls   int
	changed chan struct{}
	era     jaywind.Era
	copied  snapshot
}

// snapshot is a copy of the contents, to which a Store can be restored.
type snapshot struct {
	entries map[string]*entry
	leases  map[jaywind.LeaseID]*lease
	counter uint64
}

type entry struct {
	value    []byte
	revision jaywind.Revision
	lease    jaywind.LeaseID
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

var _ jaywind.Store = (*Store)(nil)

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	if f.ExpireLeases {
		s.expireAll()
	}
	s.notify()
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Era returns how many times the store has been restored.
func (s *Store) Era() jaywind.Era {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// Copy keeps a copy of the contents for Restore.
func (s *Store) Copy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copied = snapshot{maps.Clone(s.entries), maps.Clone(s.leases), s.counter}
}

// Restore replaces the contents with those of the last Copy and begins the next era. Revisions and leases of after the copy are lost, and
// their numbers are given out again.
func (s *Store) Restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries, s.leases, s.counter = maps.Clone(s.copied.entries), maps.Clone(s.copied.leases), s.copied.counter
	s.era++
	s.notify()
}

// expireAll ends all leases; the caller holds mu.
func (s *Store) expireAll() {
	for _, l := range s.leases {
		l.expiresAt = time.Time{}
	}
	s.expire()
}

// notify wakes the watches; the caller holds mu.
func (s *Store) notify() {
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}

// begin counts a call and applies the faults Delay and Down.
func (s *Store) begin(ctx context.Context) error {
	s.mu.Lock()
	s.calls++
	f := s.faults
	s.mu.Unlock()
	if f.Delay > 0 {
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", jaywind.ErrStoreUnavailable, ctx.Err())
		case <-time.After(f.Delay):
		}
	}
	if f.Down {
		return fmt.Errorf("%w: outage", jaywind.ErrStoreUnavailable)
	}
	return nil
}

// Get returns the entry of a key.
func (s *Store) Get(ctx context.Context, key string) (jaywind.Entry, error) {
	if err := s.begin(ctx); err != nil {
		return jaywind.Entry{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.get(key)
}

// get removes the keys of expired leases, then returns the entry of a key; the caller holds mu.
func (s *Store) get(key string) (jaywind.Entry, error) {
	s.expire()
	e, found := s.entries[key]
	if !found {
		return jaywind.Entry{}, jaywind.ErrKeyNotFound
	}
	return jaywind.Entry{Key: key, Value: append([]byte(nil), e.value...), Revision: e.revision}, nil
}

// expire deletes expired leases with their keys; the caller holds mu.
func (s *Store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.Before(l.expiresAt) {
			continue
		}
		delete(s.leases, id)
		for key, e := range s.entries {
			if e.lease == id {
				delete(s.entries, key)
			}
		}
	}
}

// Swap writes value if the key's revision equals old.
func (s *Store) Swap(ctx context.Context, key string, value []byte, old jaywind.Revision) (jaywind.Revision, error) {
	return s.SwapLeased(ctx, key, value, old, "")
}

// SwapLeased is Swap for a value that is deleted when the lease expires.
func (s *Store) SwapLeased(ctx context.Context, key string, value []byte, old jaywind.Revision, id jaywind.LeaseID) (jaywind.Revision, error) {
	if len(value) > jaywind.MaxValue {
		return "", jaywind.ErrValueTooLarge
	}
	if err := s.begin(ctx); err != nil {
		return "", err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, _ := s.get(key)
	if current.Revision != old {
		return "", jaywind.ErrRevisionConflict
	}
	if _, valid := s.leases[id]; id != "" && !valid {
		return "", jaywind.ErrLeaseExpired
	}
	if err := s.takeLostCall(); err != nil {
		return "", err
	}
	if s.entries == nil {
		s.entries = map[string]*entry{}
	}
	revision := jaywind.Revision(strconv.Quote(strconv.FormatUint(s.nextNumber(), 10)))
	s.entries[key] = &entry{value: append([]byte(nil), value...), revision: revision, lease: id}
	s.notify()
	return revision, s.takeLostReply()
}

// Delete removes the key if its revision equals old.
func (s *Store) Delete(ctx context.Context, key string, old jaywind.Revision) error {
	if err := s.begin(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, err := s.get(key)
	if err != nil {
		return err
	}
	if current.Revision != old {
		return jaywind.ErrRevisionConflict
	}
	if err := s.takeLostCall(); err != nil {
		return err
	}
	delete(s.entries, key)
	s.notify()
	return s.takeLostReply()
}

// Usage returns the number of keys and the total size of their values.
func (s *Store) Usage() (keys, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for _, e := range s.entries {
		bytes += len(e.value)
	}
	return len(s.entries), bytes
}

// takeLostCall counts LoseCalls down and returns an error while it is above zero; the caller holds mu.
func (s *Store) takeLostCall() error {
	if s.faults.LoseCalls == 0 {
		return nil
	}
	s.faults.LoseCalls--
	return fmt.Errorf("%w: call lost", jaywind.ErrOutcomeUnknown)
}

func (s *Store) nextNumber() uint64 {
	s.counter++
	return s.counter
}

// takeLostReply counts LoseReplies down and returns an error while it is above zero; the caller holds mu.
func (s *Store) takeLostReply() error {
	if s.faults.LoseReplies == 0 {
		return nil
	}
	s.faults.LoseReplies--
	return fmt.Errorf("%w: reply lost", jaywind.ErrOutcomeUnknown)
}

// Watch waits until the key's revision differs from old.
func (s *Store) Watch(ctx context.Context, key string, old jaywind.Revision) (jaywind.Entry, error) {
	if err := s.begin(ctx); err != nil {
		return jaywind.Entry{}, err
	}
	for {
		e, changed, expiry, err := s.snapshot(key)
		waitForKey := errors.Is(err, jaywind.ErrKeyNotFound) && old == ""
		if !waitForKey && (err != nil || e.Revision != old) {
			return e, err
		}
		select {
		case <-changed:
		case <-time.After(expiry):
		case <-ctx.Done():
			return jaywind.Entry{}, fmt.Errorf("%w: %w", jaywind.ErrStoreUnavailable, ctx.Err())
		}
	}
}

// snapshot returns the entry, a channel that is closed at the next change, and the time until a lease may expire.
func (s *Store) snapshot(key string) (jaywind.Entry, <-chan struct{}, time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return jaywind.Entry{}, nil, 0, fmt.Errorf("%w: outage", jaywind.ErrStoreUnavailable)
	}
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	e, err := s.get(key)
	return e, s.changed, s.untilExpiry(), err
}

const idleRecheck = time.Hour // recheck interval of a watch while no lease is open

// untilExpiry returns the time until the next lease expires; the caller holds mu.
func (s *Store) untilExpiry() time.Duration {
	left := idleRecheck
	for _, l := range s.leases {
		left = min(left, time.Until(l.expiresAt))
	}
	return max(left, time.Millisecond)
}

// Grant opens a lease.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (jaywind.LeaseID, error) {
	if err := s.begin(ctx); err != nil {
		return "", err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases == nil {
		s.leases = map[jaywind.LeaseID]*lease{}
	}
	id := jaywind.LeaseID("lease" + strconv.FormatUint(s.nextNumber(), 10))
	s.leases[id] = &lease{ttl: ttl, expiresAt: time.Now().Add(ttl)}
	return id, s.takeLostReply()
}

// Renew extends a lease by its TTL.
func (s *Store) Renew(ctx context.Context, id jaywind.LeaseID) error {
	if err := s.begin(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l, valid := s.leases[id]
	if !valid {
		return jaywind.ErrLeaseExpired
	}
	s.leases[id] = &lease{ttl: l.ttl, expiresAt: time.Now().Add(l.ttl)} // a copy may hold the old one
	return s.takeLostReply()
}
