package claim

import "time"

const (
	claimTimeout        = 2 * time.Second        // for committing a claim
	stallAfter          = time.Second            // without a successful commit, after which claims are refused immediately
	failureMemory       = 5 * time.Second        // after the last failed commit, until it no longer counts against the store
	probeInterval       = time.Second            // between claims that probe a stalled store
	waitTimeout         = 2 * time.Second        // for the answer of the request that holds the claim
	initialPollDelay    = 50 * time.Millisecond  // before the recorded claim is first read again
	maxPollDelay        = 400 * time.Millisecond // limit of the backoff between reads
	defaultHedgeDelay   = 300 * time.Millisecond // for an endpoint without measured response times
	minHedgeDelay       = 50 * time.Millisecond  // for a fast endpoint
	maxHedgeDelay       = time.Second            // for a slow endpoint
	defaultHedgeFactor  = 2.0                    // multiple of the 0.99 quantile of the endpoint's response times
	recordGrace         = 30 * time.Second       // after the deadline, for an answer that is only recorded
	retryAfter          = time.Second            // mean retry delay of a refused call
	retryInterval       = 200 * time.Millisecond // between looks for another endpoint while silent ones are waited for
	maxTries            = 3                      // sends of one idempotent call, the first included
	retriesPerCall      = 0.1                    // retries that each first send adds to a budget
	retryReserve        = 10.0                   // retries that a full budget allows
	maxRecordedReply    = 32 << 10               // bytes; the ledger doesn't record a larger reply
	breakerThreshold    = 2                      // consecutive failures that open an endpoint's circuit breaker
	initialBreakerTime  = 500 * time.Millisecond // for which a breaker first opens; doubles with each failure
	maxBreakerDoublings = 4                      // doublings of initialBreakerTime at most
)
