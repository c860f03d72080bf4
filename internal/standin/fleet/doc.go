// Package fleet runs a whole system on loopback in one process: a store, engines
// and routers, each behind a port of its own and each able to be killed.
//
//	f := &fleet.Fleet{Engines: 3, Routers: 3, Gap: 10 * time.Millisecond}
//	defer f.Close()
//	if err := f.Start(ctx); err != nil {
//		return err
//	}
//	client := &router.Client{Entries: f.Entries()}
package fleet
