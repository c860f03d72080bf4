package table

import (
	"math/rand/v2"
	"time"
)

// Breaker keeps work away from what fails; its zero value is closed.
type Breaker struct {
	row     int       // failures since the last success
	rate    float64   // moving average of the share of failures
	opened  int       // times opened since the last close
	till    time.Time // open until then, half-open afterwards; zero when closed
	trialAt time.Time // when the trial of the half-open state began
}

const (
	breakerRow   = 3   // failures in a row that open
	breakerRate  = 0.5 // share of failures that opens
	breakerStep  = 0.1 // weight of one outcome in the share
	breakerPause = 500 * time.Millisecond
	breakerCap   = 30 * time.Second
	trialLimit   = 5 * time.Second // for the outcome of a trial to be heard
)

// Fail counts a failure.
func (b *Breaker) Fail(now time.Time, random *rand.Rand) {
	b.row++
	b.rate += (1 - b.rate) * breakerStep
	if now.Before(b.till) {
		return
	}
	if b.till.IsZero() && b.row < breakerRow && b.rate < breakerRate {
		return
	}
	b.till = now.Add(backoff(b.opened, breakerPause, breakerCap, random))
	b.trialAt = time.Time{}
	b.opened++
}

// Succeed counts a success, which closes a half-open breaker.
func (b *Breaker) Succeed() {
	if !b.till.IsZero() {
		if !b.trialAt.IsZero() {
			*b = Breaker{}
		}
		return
	}
	b.row = 0
	b.rate -= b.rate * breakerStep
}

// Allows tells whether an attempt may start; a half-open breaker allows one.
func (b *Breaker) Allows(now time.Time) bool {
	if b.till.IsZero() {
		return true
	}
	if now.Before(b.till) {
		return false
	}
	return b.trialAt.IsZero() || now.Sub(b.trialAt) >= trialLimit
}

// Try counts an attempt that starts.
func (b *Breaker) Try(now time.Time) {
	if !b.till.IsZero() {
		b.trialAt = now
	}
}

// Closed tells whether the breaker lets all work through.
func (b *Breaker) Closed() bool {
	return b.till.IsZero()
}

// Open tells whether the breaker keeps all work away.
func (b *Breaker) Open(now time.Time) bool {
	return now.Before(b.till)
}

// backoff returns the wait after n earlier ones: doubled each time, capped, with jitter of a half.
func backoff(n int, first, limit time.Duration, random *rand.Rand) time.Duration {
	d := min(first<<min(n, maxShift), limit)
	return d/2 + time.Duration(random.Int64N(int64(d/2)+1))
}

const maxShift = 16
