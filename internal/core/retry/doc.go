// Package retry limits retries with a budget.
//
// The budget is common to all routers: in each window the retries to a service
// may reach a ratio of its requests plus a fixed reserve. Each router uses only
// its part, which it derives from its own requests and the number of routers:
//
//	b := retry.Budget{Ratio: 0.8, Reserve: 150, Window: 10 * time.Second}
//	b.RecordRequest(now)
//	if b.Take(now, len(members)) {
//		// retry
//	}
package retry
