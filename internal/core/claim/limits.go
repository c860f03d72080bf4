package claim

import "time"

const (
	claimLimit   = 2 * time.Second        // for a claim to be committed
	stallAfter   = time.Second            // without a commit that was answered well, until claims are refused at once
	stallMemory  = 5 * time.Second        // that the last failure is held against the store
	trialPause   = time.Second            // between claims that are let through all the same
	waitLimit    = 2 * time.Second        // for another claimant's answer to be recorded
	pollFirst    = 50 * time.Millisecond  // until the recorded state is read again
	pollLast     = 400 * time.Millisecond // between later reads
	tryFirst     = 300 * time.Millisecond // for an endpoint of unknown pace to answer an idempotent call
	tryLeast     = 50 * time.Millisecond  // for a quick endpoint
	tryMost      = time.Second            // for a slow one
	tryPatience  = 2.0                    // times the 0.99 quantile of the endpoint's answers
	settleGrace  = 30 * time.Second       // beyond the deadline, for an answer that is only recorded
	returnAfter  = time.Second            // mean of what a caller of a refused call is told
	triesLimit   = 3                      // tries of one idempotent call
	retryShare   = 0.1                    // retries that one first try earns
	retryReserve = 10.0                   // retries that may be spent ahead of first tries
	replyLimit   = 32 << 10               // bytes of a reply that the ledger keeps
	breakAfter   = 2                      // failures in a row after which new work avoids an endpoint
	breakerFirst = 500 * time.Millisecond // that it does so at first
	breakerShift = 4                      // doublings of breakerFirst at most
)
