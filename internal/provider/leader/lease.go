package leader

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"jaywind"
)

const (
	leaseKey         = "leader"
	fenceKey         = "leader.fence"
	leaseTTL         = 12 * time.Second
	renewAfter       = leaseTTL / 3
	orderTimeout     = 3 * time.Second // for sending one order
	maxFenceAttempts = 5
)

// lease is the holder's view of its lease; the zero value is not held.
type lease struct {
	id           jaywind.LeaseID
	expiresAt    time.Time // on this router's monotonic clock, counted from before the call that granted or renewed it
	renewedAt    time.Time
	fence        jaywind.Fence
	unfencedFrom time.Time // when orders to endpoints that ignore fencing may start: no former holder's order is in progress
}

// covers reports whether an order that starts now ends within the lease.
func (l lease) covers(now time.Time) bool {
	return l.id != "" && now.Add(orderTimeout).Before(l.expiresAt)
}

// acquire takes the lease if nobody holds it; otherwise it returns jaywind.ErrRevisionConflict.
func acquire(ctx context.Context, s jaywind.Store, c jaywind.Clock, self jaywind.VM) (lease, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if _, err := s.Get(ctx, leaseKey); !errors.Is(err, jaywind.ErrKeyNotFound) {
		return lease{}, errIfHeld(err)
	}
	began := c.Now()
	id, err := s.Grant(ctx, leaseTTL)
	if err != nil {
		return lease{}, err
	}
	name := string(self) + " " + string(id)
	_, err = s.SwapLeased(ctx, leaseKey, []byte(name), "", id)
	if errors.Is(err, jaywind.ErrOutcomeUnknown) {
		err = confirmHolder(ctx, s, name)
	}
	if err != nil {
		return lease{}, err
	}
	fence, err := nextFence(ctx, s)
	if err != nil {
		return lease{}, err
	}
	l := lease{id: id, expiresAt: began.Add(leaseTTL), renewedAt: began, fence: fence}
	l.unfencedFrom = c.Now().Add(leaseTTL + orderTimeout)
	return l, nil
}

// errIfHeld returns the error of acquire after reading the lease key returned err; a nil err means that the key exists.
func errIfHeld(err error) error {
	if err == nil {
		return fmt.Errorf("%w: the lease is held", jaywind.ErrRevisionConflict)
	}
	return err
}

// confirmHolder reads the lease back after a lost reply, and returns nil if name holds it.
func confirmHolder(ctx context.Context, s jaywind.Store, name string) error {
	e, err := s.Get(ctx, leaseKey)
	if err != nil {
		return err
	}
	if string(e.Value) != name {
		return fmt.Errorf("%w: the lease is held", jaywind.ErrRevisionConflict)
	}
	return nil
}

// nextFence increments the fencing number and returns it; after a lost reply a number may remain unused.
func nextFence(ctx context.Context, s jaywind.Store) (jaywind.Fence, error) {
	var last error
	for range maxFenceAttempts {
		e, err := s.Get(ctx, fenceKey)
		if err != nil && !errors.Is(err, jaywind.ErrKeyNotFound) {
			return 0, err
		}
		number, err := parseFence(e.Value)
		if err != nil {
			return 0, err
		}
		number++
		_, last = s.Swap(ctx, fenceKey, strconv.AppendUint(nil, number, 10), e.Revision)
		if last == nil {
			return jaywind.Fence(number), nil
		}
		if !errors.Is(last, jaywind.ErrRevisionConflict) && !errors.Is(last, jaywind.ErrOutcomeUnknown) {
			return 0, last
		}
	}
	return 0, last
}

func parseFence(value []byte) (uint64, error) {
	if len(value) == 0 {
		return 0, nil
	}
	number, err := strconv.ParseUint(string(value), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("value of %q: %w", fenceKey, err)
	}
	return number, nil
}

// renew extends the lease. The returned lease is the zero value only if the store says that it has expired.
func renew(ctx context.Context, s jaywind.Store, c jaywind.Clock, l lease) (lease, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	began := c.Now()
	err := s.Renew(ctx, l.id)
	if errors.Is(err, jaywind.ErrLeaseExpired) {
		return lease{}, err
	}
	if err != nil {
		return l, err
	}
	l.expiresAt = began.Add(leaseTTL)
	l.renewedAt = began
	return l, nil
}
