package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"jaywind/platform/standin"
)

const (
	linkContactTime = 3 * time.Second // after the beginning of a cut, from which callers are served as well as elsewhere
	linkCutTime     = 4 * time.Second // for which a cut lasts after that, besides the duration of the fault
	linkShare       = 2.0 / 3         // of the share of first tries that the other routers serve
	linkSpare       = 10              // first tries that may fail besides one in linkFailures
	linkFailures    = 50
)

// linkCut is a time in which the links of some routers to all replicas were cut.
type linkCut struct {
	span
	routers []*router
}

// cutLinks cuts one router, or most of them, from all replicas. It does nothing during another cut, as no router might be left then that
// reaches the replicas.
func (n *injector) cutLinks(ctx context.Context, s Fault) {
	if !n.linkLock.TryLock() {
		return
	}
	defer n.linkLock.Unlock()
	f := n.fleet
	count := 1
	which, cut, _ := strings.Cut(s.Variant, " ")
	if which == "most" {
		count = len(f.routers) * 2 / 3
	}
	c := linkCut{span: span{from: time.Now()}}
	for i := range count {
		r := f.routers[(s.Target+i)%len(f.routers)]
		n.logRefused(cut, standin.SetLinks(r.linksAddress, cut)) // refused by a router that is down
		c.routers = append(c.routers, r)
	}
	defer f.addLinkCut(c)()
	s.Duration += linkContactTime + linkCutTime
	waitFault(ctx, s)
	for _, r := range c.routers {
		n.logRefused("none", standin.SetLinks(r.linksAddress, "none"))
	}
}

// addLinkCut records a cut from now until the returned function is called.
func (f *fleet) addLinkCut(c linkCut) (end func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := len(f.linkCuts)
	f.linkCuts = append(f.linkCuts, c)
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.linkCuts[i].until = time.Now()
	}
}

// linksWereCut reports whether a router was cut from all replicas between from and until.
func (f *fleet) linksWereCut(r *router, from, until time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(f.linkCuts, func(c linkCut) bool {
		return slices.Contains(c.routers, r) && c.overlaps(from, until, schedulingSlack)
	})
}

// reachesReplicas reports whether a router was able to reach the replicas between from and until, over its own links or through a router that had
// been undisturbed for a while.
func (f *fleet) reachesReplicas(r *router, from, until time.Time) bool {
	if !f.linksWereCut(r, from, until) {
		return true
	}
	return slices.ContainsFunc(f.routers, func(o *router) bool {
		return o != r && !o.disturbed(from, until, recoveryMargin) && !f.linksWereCut(o, from, until)
	})
}

// checkReach checks for each cut that the first tries of callers at the routers that were cut off are served as well as those at the
// others, from linkContactTime on; the caller holds mu.
func (r *checker) checkReach() {
	for _, c := range r.fleet.linkCuts {
		from := c.from.Add(linkContactTime)
		served, all := map[bool]int{}, map[bool]int{} // by whether their router was cut off
		for _, a := range r.attempts {
			if a.sentAt.Before(from) || !a.sentAt.Before(c.until) || a.part != "" || a.deadly != "" ||
				!r.fleet.undisturbed(a.router, a.sentAt, a.endedAt) || !r.fleet.reachesReplicas(a.router, a.sentAt, a.endedAt) {
				continue
			}
			cut := slices.Contains(c.routers, a.router)
			all[cut]++
			if a.status == http.StatusOK && !a.truncated() {
				served[cut]++
			}
		}
		failed := all[true] - served[true]
		_, _ = fmt.Fprintf(r.out, "links cut at %d routers: %d of %d first tries served there, %d of %d at the others\n", len(c.routers), served[true], all[true], served[false], all[false])
		if float64(served[true])*float64(all[false]) < linkShare*float64(served[false])*float64(all[true]) && failed > linkSpare+all[true]/linkFailures {
			r.violations = append(r.violations, Violation{"reach", "", fmt.Sprintf("%d of %d first tries served at routers whose links were cut, %d of %d at the others", served[true], all[true], served[false], all[false])})
		}
	}
}
