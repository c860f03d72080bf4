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
	breakAfter  = 3                      // failures in a row that open the breaker
	pauseFirst  = 200 * time.Millisecond // mean time to the first trial call
	pauseLast   = 5 * time.Second        // mean time between later trial calls of a small fleet
	trialSpace  = 50 * time.Millisecond  // mean time between trial calls of the whole of a large fleet
	callRate    = 200                    // calls a second that one process may make
	callBurst   = 100
	pauseSpread = 0.5 // share of a pause by which it varies
)

var (
	errOpen  = fmt.Errorf("%w: it has failed and is not called for a while", jaywind.ErrStoreUnavailable)
	errSpent = fmt.Errorf("%w: the call budget of this process is spent", jaywind.ErrStoreUnavailable)
)

// breaker keeps calls from a store that fails, and bounds their rate at all times.
type breaker struct {
	mu       sync.Mutex
	limiter  *rate.Limiter
	pauses   *backoff.ExponentialBackOff
	failures int       // in a row
	until    time.Time // no call before, while open
	trial    bool      // a trial call is out
}

// admit lets a call through or says why not.
func (b *breaker) admit(now time.Time) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limiter == nil {
		b.limiter = rate.NewLimiter(callRate, callBurst)
	}
	if b.failures >= breakAfter {
		if b.trial || now.Before(b.until) {
			return errOpen
		}
		b.trial = true
	}
	if !b.limiter.AllowN(now, 1) {
		b.trial = false
		return errSpent
	}
	return nil
}

func (b *breaker) open() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failures >= breakAfter
}

// note takes the result of a call that was let through; routers is the size of the fleet.
func (b *breaker) note(now time.Time, err error, routers int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.trial = false
	if errors.Is(err, context.Canceled) {
		return
	}
	if !failed(err) {
		b.failures = 0
		b.pauses = nil
		return
	}
	b.failures++
	if b.failures >= breakAfter {
		b.until = now.Add(b.nextPause(routers))
	}
}

// failed tells whether the store did not answer a call that its caller waited for.
func failed(err error) bool {
	if errors.Is(err, context.Canceled) {
		return false
	}
	return errors.Is(err, jaywind.ErrStoreUnavailable) || errors.Is(err, jaywind.ErrOutcomeUnknown)
}

// nextPause grows with each failed trial, up to what keeps the whole fleet's trials at a constant rate.
func (b *breaker) nextPause(routers int) time.Duration {
	if b.pauses == nil {
		b.pauses = backoff.NewExponentialBackOff()
		b.pauses.InitialInterval = pauseFirst
		b.pauses.RandomizationFactor = pauseSpread
		b.pauses.MaxInterval = max(pauseLast, time.Duration(routers)*trialSpace)
	}
	return b.pauses.NextBackOff()
}
