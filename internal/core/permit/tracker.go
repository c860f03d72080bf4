package permit

import (
	"time"

	"jaywind"
)

const (
	wordTime     = 10 * time.Second // for which an endpoint's word about itself, or that of another one of its service, counts
	onsetTime    = 2 * time.Second  // after the first endpoint of a service has said that it is brittle; within the time in which they do not fall
	maxEndpoints = 4096             // that are remembered
)

// Tracker knows which endpoints are brittle. The zero value knows none.
type Tracker struct {
	endpoints map[jaywind.EndpointRef]word
	services  map[jaywind.ServiceName]word
}

// word is what an endpoint has said about itself.
type word struct {
	brittle   bool
	tolerance int
	at        time.Time
	since     time.Time // of a service, when one of its endpoints first said so
}

// Record records an answer of an endpoint: whether it is brittle, and how many calls it may turn away in a second. It reports whether
// that is news for its service.
func (t *Tracker) Record(e jaywind.EndpointRef, s jaywind.ServiceName, brittle bool, tolerance int, now time.Time) bool {
	before := t.services[s]
	if !brittle && len(t.endpoints) == 0 {
		return false
	}
	if t.endpoints == nil || len(t.endpoints) >= maxEndpoints {
		t.endpoints = map[jaywind.EndpointRef]word{}
	}
	if t.services == nil {
		t.services = map[jaywind.ServiceName]word{}
	}
	w := word{brittle: brittle, tolerance: tolerance, at: now}
	t.endpoints[e] = w
	news := brittle && (!before.brittle || now.Sub(before.at) >= wordTime)
	if w.since = before.since; news {
		w.since = now
	}
	if brittle || before.at.Add(wordTime).Before(now) || !t.anyBrittle(now) {
		t.services[s] = w
	}
	return news
}

// anyBrittle reports whether any endpoint has said lately that it is brittle. It forgets what is old.
func (t *Tracker) anyBrittle(now time.Time) bool {
	found := false
	for e, w := range t.endpoints {
		if now.Sub(w.at) > wordTime {
			delete(t.endpoints, e)
			continue
		}
		found = found || w.brittle
	}
	return found
}

// Brittle reports whether calls to an endpoint need permits, and how many it may turn away in a second. An endpoint that has not been
// heard of lately is taken to be as the last one of its service that was.
func (t *Tracker) Brittle(e jaywind.EndpointRef, s jaywind.ServiceName, now time.Time) (brittle bool, tolerance int) {
	w, known := t.endpoints[e]
	if !known || now.Sub(w.at) > wordTime {
		w = t.services[s]
	}
	if !w.brittle || now.Sub(w.at) > wordTime {
		return false, 0
	}
	return true, w.tolerance
}

// Onset reports whether the endpoints of a service have become brittle only now.
func (t *Tracker) Onset(s jaywind.ServiceName, now time.Time) bool {
	w := t.services[s]
	return w.brittle && now.Sub(w.since) < onsetTime
}

// Count returns the number of endpoints that are known to be brittle.
func (t *Tracker) Count(now time.Time) (n int) {
	for _, w := range t.endpoints {
		if w.brittle && now.Sub(w.at) <= wordTime {
			n++
		}
	}
	return n
}
