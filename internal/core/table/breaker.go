package table

import (
	"math/rand/v2"
	"time"
)

// Breaker is a circuit breaker; its zero value is closed.
type Breaker struct {
	consecutive  int       // failures since the last success
	failureRate  float64   // exponential moving average of the share of failures
	openings     int       // times that it has opened since it was last closed
	openUntil    time.Time // open until then, half-open afterwards; zero when closed
	trialStarted time.Time // when the trial attempt of the half-open state started; zero before it
}

const (
	breakerMaxConsecutive = 3                      // consecutive failures that open the breaker
	breakerMaxFailureRate = 0.5                    // share of failures that opens the breaker
	breakerSmoothing      = 0.1                    // weight of one outcome in the moving average
	breakerBackoff        = 500 * time.Millisecond // first open period; it doubles each time
	breakerMaxBackoff     = 30 * time.Second
	trialTimeout          = 5 * time.Second // after which a trial without an outcome no longer blocks another one
)

// RecordFailure counts a failure, which may open the breaker.
func (b *Breaker) RecordFailure(now time.Time, random *rand.Rand) {
	b.consecutive++
	b.failureRate += (1 - b.failureRate) * breakerSmoothing
	if now.Before(b.openUntil) {
		return
	}
	if b.openUntil.IsZero() && b.consecutive < breakerMaxConsecutive && b.failureRate < breakerMaxFailureRate {
		return
	}
	b.openUntil = now.Add(backoff(b.openings, breakerBackoff, breakerMaxBackoff, random))
	b.trialStarted = time.Time{}
	b.openings++
}

// RecordSuccess counts a success, which closes a half-open breaker after its trial attempt has started.
func (b *Breaker) RecordSuccess() {
	if !b.openUntil.IsZero() {
		if !b.trialStarted.IsZero() {
			*b = Breaker{}
		}
		return
	}
	b.consecutive = 0
	b.failureRate -= b.failureRate * breakerSmoothing
}

// Allows tells whether an attempt may start; a half-open breaker allows one trial attempt at a time.
func (b *Breaker) Allows(now time.Time) bool {
	if b.openUntil.IsZero() {
		return true
	}
	if now.Before(b.openUntil) {
		return false
	}
	return b.trialStarted.IsZero() || now.Sub(b.trialStarted) >= trialTimeout
}

// RecordAttempt counts the start of an attempt; on a half-open breaker it is the trial attempt.
func (b *Breaker) RecordAttempt(now time.Time) {
	if !b.openUntil.IsZero() {
		b.trialStarted = now
	}
}

// Closed tells whether the breaker allows all attempts.
func (b *Breaker) Closed() bool {
	return b.openUntil.IsZero()
}

// Open tells whether the breaker rejects all attempts.
func (b *Breaker) Open(now time.Time) bool {
	return now.Before(b.openUntil)
}

// backoff returns an exponential delay after n earlier ones, at most limit, of which a random part of up to half is cut off as jitter.
func backoff(n int, base, limit time.Duration, random *rand.Rand) time.Duration {
	d := min(base<<min(n, maxBackoffShift), limit)
	return d/2 + time.Duration(random.Int64N(int64(d/2)+1))
}

const maxBackoffShift = 16
