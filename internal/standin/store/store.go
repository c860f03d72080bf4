package store

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"jaywind"
)

// Faults are the switches of the stand-in.
type Faults struct {
	Down bool          `json:"down"` // every call fails before it takes effect
	Lose int           `json:"lose"` // so many writes take effect but their replies are lost
	Drop int           `json:"drop"` // so many writes are lost before they take effect, which their callers can't tell
	Slow time.Duration `json:"slow"` // every call takes this much longer, in nanoseconds

	Lapse bool `json:"lapse"` // all leases that are held when it is set lapse at once
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
}

type entry struct {
	value    []byte
	revision jaywind.Revision
	lease    jaywind.LeaseID
}

type lease struct {
	ttl time.Duration
	end time.Time
}

var _ jaywind.Store = (*Store)(nil)

// Set replaces the faults.
func (s *Store) Set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	if f.Lapse {
		s.lapse()
	}
	s.signal()
}

// Calls returns how many calls were made so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// lapse ends all leases; the caller holds mu.
func (s *Store) lapse() {
	for _, l := range s.leases {
		l.end = time.Time{}
	}
	s.expire()
}

// signal wakes the watches; the caller holds mu.
func (s *Store) signal() {
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}

// begin counts a call and applies the faults that strike before it.
func (s *Store) begin(ctx context.Context) error {
	s.mu.Lock()
	s.calls++
	f := s.faults
	s.mu.Unlock()
	if f.Slow > 0 {
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", jaywind.ErrStoreUnavailable, ctx.Err())
		case <-time.After(f.Slow):
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

// get returns an entry after lapsed leases are taken into account; the caller holds mu.
func (s *Store) get(key string) (jaywind.Entry, error) {
	s.expire()
	e, found := s.entries[key]
	if !found {
		return jaywind.Entry{}, jaywind.ErrKeyNotFound
	}
	return jaywind.Entry{Key: key, Value: append([]byte(nil), e.value...), Revision: e.revision}, nil
}

func (s *Store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.Before(l.end) {
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

// Swap writes value if the key's revision is old.
func (s *Store) Swap(ctx context.Context, key string, value []byte, old jaywind.Revision) (jaywind.Revision, error) {
	return s.SwapLeased(ctx, key, value, old, "")
}

// SwapLeased is Swap for a value that is deleted when the lease lapses.
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
	if _, alive := s.leases[id]; id != "" && !alive {
		return "", jaywind.ErrLeaseExpired
	}
	if err := s.drop(); err != nil {
		return "", err
	}
	if s.entries == nil {
		s.entries = map[string]*entry{}
	}
	revision := jaywind.Revision(strconv.Quote(strconv.FormatUint(s.next(), 10)))
	s.entries[key] = &entry{value: append([]byte(nil), value...), revision: revision, lease: id}
	s.signal()
	return revision, s.lose()
}

// Delete removes the key if its revision is old.
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
	if err := s.drop(); err != nil {
		return err
	}
	delete(s.entries, key)
	s.signal()
	return s.lose()
}

// Held returns how many keys there are and the bytes of their values.
func (s *Store) Held() (keys, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for _, e := range s.entries {
		bytes += len(e.value)
	}
	return len(s.entries), bytes
}

// drop returns the error of a lost call while that fault is on; the caller holds mu.
func (s *Store) drop() error {
	if s.faults.Drop == 0 {
		return nil
	}
	s.faults.Drop--
	return fmt.Errorf("%w: call lost", jaywind.ErrOutcomeUnknown)
}

func (s *Store) next() uint64 {
	s.counter++
	return s.counter
}

// lose returns the error of a lost reply while that fault is on; the caller holds mu.
func (s *Store) lose() error {
	if s.faults.Lose == 0 {
		return nil
	}
	s.faults.Lose--
	return fmt.Errorf("%w: reply lost", jaywind.ErrOutcomeUnknown)
}

// Watch waits until the key's revision is other than old.
func (s *Store) Watch(ctx context.Context, key string, old jaywind.Revision) (jaywind.Entry, error) {
	if err := s.begin(ctx); err != nil {
		return jaywind.Entry{}, err
	}
	for {
		e, changed, lapse, err := s.look(key)
		waits := errors.Is(err, jaywind.ErrKeyNotFound) && old == ""
		if !waits && (err != nil || e.Revision != old) {
			return e, err
		}
		select {
		case <-changed:
		case <-time.After(lapse):
		case <-ctx.Done():
			return jaywind.Entry{}, fmt.Errorf("%w: %w", jaywind.ErrStoreUnavailable, ctx.Err())
		}
	}
}

// look returns the entry, what to wait on for a change, and how long until a lease may lapse.
func (s *Store) look(key string) (jaywind.Entry, <-chan struct{}, time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return jaywind.Entry{}, nil, 0, fmt.Errorf("%w: outage", jaywind.ErrStoreUnavailable)
	}
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	e, err := s.get(key)
	return e, s.changed, s.nextLapse(), err
}

const lapseCheck = time.Hour // between looks of a watch while no lease is open

// nextLapse returns how long the first lease to lapse still has; the caller holds mu.
func (s *Store) nextLapse() time.Duration {
	left := lapseCheck
	for _, l := range s.leases {
		left = min(left, time.Until(l.end))
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
	id := jaywind.LeaseID("lease" + strconv.FormatUint(s.next(), 10))
	s.leases[id] = &lease{ttl: ttl, end: time.Now().Add(ttl)}
	return id, s.lose()
}

// Renew prolongs a lease.
func (s *Store) Renew(ctx context.Context, id jaywind.LeaseID) error {
	if err := s.begin(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l, alive := s.leases[id]
	if !alive {
		return jaywind.ErrLeaseExpired
	}
	l.end = time.Now().Add(l.ttl)
	return s.lose()
}
