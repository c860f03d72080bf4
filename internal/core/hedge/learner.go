package hedge

import (
	"math"
	"slices"
	"time"

	"jaywind"
)

const (
	// Quantile is the share of the answers that arrive before a hedge is sent. It bounds the extra work in usual operation to 5 %.
	Quantile = 0.95

	maxSamples     = 128                    // per key; 5 KB. At 25 answers per second they span recentTime
	recentTime     = 5 * time.Second        // all samples of this age count, so that the delay follows a change within seconds
	recentSamples  = 40                     // the newest ones count beyond recentTime, as a service with 1 to 4 calls per second needs them
	maxSampleAge   = 30 * time.Second       // a router with one call per second collects minSamples in this time
	minSamples     = 20                     // the fewest for which the 95th percentile is not the longest of them
	minEndpointHas = 3                      // samples of an endpoint before its median is used; a single pause does not make it slow
	slowFactor     = 2                      // of the median endpoint; below the factors of 2.5 and 8 seen on slow plain servers (docs/HARDLOAD.md)
	refreshTime    = 100 * time.Millisecond // between two computations; bounds their cost to 10 per second and key
	maxKeys        = 256                    // routes and services with samples; 1.3 MB at most
)

// Key names the requests whose answer times are comparable.
type Key struct {
	Route   jaywind.Route
	Service jaywind.ServiceName
}

// Learner learns the 95th percentile of recent answer times. The zero value has no samples.
type Learner struct {
	rows map[Key]*history
}

// history is a ring of the newest samples of a key, and what was computed from them.
type history struct {
	samples []sample // at most maxSamples
	next    int      // index of the oldest sample once the ring is full
	newest  time.Time

	computedAt time.Time
	delay      time.Duration // 0 if there are too few samples
	slow       map[jaywind.EndpointID]bool
}

type sample struct {
	endpoint jaywind.EndpointID
	at       time.Time
	took     time.Duration
}

// Add adds the time that an endpoint took for an answer. For an attempt that was cancelled it is the time until then, if that
// is longer than the delay.
func (l *Learner) Add(k Key, e jaywind.EndpointID, took time.Duration, now time.Time) {
	h := l.rows[k]
	if h == nil {
		h = l.makeRow(k)
	}
	h.newest = now
	s := sample{endpoint: e, at: now, took: took}
	if len(h.samples) < maxSamples {
		h.samples = append(h.samples, s)
		return
	}
	h.samples[h.next] = s
	h.next = (h.next + 1) % maxSamples
}

// makeRow adds a row, in place of the one that has had no sample for the longest time if there are too many.
func (l *Learner) makeRow(k Key) *history {
	if l.rows == nil {
		l.rows = map[Key]*history{}
	}
	if len(l.rows) == maxKeys {
		var oldest Key
		var at time.Time
		for o, h := range l.rows {
			if at.IsZero() || h.newest.Before(at) {
				oldest, at = o, h.newest
			}
		}
		delete(l.rows, oldest)
	}
	h := &history{}
	l.rows[k] = h
	return h
}

// Delay returns the time after which a request without an answer may be hedged: the 95th percentile of the recent answer times
// of the endpoints that are not slow. It returns false if there are too few samples.
func (l *Learner) Delay(k Key, now time.Time) (time.Duration, bool) {
	h := l.rows[k]
	if h == nil {
		return 0, false
	}
	h.refresh(now)
	return h.delay, h.delay > 0
}

// Slow reports whether recent answers of an endpoint took twice as long as those of the median endpoint, or longer. At most
// half of the endpoints with samples are slow.
func (l *Learner) Slow(k Key, e jaywind.EndpointID, now time.Time) bool {
	h := l.rows[k]
	if h == nil {
		return false
	}
	h.refresh(now)
	return h.slow[e]
}

// refresh computes the delay and the slow endpoints from the recent samples.
func (h *history) refresh(now time.Time) {
	if age := now.Sub(h.computedAt); age >= 0 && age < refreshTime {
		return
	}
	h.computedAt, h.delay = now, 0
	recent := h.recent(now)
	h.slow = slowEndpoints(recent)
	if len(recent) < minSamples {
		return
	}
	times := make([]time.Duration, 0, len(recent))
	for _, s := range recent {
		if !h.slow[s.endpoint] {
			times = append(times, s.took)
		}
	}
	if len(times) > 0 {
		h.delay = quantile(times, Quantile)
	}
}

// recent returns the samples that count: those within recentTime, or the newest recentSamples if these are more.
func (h *history) recent(now time.Time) []sample {
	var out []sample
	for i := range h.samples {
		s := h.samples[(h.next-1-i+2*len(h.samples))%len(h.samples)]
		age := now.Sub(s.at)
		if age > maxSampleAge || age > recentTime && len(out) >= recentSamples {
			break
		}
		out = append(out, s)
	}
	return out
}

// slowEndpoints returns the endpoints whose median exceeds that of the median endpoint by slowFactor.
func slowEndpoints(recent []sample) map[jaywind.EndpointID]bool {
	byEndpoint := map[jaywind.EndpointID][]time.Duration{}
	for _, s := range recent {
		byEndpoint[s.endpoint] = append(byEndpoint[s.endpoint], s.took)
	}
	medians := map[jaywind.EndpointID]time.Duration{}
	var all []time.Duration
	for e, times := range byEndpoint {
		if len(times) >= minEndpointHas {
			medians[e] = quantile(times, 0.5)
			all = append(all, medians[e])
		}
	}
	slow := map[jaywind.EndpointID]bool{}
	if len(all) < 2 {
		return slow
	}
	usual := quantile(all, 0.5)
	for e, m := range medians {
		if m >= slowFactor*usual && m > usual {
			slow[e] = true
		}
	}
	return slow
}

// quantile returns the smallest of the times that at least a share q of them does not exceed. It sorts them.
func quantile(times []time.Duration, q float64) time.Duration {
	slices.Sort(times)
	return times[max(0, int(math.Ceil(q*float64(len(times))))-1)]
}
