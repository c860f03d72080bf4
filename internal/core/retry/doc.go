// Package retry keeps the sends beyond a request's first within a budget.
//
// The budget is the fleet's: in each window a service may get a share of its
// requests again, and some more. Each router spends only its part, worked out
// from its own requests and the number of routers:
//
//	b := retry.Budget{Share: 0.8, Spare: 150, Window: 10 * time.Second}
//	b.Request(now)
//	if b.Take(now, len(members)) {
//		// send once more
//	}
package retry
