package table

import (
	"math/rand/v2"
	"time"

	"jaywind"
)

// Endpoint is what is known of an engine or service beyond its rule.
type Endpoint struct {
	ID       jaywind.EndpointID
	Inflight int // own attempts that are open
	Load     jaywind.Load
	LoadAt   time.Time // when Load was received
	Polled   time.Time // when Load was last asked for
	Silent   bool      // the last poll failed
	Foreign  int       // work of other routers in Load
	Leaving  bool
	Gaps     Gaps

	LastFrame time.Time // on any stream

	Failures   int       // of a service's endpoint, since the last success
	ClosedTill time.Time // the same, no work before

	Breaker  Breaker                      // over failures to reach the endpoint
	Versions map[jaywind.Version]*Breaker // over failures of the work of a version
	Refusals int                          // refusals of the endpoint itself since the last success
	Refused  time.Time                    // no work goes there before, after a refusal

	prefill   float64 // tokens of prompts and prefixes that are still to be computed
	prefillAt time.Time
}

const (
	refusalPause = 200 * time.Millisecond // after the first refusal; doubles each time
	refusalCap   = 5 * time.Second
	silentWait   = 10 * time.Second // for a trial at an endpoint that used to report and does not
)

// Refuse keeps work away for a while after the endpoint itself has refused some.
func (e *Endpoint) Refuse(now time.Time, random *rand.Rand) {
	if now.Before(e.Refused) {
		return
	}
	e.Refused = now.Add(backoff(e.Refusals, refusalPause, refusalCap, random))
	e.Refusals++
}

// Fail counts a failure of work of a version.
func (e *Endpoint) Fail(v jaywind.Version, now time.Time, random *rand.Rand) {
	e.version(v).Fail(now, random)
}

// Miss counts a failure to reach the endpoint.
func (e *Endpoint) Miss(now time.Time, random *rand.Rand) {
	e.Breaker.Fail(now, random)
}

// Succeed counts a sign of life from work of a version.
func (e *Endpoint) Succeed(v jaywind.Version) {
	e.Refusals = 0
	e.Breaker.Succeed()
	if b := e.Versions[v]; b != nil {
		b.Succeed()
	}
}

// Accepts tells whether work of a version may start at the endpoint.
func (e *Endpoint) Accepts(v jaywind.Version, now time.Time) bool {
	if e.Leaving || now.Before(e.Refused) || !e.Breaker.Allows(now) {
		return false
	}
	b := e.Versions[v]
	if b == nil {
		return true
	}
	if e.Silent && !e.LoadAt.IsZero() && !b.Closed() && now.Sub(b.till) < silentWait {
		return false
	}
	return b.Allows(now)
}

// Sound tells whether an endpoint accepts work of a version, and not just a trial.
func (e *Endpoint) Sound(v jaywind.Version, now time.Time) bool {
	b := e.Versions[v]
	return e.Accepts(v, now) && e.Breaker.Closed() && (b == nil || b.Closed())
}

// Start counts an attempt whose prompt and prefix have that many tokens.
func (e *Endpoint) Start(v jaywind.Version, now time.Time, tokens int) {
	e.Inflight++
	e.Breaker.Try(now)
	if b := e.Versions[v]; b != nil {
		b.Try(now)
	}
	e.prefill = e.Prefill(now) + float64(tokens)
	e.prefillAt = now
}

// PrefillRate is how many tokens of prompt an engine is taken to compute in a second.
const PrefillRate = 8000

// Prefill estimates how many tokens of own prompts and prefixes the endpoint has yet to compute.
func (e *Endpoint) Prefill(now time.Time) float64 {
	return max(0, e.prefill-now.Sub(e.prefillAt).Seconds()*PrefillRate)
}

func (e *Endpoint) version(v jaywind.Version) *Breaker {
	if e.Versions == nil {
		e.Versions = map[jaywind.Version]*Breaker{}
	}
	if e.Versions[v] == nil {
		e.Versions[v] = &Breaker{}
	}
	return e.Versions[v]
}

// Poll asks an endpoint for its load.
type Poll struct {
	Endpoint jaywind.EndpointID
	At       jaywind.Address
	Limit    time.Duration
}

func (Poll) command() {}
