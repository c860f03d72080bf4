package jaywind

import "context"

// ListedVM is an entry of the platform's VM list, which lags behind.
type ListedVM struct {
	VM      VM
	Domain  Domain
	Fleet   Address // where its router listens for other routers
	Entry   Address // where its router listens for callers
	Leaving bool
}

// VMList is a client of the platform's VM list.
type VMList interface {
	// List returns the VMs in the state last known to the platform.
	List(ctx context.Context) ([]ListedVM, error)
}

// WeightStore is a client of the rate-limited weight store.
type WeightStore interface {
	// Reserve requests permission to load a version and returns ErrBusy if the rate limit is exhausted.
	Reserve(ctx context.Context, m Model, v Version) error
}
