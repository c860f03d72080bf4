// Package schedule lets all routers share the engines of a service through one scheduler.
//
// The owner of a service among the routers, by rendezvous hashing over the members, holds the scheduler. The deputy, which is the next
// one, holds another one and answers while the owner does not. Routers report their runs to both and ask for an engine before each run:
//
//	c := &schedule.Client{HTTP: client, Self: address, VM: vm, Owners: owners, Routers: count, Router: router, Log: log, Metrics: registry}
//	c.Handle(mux)
//	group.Go(func() { c.Run(ctx) })
//
//	d, err := c.Ask(ctx, "chat", request)
//	switch {
//	case errors.Is(err, schedule.ErrNoOwner): // the router chooses by itself
//	case err != nil: // ctx has ended
//	case d.Outcome == core.Granted: // start the run at d.Endpoint
//		c.Wake("chat")
//	default: // refused; d.RetryAfter says when to come back
//	}
//
// Messages carry ages and durations, never times, as the clocks of VMs differ.
package schedule
