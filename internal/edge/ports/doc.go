// Package ports assembles a router from its settings and serves its three ports,
// one each for callers, operators and other routers.
//
//	d := &ports.Daemon{Settings: s, Log: log}
//	if err := d.Listen(); err != nil {
//		return err
//	}
//	return d.Run(ctx) // until ctx ends and all work is finished
package ports
