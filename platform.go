package jaywind

import "context"

// Machine is one row of the platform's VM list, which lags behind.
type Machine struct {
	VM      VM
	Domain  Domain
	Fleet   Address // where its router listens for other routers
	Entry   Address // where its router listens for callers
	Leaving bool
}

// Directory speaks to the platform's VM list.
type Directory interface {
	// List returns the VMs as the platform last saw them.
	List(ctx context.Context) ([]Machine, error)
}

// Weights speaks to the rate-limited weight store.
type Weights interface {
	// Reserve asks for the turn to load a version and returns ErrBusy when the rate is spent.
	Reserve(ctx context.Context, m Model, v Version) error
}
