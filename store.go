package jaywind

import (
	"context"
	"errors"
	"time"
)

// ErrKeyNotFound is returned for a key without a value.
var ErrKeyNotFound = errors.New("key is absent")

// ErrRevisionConflict is returned if the expected revision is not the current one.
var ErrRevisionConflict = errors.New("revision does not match")

// ErrOutcomeUnknown is wrapped by errors of writes that may have taken effect.
var ErrOutcomeUnknown = errors.New("outcome unknown")

// ErrStoreUnavailable is wrapped by errors that say that the store did not answer in time.
var ErrStoreUnavailable = errors.New("store unavailable")

// ErrValueTooLarge is returned for a value of more than MaxValue bytes, which is not written.
var ErrValueTooLarge = errors.New("value is too large")

// ErrLeaseExpired is returned if a lease expired before it was renewed.
var ErrLeaseExpired = errors.New("lease lapsed")

// Revision is the store's opaque id of a write of a key; empty if the key is absent.
type Revision string

// Entry is a key of the store with its value and revision.
type Entry struct {
	Key      string
	Value    []byte // at most MaxValue bytes
	Revision Revision
}

// MaxValue is the size of the largest value that the store accepts, in bytes.
const MaxValue = 1 << 20

// LeaseID identifies a lease of the store.
type LeaseID string

// Era counts the times that the service was restored from an older copy.
type Era int64

// Store is a client of the platform's key-value service.
type Store interface {
	// Get returns the entry, ErrKeyNotFound, or an error that wraps ErrStoreUnavailable.
	Get(ctx context.Context, key string) (Entry, error)
	// Swap writes value if the key's revision is old ("" for absent); errors are ErrRevisionConflict, ErrValueTooLarge,
	// ErrStoreUnavailable (not written) or ErrOutcomeUnknown.
	Swap(ctx context.Context, key string, value []byte, old Revision) (Revision, error)
	// Delete removes the key if its revision is old; errors are ErrKeyNotFound, ErrRevisionConflict, ErrStoreUnavailable (not
	// deleted) or ErrOutcomeUnknown, after which a read tells whether it was deleted.
	Delete(ctx context.Context, key string, old Revision) error
	// Watch waits until the key's revision differs from old and returns the entry, or ErrKeyNotFound once it is deleted.
	Watch(ctx context.Context, key string, old Revision) (Entry, error)
	// Grant creates a lease that expires after ttl unless it is renewed.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends a lease by its time to live, or returns ErrLeaseExpired.
	Renew(ctx context.Context, id LeaseID) error
	// Era returns how many times the service has been restored from an older copy, as far as its answers have told. Revisions of
	// an earlier era may stand for other values now.
	Era() Era
	// SwapLeased is Swap for a value that is deleted when the lease expires.
	SwapLeased(ctx context.Context, key string, value []byte, old Revision, id LeaseID) (Revision, error)
}
