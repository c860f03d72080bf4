package store

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"golang.org/x/time/rate"

	"jaywind"
)

const (
	openAfter          = 3                      // consecutive failures that open the breaker
	initialPause       = 200 * time.Millisecond // mean time until the first trial call
	maxPause           = 5 * time.Second        // longest mean time between trial calls of one router in a small fleet
	fleetTrialInterval = 50 * time.Millisecond  // mean time between trial calls of a large fleet as a whole
	callRate           = 200                    // calls per second that one process may make
	callBurst          = 100
	pauseJitter        = 0.5 // fraction of a pause by which it is randomized
)

var (
	errBreakerOpen  = fmt.Errorf("%w: circuit breaker is open after repeated failures", jaywind.ErrStoreUnavailable)
	errRateExceeded = fmt.Errorf("%w: call rate limit of this process is exceeded", jaywind.ErrStoreUnavailable)
)

// breaker is a circuit breaker that also limits the rate of calls.
type breaker struct {
	mu           sync.Mutex
	limiter      *rate.Limiter
	pauses       *backoff.ExponentialBackOff
	failures     int       // consecutive
	nextTrialAt  time.Time // while open, no trial call before this time
	trialRunning bool      // a trial call is in progress
}

// admit returns nil if a call may be made, and otherwise the reason.
func (b *breaker) admit(now time.Time) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limiter == nil {
		b.limiter = rate.NewLimiter(callRate, callBurst)
	}
	if b.failures >= openAfter {
		if b.trialRunning || now.Before(b.nextTrialAt) {
			return errBreakerOpen
		}
		b.trialRunning = true
	}
	if !b.limiter.AllowN(now, 1) {
		b.trialRunning = false
		return errRateExceeded
	}
	return nil
}

func (b *breaker) open() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failures >= openAfter
}

// record records the result of an admitted call; routers is the number of routers in the fleet.
func (b *breaker) record(now time.Time, err error, routers int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.trialRunning = false
	if errors.Is(err, context.Canceled) {
		return
	}
	if !isFailure(err) {
		b.failures = 0
		b.pauses = nil
		return
	}
	b.failures++
	if b.failures >= openAfter {
		b.nextTrialAt = now.Add(b.nextPause(routers))
	}
}

// isFailure reports whether err is a failure of the store to answer, as opposed to a call that its caller canceled.
func isFailure(err error) bool {
	if errors.Is(err, context.Canceled) {
		return false
	}
	return errors.Is(err, jaywind.ErrStoreUnavailable) || errors.Is(err, jaywind.ErrOutcomeUnknown)
}

// nextPause returns an exponentially growing pause. Its maximum grows with the fleet, so that the rate of
// trial calls of the whole fleet stays constant.
func (b *breaker) nextPause(routers int) time.Duration {
	if b.pauses == nil {
		b.pauses = backoff.NewExponentialBackOff()
		b.pauses.InitialInterval = initialPause
		b.pauses.RandomizationFactor = pauseJitter
		b.pauses.MaxInterval = max(maxPause, time.Duration(routers)*fleetTrialInterval)
	}
	return b.pauses.NextBackOff()
}
