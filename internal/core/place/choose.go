package place

import (
	"github.com/cespare/xxhash/v2"

	"jaywind"
	"jaywind/internal/core/move"
	"jaywind/internal/core/rule"
	"jaywind/internal/core/table"
)

const (
	affinityPrefixBytes = 512  // length of the prompt prefix that selects an endpoint; shorter prompts have no affinity
	affinityLoadFactor  = 1.25 // load up to which the selected endpoint is used, as a multiple of the average
)

// chooseEndpoint returns the endpoint of the next attempt. Only the same endpoint can continue its own stream.
func chooseEndpoint(s *table.State, r *table.Request) (rule.Endpoint, result) {
	if s.Rules == nil {
		return rule.Endpoint{}, resultNoEndpoint
	}
	if r.ReuseStream {
		e, known := s.Rules.Endpoints[r.Endpoint]
		if !known {
			return e, resultNoEndpoint
		}
		return e, resultPlaced
	}
	version := versionFor(s, r)
	usable := candidates(s, r, RingOf(s, r.Model, version), version)
	if len(usable) == 0 {
		return rule.Endpoint{}, resultNoEndpoint
	}
	e, res := pickCandidate(s, r, usable)
	if res != resultPlaced {
		return rule.Endpoint{}, res
	}
	return s.Rules.Endpoints[e.ID], res
}

func versionFor(s *table.State, r *table.Request) jaywind.Version {
	if r.Pinned() {
		return r.Version
	}
	return move.VersionFor(s, r)
}

// candidates returns the endpoints of the window that may serve r. A window with none is widened, up to the whole ring.
// The new version of a move is first used on a few replicas, which are the same at all routers, so its whole ring is considered.
func candidates(s *table.State, r *table.Request, g *table.Ring, v jaywind.Version) []*table.Endpoint {
	if g == nil {
		return nil
	}
	var usable []*table.Endpoint
	size := g.Size
	moveTarget := isMoveTarget(s, r, v)
	if moveTarget {
		size = len(g.IDs)
	}
	for i := 0; i < size; i++ {
		if e := s.Endpoints[g.At(i)]; e != nil && !r.Avoid[e.ID] && accepts(s, e, v) && retryAllowed(s, r, e) {
			usable = append(usable, e)
		}
		if i == size-1 && len(usable) == 0 {
			size = min(2*size, len(g.IDs))
		}
	}
	if moveTarget {
		return limitToMove(s, r, usable)
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

// UsableFraction returns the fraction of the window's endpoints that accept new work of a model, those with a half-open breaker excluded.
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

// retryAllowed checks the endpoint's retry budget. First attempts and resumes are not limited by it.
func retryAllowed(s *table.State, r *table.Request, e *table.Endpoint) bool {
	return r.Tries == 0 || r.Pinned() || s.RetryBudgetFor(table.RetryKey{Endpoint: e.ID}).CanRetry()
}

// pickCandidate selects one of the usable endpoints by load and prompt affinity.
func pickCandidate(s *table.State, r *table.Request, usable []*table.Endpoint) (*table.Endpoint, result) {
	if r.Pinned() {
		return pickForResume(s, r, usable)
	}
	l := estimateLoads(s, usable)
	if e := affinityTarget(l, r, usable); e != nil {
		return e, resultPlaced
	}
	a := usable[s.Random.IntN(len(usable))]
	b := usable[s.Random.IntN(len(usable))]
	if l.estimate(b) < l.estimate(a) {
		a = b
	}
	return a, resultPlaced
}

// affinityTarget returns the first endpoint below the affinity limit, in the order that
// rendezvous hashing of the prompt's prefix gives; nil for a short prompt. All routers fall back to
// the same next endpoint, so that few engines compute the same prefix.
func affinityTarget(l loadEstimates, r *table.Request, usable []*table.Endpoint) *table.Endpoint {
	if len(r.Prompt) < affinityPrefixBytes {
		return nil
	}
	key := xxhash.Sum64String(r.Prompt[:affinityPrefixBytes])
	var best *table.Endpoint
	var high uint64
	for _, e := range usable {
		if !l.belowAffinityLimit(e) {
			continue
		}
		if h := mixHash(key ^ endpointHash(e.ID)); best == nil || h > high {
			best, high = e, h
		}
	}
	return best
}

// mixHash is the 64-bit finalizer of MurmurHash3. It restores avalanche to hashes combined by XOR.
func mixHash(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// pickForResume returns the endpoint with the fewest tokens left to prefill, or resultThrottled while even that one has too many.
// An endpoint without prefills takes a resume of any length.
func pickForResume(s *table.State, r *table.Request, usable []*table.Endpoint) (*table.Endpoint, result) {
	l := estimateLoads(s, usable)
	best := usable[0]
	for _, e := range usable[1:] {
		if lessPrefill(s, l, e, best) {
			best = e
		}
	}
	pending, own := best.PendingPrefill(s.Now), float64(r.PrefillTokens())
	if pending > 0 && pending+own > maxPrefillDelay.Seconds()*table.PrefillRate {
		return nil, resultThrottled
	}
	return best, resultPlaced
}

// lessPrefill compares endpoints by tokens left to prefill, and by load where these are equal.
func lessPrefill(s *table.State, l loadEstimates, a, b *table.Endpoint) bool {
	x, y := a.PendingPrefill(s.Now), b.PendingPrefill(s.Now)
	if x != y {
		return x < y
	}
	return l.estimate(a) < l.estimate(b)
}
