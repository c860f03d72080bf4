package suspect

import (
	"context"
	"maps"
	"time"

	"jaywind"
	"jaywind/internal/core/suspect"
)

const (
	probeDelay        = time.Second     // from a quarantine to the request that may lift it; longer than the crash lasts
	requestProbeDelay = time.Minute     // the same as probeDelay for a whole request, each probe of which is likely to cost an engine
	confirmInterval   = 5 * time.Second // after which the first collector is asked again about a quarantine
)

// assignProbes lets this router probe the quarantined groups for which it is the first collector, and no others. As members come and go, another
// router takes over, so that a quarantine does not outlast its cause for want of the router that decided on it. It returns after which time to
// call it again, or 0 if nothing is quarantined.
func (d *Detector) assignProbes(ctx context.Context) (again time.Duration) {
	for _, g := range d.Router.QuarantinesInForce() {
		again = confirmInterval
		others, first := d.Collectors(string(g.Service), 1)
		switch {
		case !first:
			d.Router.EndProbes(g)
			d.confirm(ctx, g, others)
		case g.IsRequest():
			d.Router.AllowProbe(g, requestProbeDelay)
		default:
			d.Router.AllowProbe(g, probeDelay)
		}
	}
	return again
}

// confirm tells the first collector of a group's service that the group is quarantined here, so that it probes it, and ends the quarantine if
// it was lifted there. Routers may have learnt of it from a store that has missed the end.
func (d *Detector) confirm(ctx context.Context, g suspect.Group, collectors []jaywind.Address) {
	d.mu.Lock()
	due := time.Since(d.confirmed[g.Key()]) >= confirmInterval
	d.mu.Unlock()
	if !due || len(collectors) == 0 {
		return
	}
	msg := encodeGroup(g, false)
	answer, err := send[group, groupResponse](ctx, d, collectors[0], quarantinePath, &msg)
	if err != nil {
		return
	}
	if answer.Lifted {
		d.Learn(g, true)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	maps.DeleteFunc(d.confirmed, func(_ string, at time.Time) bool { return time.Since(at) > 2*confirmInterval })
	d.confirmed[g.Key()] = time.Now()
}
