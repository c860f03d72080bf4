package table

import (
	"math/rand/v2"
	"time"

	"jaywind"
)

// Endpoint is the runtime state of an engine or service endpoint; its configuration is in the rules.
type Endpoint struct {
	ID            jaywind.EndpointID
	Inflight      int // open attempts of this router
	Load          jaywind.Load
	LoadAt        time.Time // when Load was received
	PolledAt      time.Time // when Load was last requested
	PollFailed    bool      // the last poll failed
	OtherInflight int       // the part of Load that other routers account for
	Leaving       bool
	FrameGaps     GapQuantile

	LastFrameAt time.Time // when a frame last arrived on any stream

	Failures     int       // consecutive failures; service endpoints only
	BlockedUntil time.Time // no work is sent before then; service endpoints only

	Breaker      Breaker                      // opened by failures to reach the endpoint
	Versions     map[jaywind.Version]*Breaker // opened by failures of attempts on a version
	Refusals     int                          // refusals by the endpoint itself since the last success
	RefusedUntil time.Time                    // no work is sent before then, after a refusal

	prefill   float64 // prompt and prefix tokens still to be computed as of prefillAt
	prefillAt time.Time
}

const (
	refusalBackoff    = 200 * time.Millisecond // after the first refusal; it doubles each time
	refusalMaxBackoff = 5 * time.Second
	silentTrialDelay  = 10 * time.Second // before a trial attempt at an endpoint that has stopped reporting its load
)

// RecordRefusal counts a refusal by the endpoint itself and keeps new work away for a backoff delay.
func (e *Endpoint) RecordRefusal(now time.Time, random *rand.Rand) {
	if now.Before(e.RefusedUntil) {
		return
	}
	e.RefusedUntil = now.Add(backoff(e.Refusals, refusalBackoff, refusalMaxBackoff, random))
	e.Refusals++
}

// RecordFailure counts a failure of an attempt on a version.
func (e *Endpoint) RecordFailure(v jaywind.Version, now time.Time, random *rand.Rand) {
	e.breakerFor(v).RecordFailure(now, random)
}

// RecordUnreachable counts a failure to reach the endpoint.
func (e *Endpoint) RecordUnreachable(now time.Time, random *rand.Rand) {
	e.Breaker.RecordFailure(now, random)
}

// RecordSuccess counts an answer from an attempt on a version.
func (e *Endpoint) RecordSuccess(v jaywind.Version) {
	e.Refusals = 0
	e.Breaker.RecordSuccess()
	if b := e.Versions[v]; b != nil {
		b.RecordSuccess()
	}
}

// Accepts tells whether an attempt on a version may start at the endpoint.
func (e *Endpoint) Accepts(v jaywind.Version, now time.Time) bool {
	if e.Leaving || now.Before(e.RefusedUntil) || !e.Breaker.Allows(now) {
		return false
	}
	b := e.Versions[v]
	if b == nil {
		return true
	}
	if e.PollFailed && !e.LoadAt.IsZero() && !b.Closed() && now.Sub(b.openUntil) < silentTrialDelay {
		return false
	}
	return b.Allows(now)
}

// Healthy tells whether the endpoint accepts work on a version without restriction, not just a trial attempt.
func (e *Endpoint) Healthy(v jaywind.Version, now time.Time) bool {
	b := e.Versions[v]
	return e.Accepts(v, now) && e.Breaker.Closed() && (b == nil || b.Closed())
}

// RecordAttempt counts the start of an attempt whose prompt and prefix have that many tokens.
func (e *Endpoint) RecordAttempt(v jaywind.Version, now time.Time, tokens int) {
	e.Inflight++
	e.Breaker.RecordAttempt(now)
	if b := e.Versions[v]; b != nil {
		b.RecordAttempt(now)
	}
	e.prefill = e.PendingPrefill(now) + float64(tokens)
	e.prefillAt = now
}

// PrefillRate is the assumed prefill speed of an engine, in prompt tokens per second.
const PrefillRate = 8000

// PendingPrefill estimates how many prompt and prefix tokens of this router's attempts the endpoint has yet to compute.
func (e *Endpoint) PendingPrefill(now time.Time) float64 {
	return max(0, e.prefill-now.Sub(e.prefillAt).Seconds()*PrefillRate)
}

func (e *Endpoint) breakerFor(v jaywind.Version) *Breaker {
	if e.Versions == nil {
		e.Versions = map[jaywind.Version]*Breaker{}
	}
	if e.Versions[v] == nil {
		e.Versions[v] = &Breaker{}
	}
	return e.Versions[v]
}

// PollLoad asks an endpoint for its load report.
type PollLoad struct {
	Endpoint jaywind.EndpointID
	Address  jaywind.Address
	Limit    time.Duration
}

func (PollLoad) command() {}
