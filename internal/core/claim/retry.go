package claim

import (
	"time"

	"jaywind"
	"jaywind/internal/core/table"
)

// retry sends an idempotent call to another endpoint if the retry budgets allow it. Otherwise it waits for the attempts that are
// open, since a silent endpoint may still answer in time.
func retry(s *table.State, c *table.ServiceCall) {
	c.Retrying = true
	late := !s.Now.Before(c.Request.Deadline)
	reason := "no endpoint of the service has answered"
	if c.Try < maxTries && !late {
		if e, found := choose(s, c); found {
			if spendRetry(s, c.Request.Organisation, c.Endpoint) {
				send(s, c, e)
				return
			}
			reason = "the retry budget is spent"
		}
	}
	if len(c.Open) == 0 || late {
		respondAndForget(s, c, failed(reason))
		return
	}
	c.NextRetry = s.Now.Add(retryInterval)
}

// hedgeDelay returns the time after which an unanswered idempotent call is also sent to another endpoint.
func (y Claim) hedgeDelay(e *table.Endpoint) time.Duration {
	if e == nil || e.FrameGaps.P99() == 0 {
		return defaultHedgeDelay
	}
	factor := y.HedgeFactor
	if factor == 0 {
		factor = defaultHedgeFactor
	}
	limit := min(factor*e.FrameGaps.P99().Seconds(), maxHedgeDelay.Seconds())
	return max(minHedgeDelay, time.Duration(limit*float64(time.Second)))
}

// observeLatency records the response time of an idempotent call, or the time waited without a reply.
// For an endpoint of a plain service, FrameGaps holds these times instead of gaps between frames.
func observeLatency(s *table.State, c *table.ServiceCall) {
	if e := s.Endpoints[c.Endpoint]; e != nil && c.Mode == table.ModeIdempotent {
		e.FrameGaps.Observe(s.Now.Sub(c.Sent))
	}
}

func failed(reason string) table.Respond {
	return table.Respond{Result: table.ResultFailed, Reason: reason, RetryAfter: retryAfter}
}

// creditBudgets adds the credit of a first try to the retry budgets of its organisation and endpoint.
func creditBudgets(s *table.State, c *table.ServiceCall, id jaywind.EndpointID) {
	if c.Try > 0 || c.Mode != table.ModeIdempotent {
		return
	}
	for _, k := range budgetKeys(c.Request.Organisation, id) {
		if b := s.Retries[k]; b != nil {
			b.Spent -= retriesPerCall
			dropUnspent(s, k)
		}
	}
}

// dropUnspent removes the record of a budget that is full again.
func dropUnspent(s *table.State, k table.RetryKey) {
	if s.Retries[k].Spent <= 0 {
		delete(s.Retries, k)
	}
}

// spendRetry takes one retry from the budgets of the organisation and of the endpoint that failed,
// and reports whether both allowed it.
func spendRetry(s *table.State, o jaywind.Organisation, id jaywind.EndpointID) bool {
	keys := budgetKeys(o, id)
	for _, k := range keys {
		if b := s.Retries[k]; b != nil && b.Spent+1 > retryReserve {
			return false
		}
	}
	for _, k := range keys {
		if s.Retries[k] == nil {
			s.Retries[k] = &table.RetryBudget{}
		}
		s.Retries[k].Spent++
	}
	return true
}

func budgetKeys(o jaywind.Organisation, id jaywind.EndpointID) [2]table.RetryKey {
	return [2]table.RetryKey{{Organisation: o}, {Endpoint: id}}
}
