// Package fleet runs a complete system on loopback in one process: a store, engines,
// endpoints of a service and routers. All but the store have a port of their own and
// can be killed.
//
//	f := &fleet.Fleet{Engines: 3, Routers: 3, TokenInterval: 10 * time.Millisecond}
//	defer f.Close()
//	if err := f.Start(ctx); err != nil {
//		return err
//	}
//	client := &router.Client{Entries: f.CallerAddresses()}
package fleet
