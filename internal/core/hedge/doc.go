// Package hedge decides whether and when a second attempt is sent for a request
// that takes longer than usual.
//
// A Learner keeps recent answer times of each route and service. Its delay is
// their 95th percentile. A Budget bounds the share of the requests of a service
// that may be hedged in each sliding window of 10 s:
//
//	delay, learned := learner.Delay(key, now)
//	// ... no answer after the delay:
//	if budget.Take(now, hedge.Part{Index: 3, Routers: 81}, retriesLeft) == hedge.Allowed {
//		// send a second attempt
//	}
//
// The types do no I/O and are not safe for concurrent use.
package hedge
