package jaywind

import (
	"context"
	"errors"
	"time"
)

// ErrAbsent is returned for a key that has no value.
var ErrAbsent = errors.New("key is absent")

// ErrConflict is returned when a swap's expected revision is not the current one.
var ErrConflict = errors.New("revision does not match")

// ErrUnknown wraps a failure of a write that may have taken effect.
var ErrUnknown = errors.New("outcome unknown")

// ErrUnavailable wraps a failure of the store to answer in time.
var ErrUnavailable = errors.New("store unavailable")

// ErrTooLarge is returned for a value of more than MaxValue bytes, which is not written.
var ErrTooLarge = errors.New("value is too large")

// ErrLapsed is returned when a lease's time ran out before it was renewed.
var ErrLapsed = errors.New("lease lapsed")

// Revision is the store's opaque mark of one write of a key; empty means absent.
type Revision string

// Entry is a value of the store with its revision.
type Entry struct {
	Key      string
	Value    []byte // at most MaxValue bytes
	Revision Revision
}

// MaxValue is the largest value that the store takes, in bytes.
const MaxValue = 1 << 20

// LeaseID identifies a lease of the store.
type LeaseID string

// Store speaks to the platform's key-value service.
type Store interface {
	// Get returns the entry, ErrAbsent, or an error that wraps ErrUnavailable.
	Get(ctx context.Context, key string) (Entry, error)
	// Swap writes value if the key's revision is old ("" for absent); errors are ErrConflict, ErrTooLarge, ErrUnavailable (not written) or ErrUnknown.
	Swap(ctx context.Context, key string, value []byte, old Revision) (Revision, error)
	// Delete removes the key if its revision is old; errors are ErrAbsent, ErrConflict, ErrUnavailable (not deleted) or ErrUnknown, which a read settles.
	Delete(ctx context.Context, key string, old Revision) error
	// Watch waits until the key's revision is other than old and returns the entry, or ErrAbsent once it is deleted.
	Watch(ctx context.Context, key string, old Revision) (Entry, error)
	// Grant opens a lease that lapses after ttl unless it is renewed.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew prolongs a lease by its time to live, or returns ErrLapsed.
	Renew(ctx context.Context, id LeaseID) error
	// SwapLeased is Swap for a value that is deleted when the lease lapses.
	SwapLeased(ctx context.Context, key string, value []byte, old Revision, id LeaseID) (Revision, error)
}
