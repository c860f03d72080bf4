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
	leaseKey   = "leader"
	fenceKey   = "leader.fence"
	leaseTime  = 12 * time.Second
	renewAfter = leaseTime / 3
	orderLimit = 3 * time.Second // the longest order
	fenceTries = 5
)

// lease is what a holder knows of its lease; the zero value is not held.
type lease struct {
	id       jaywind.LeaseID
	until    time.Time // by this router's monotonic clock, counted from before the call
	renewed  time.Time
	fence    jaywind.Fence
	unfenced time.Time // when the former holder can have no order under way any more
}

// covers tells whether an order that starts now ends within the lease.
func (l lease) covers(now time.Time) bool {
	return l.id != "" && now.Add(orderLimit).Before(l.until)
}

// acquire takes the lease if nobody holds it, or returns jaywind.ErrConflict.
func acquire(ctx context.Context, s jaywind.Store, c jaywind.Clock, self jaywind.VM) (lease, error) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	if _, err := s.Get(ctx, leaseKey); !errors.Is(err, jaywind.ErrKeyNotFound) {
		return lease{}, heldBy(err)
	}
	began := c.Now()
	id, err := s.Grant(ctx, leaseTime)
	if err != nil {
		return lease{}, err
	}
	name := string(self) + " " + string(id)
	_, err = s.SwapLeased(ctx, leaseKey, []byte(name), "", id)
	if errors.Is(err, jaywind.ErrOutcomeUnknown) {
		err = readBack(ctx, s, name)
	}
	if err != nil {
		return lease{}, err
	}
	fence, err := raise(ctx, s)
	if err != nil {
		return lease{}, err
	}
	l := lease{id: id, until: began.Add(leaseTime), renewed: began, fence: fence}
	l.unfenced = c.Now().Add(leaseTime + orderLimit)
	return l, nil
}

func heldBy(err error) error {
	if err == nil {
		return fmt.Errorf("%w: the lease is held", jaywind.ErrRevisionConflict)
	}
	return err
}

// readBack resolves a lost reply.
func readBack(ctx context.Context, s jaywind.Store, name string) error {
	e, err := s.Get(ctx, leaseKey)
	if err != nil {
		return err
	}
	if string(e.Value) != name {
		return fmt.Errorf("%w: the lease is held", jaywind.ErrRevisionConflict)
	}
	return nil
}

// raise takes the next fencing number; after a lost reply a number may stay unused.
func raise(ctx context.Context, s jaywind.Store) (jaywind.Fence, error) {
	var last error
	for range fenceTries {
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

// renew prolongs the lease; what it returns is not held any more if that is certain.
func renew(ctx context.Context, s jaywind.Store, c jaywind.Clock, l lease) (lease, error) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	began := c.Now()
	err := s.Renew(ctx, l.id)
	if errors.Is(err, jaywind.ErrLeaseExpired) {
		return lease{}, err
	}
	if err != nil {
		return l, err
	}
	l.until = began.Add(leaseTime)
	l.renewed = began
	return l, nil
}
