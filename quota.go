package jaywind

import "context"

// Demand is how much an organisation's callers ask of one router.
type Demand struct {
	Organisation Organisation
	Rate         float64 // requests a second, refused ones included
}

// Quota speaks to the other home routers of organisations about their limits.
type Quota interface {
	// Tell hands over the demands at the router from and returns the receiver's, within ctx's deadline.
	Tell(ctx context.Context, at Address, from VM, demands []Demand) ([]Demand, error)
}
