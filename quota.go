package jaywind

import "context"

// Demand is the rate of an organisation's requests at one router.
type Demand struct {
	Organisation Organisation
	Rate         float64 // requests per second, including refused ones
}

// DemandExchanger exchanges demands with the other home routers of organisations, which share their limits.
type DemandExchanger interface {
	// ExchangeDemands sends the demands at the router from and returns those at the receiver, within ctx's deadline.
	ExchangeDemands(ctx context.Context, at Address, from VM, demands []Demand) ([]Demand, error)
}
