package place

import (
	"github.com/cespare/xxhash/v2"

	"jaywind"
	"jaywind/internal/core/move"
	"jaywind/internal/core/rule"
	"jaywind/internal/core/table"
)

const (
	affinityPrefix = 512  // bytes of a prompt that bind it to an endpoint
	affinityBound  = 1.25 // load of that endpoint as a multiple of the average
)

// choose returns the endpoint of the next attempt.
func choose(s *table.State, r *table.Request) (rule.Endpoint, verdict) {
	if s.Rules == nil {
		return rule.Endpoint{}, verdictNone
	}
	if r.ReuseStream {
		e, known := s.Rules.Endpoints[r.Endpoint]
		if !known {
			return e, verdictNone
		}
		return e, verdictFound
	}
	version := versionOf(s, r)
	usable := candidates(s, r, RingOf(s, r.Model, version), version)
	if len(usable) == 0 {
		return rule.Endpoint{}, verdictNone
	}
	e, v := pick(s, r, usable)
	if v != verdictFound {
		return rule.Endpoint{}, v
	}
	return s.Rules.Endpoints[e.ID], v
}

func versionOf(s *table.State, r *table.Request) jaywind.Version {
	if r.Pinned() {
		return r.Version
	}
	return move.VersionFor(s, r)
}

// candidates returns the endpoints of the window that may serve r; an empty window is widened.
// The new version of a move is watched on few replicas, the same at all routers, so its whole ring is used.
func candidates(s *table.State, r *table.Request, g *table.Ring, v jaywind.Version) []*table.Endpoint {
	if g == nil {
		return nil
	}
	var usable []*table.Endpoint
	size := g.Size
	fresh := moving(s, r, v)
	if fresh {
		size = len(g.IDs)
	}
	for i := 0; i < size; i++ {
		if e := s.Endpoints[g.At(i)]; e != nil && !r.Avoid[e.ID] && accepts(s, e, v) && mayTry(s, r, e) {
			usable = append(usable, e)
		}
		if i == size-1 && len(usable) == 0 {
			size = min(2*size, len(g.IDs))
		}
	}
	if fresh {
		return narrow(s, r, usable)
	}
	return usable
}

// accepts tells whether an endpoint may receive new work of a version.
func accepts(s *table.State, e *table.Endpoint, v jaywind.Version) bool {
	if _, drained := s.Rules.Drains[e.ID]; drained {
		return false
	}
	return e.Accepts(v, s.Now)
}

// UsableFraction returns the share of a window's endpoints that accept new work of a model.
func UsableFraction(s *table.State, m jaywind.Model) float64 {
	v := s.Rules.Models[m].Version
	g := RingOf(s, m, v)
	if g == nil {
		return 0
	}
	n := 0
	for i := range g.Size {
		if e := s.Endpoints[g.At(i)]; e != nil && accepts(s, e, v) && e.Healthy(v, s.Now) {
			n++
		}
	}
	return float64(n) / float64(g.Size)
}

// mayTry keeps retries of work without tokens within the endpoint's budget.
func mayTry(s *table.State, r *table.Request, e *table.Endpoint) bool {
	return r.Tries == 0 || r.Pinned() || s.RetryBudgetFor(table.RetryKey{Endpoint: e.ID}).CanRetry()
}

func pick(s *table.State, r *table.Request, usable []*table.Endpoint) (*table.Endpoint, verdict) {
	if r.Pinned() {
		return pickForResume(s, r, usable)
	}
	l := loadsOf(s, usable)
	if e := bound(l, r, usable); e != nil {
		return e, verdictFound
	}
	a := usable[s.Random.IntN(len(usable))]
	b := usable[s.Random.IntN(len(usable))]
	if l.of(b) < l.of(a) {
		a = b
	}
	return a, verdictFound
}

// bound returns the first endpoint with little more than the average load in the order that
// the start of a long prompt gives to all, by rendezvous hashing. All routers go on to the
// same next one, so that few engines compute the same start.
func bound(l loads, r *table.Request, usable []*table.Endpoint) *table.Endpoint {
	if len(r.Prompt) < affinityPrefix {
		return nil
	}
	key := xxhash.Sum64String(r.Prompt[:affinityPrefix])
	var best *table.Endpoint
	var high uint64
	for _, e := range usable {
		if !l.fits(e) {
			continue
		}
		if h := mix(key ^ scoreOf(e.ID)); best == nil || h > high {
			best, high = e, h
		}
	}
	return best
}

// mix spreads the bits of a combined hash.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// pickForResume spreads prefixes by the prefills before them and holds them back while there are too many.
func pickForResume(s *table.State, r *table.Request, usable []*table.Endpoint) (*table.Endpoint, verdict) {
	l := loadsOf(s, usable)
	best := usable[0]
	for _, e := range usable[1:] {
		if prefillOrder(s, l, e, best) {
			best = e
		}
	}
	before, own := best.PendingPrefill(s.Now), float64(r.PrefillTokens())
	if before > 0 && before+own > paceLimit.Seconds()*table.PrefillRate {
		return nil, verdictPaced
	}
	return best, verdictFound
}

func prefillOrder(s *table.State, l loads, a, b *table.Endpoint) bool {
	x, y := a.PendingPrefill(s.Now), b.PendingPrefill(s.Now)
	if x != y {
		return x < y
	}
	return l.of(a) < l.of(b)
}
