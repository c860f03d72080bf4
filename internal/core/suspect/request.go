package suspect

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"jaywind"
)

const (
	domainCrashTime = time.Second           // within which the engines of a failure domain end that fails
	orderSlack      = 20 * time.Millisecond // by which the times of losses at two routers may be wrong
	minShared       = 5                     // ends that show a request to be the cause although others were lost with each engine
	maxSuspects     = 64                    // requests and parts of a service that are looked at together
)

// ends are the engines that ended under runs of one request.
type ends struct {
	request partKey
	engines map[jaywind.EndpointRef]datedLoss // the first loss of the request at each
	own     map[jaywind.PromptPart]bool       // all parts of the request
}

// count returns the number of ends. Those in one failure domain at about the same time count once, as the domain may have failed, but an
// engine that was started in place of one that had ended counts for itself.
func (e ends) count() int {
	n, last, newest := 0, map[jaywind.Domain]time.Time{}, map[jaywind.Address]int64{}
	for _, l := range e.inOrder() {
		at, known := last[l.Domain]
		ended, restarted := newest[l.Engine.Address]
		restarted = restarted && l.Engine.Incarnation > ended
		if !known || restarted || l.LostAt.Sub(at) > domainCrashTime {
			n++
			last[l.Domain] = l.LostAt
		}
		newest[l.Engine.Address] = max(ended, l.Engine.Incarnation)
	}
	return n
}

// inSequence reports whether a run began after another one had ended its engine. Otherwise all engines may have failed at once.
func (e ends) inSequence() bool {
	all := e.inOrder()
	return slices.ContainsFunc(all, func(l datedLoss) bool { return l.LostAt.Add(-l.Ran).After(all[0].LostAt.Add(-orderSlack)) })
}

// inOrder returns the first loss at each engine in the order of time.
func (e ends) inOrder() []datedLoss {
	return slices.SortedFunc(maps.Values(e.engines), func(a, b datedLoss) int { return a.LostAt.Compare(b.LostAt) })
}

// explained returns the engines that are left out: those that ended under requests which are known to crash engines, and unsettled ones.
func (f *Finder) explained(now time.Time) (engines map[jaywind.EndpointRef]bool, again time.Duration) {
	engines, again = f.unsettled(now)
	lost := map[partKey]bool{}
	for _, l := range f.losses {
		if k := (partKey{l.Service, l.Request}); f.reported[k] {
			engines[l.Engine], lost[k] = true, true
		}
	}
	f.reported = lost
	return engines, again
}

// requestEnds returns the ends under each request, without those at explained engines.
func (f *Finder) requestEnds(explained map[jaywind.EndpointRef]bool) map[partKey]ends {
	all := map[partKey]ends{}
	for _, l := range f.losses {
		if !l.Ended || l.Request == "" || explained[l.Engine] {
			continue
		}
		k := partKey{l.Service, l.Request}
		e, known := all[k]
		if !known {
			e = ends{k, map[jaywind.EndpointRef]datedLoss{}, map[jaywind.PromptPart]bool{}}
			all[k] = e
		}
		if _, known := e.engines[l.Engine]; !known {
			e.engines[l.Engine] = l
		}
		for _, p := range l.Parts() {
			e.own[p] = true
		}
	}
	return all
}

// SuspectRequests returns the requests under which enough engines ended, and the requests and parts that were lost with these, by their
// services. It also returns after which time to look again, because losses may still come; 0 if there is no need to.
func (f *Finder) SuspectRequests(now time.Time) (found map[jaywind.ServiceName][]jaywind.PromptPart, again time.Duration) {
	f.expire(now)
	found = map[jaywind.ServiceName][]jaywind.PromptPart{}
	explained, again := f.explained(now)
	for k, e := range f.requestEnds(explained) {
		if e.count() < minEngines {
			continue
		}
		for _, p := range append(f.rivals(e), k.part) {
			if !slices.Contains(found[k.service], p) && len(found[k.service]) < maxSuspects {
				found[k.service] = append(found[k.service], p)
			}
		}
	}
	return found, again
}

// rivals returns the other requests, and the parts that a request does not have, that were lost with one of its engines.
func (f *Finder) rivals(e ends) []jaywind.PromptPart {
	seen := map[jaywind.PromptPart]bool{}
	var all []jaywind.PromptPart
	for _, l := range f.losses {
		if _, shared := e.engines[l.Engine]; !shared || l.Service != e.request.service {
			continue
		}
		for _, p := range l.Parts() {
			if p != "" && !e.own[p] && !seen[p] {
				seen[p] = true
				all = append(all, p)
			}
		}
	}
	return all
}

// Requests returns the requests that crash engines, each once. Another request, or a shared part that it does not have, must not explain as many of
// the ends under it. Call Clear before with what is sound among SuspectRequests, as victims of the same crashes may have survived since.
func (f *Finder) Requests(now time.Time) (found []Group) {
	f.expire(now)
	for {
		explained, _ := f.explained(now)
		all := f.requestEnds(explained)
		parts := f.records(explained)
		var best *ends
		for _, e := range all {
			if !f.isCause(e, all, parts) {
				continue
			}
			if best == nil || cmp.Or(cmp.Compare(e.count(), best.count()), -compareKeys(e.request, best.request)) > 0 {
				best = &e
			}
		}
		if best == nil {
			return found
		}
		found = append(found, Group{Service: best.request.service, Parts: []jaywind.PromptPart{best.request.part}})
		f.reported[best.request] = true
	}
}

// isCause reports whether nothing else explains the ends under a request as well.
func (f *Finder) isCause(e ends, all map[partKey]ends, parts map[partKey]record) bool {
	n, rival := e.count(), 0
	if n < minEngines || !e.inSequence() {
		return false
	}
	for _, p := range f.rivals(e) {
		k := partKey{e.request.service, p}
		rival = max(rival, len(parts[k].engines), all[k].count())
	}
	return n >= rival && f.lostAlone(e) || n >= minShared && n > rival
}

// lostAlone reports whether one of a request's engines ended without anything else that could explain it.
func (f *Finder) lostAlone(e ends) bool {
	others := map[jaywind.EndpointRef]bool{}
	for _, l := range f.losses {
		if slices.ContainsFunc(l.Parts(), func(p jaywind.PromptPart) bool { return p != "" && !e.own[p] }) {
			others[l.Engine] = true
		}
	}
	for engine := range e.engines {
		if !others[engine] {
			return true
		}
	}
	return false
}
