package claim

import (
	"time"

	"jaywind"
	"jaywind/internal/core/table"
)

// retry sends an idempotent call to another endpoint while the budgets allow it.
func retry(s *table.State, c *table.ServiceCall) {
	e, found := choose(s, c)
	if !found || c.Try >= triesLimit || !s.Now.Before(c.Request.Deadline) {
		respond(s, c, failed("no endpoint of the service has answered"))
		return
	}
	if !spend(s, c.Request.Organisation, c.Endpoint) {
		respond(s, c, failed("the retry budget is spent"))
		return
	}
	send(s, c, e)
}

// tryLimit is how long an endpoint may take to answer an idempotent call before another is asked as well.
func (y Claim) tryLimit(e *table.Endpoint) time.Duration {
	if e == nil || e.FrameGaps.P99() == 0 {
		return tryFirst
	}
	patience := y.Patience
	if patience == 0 {
		patience = tryPatience
	}
	limit := min(patience*e.FrameGaps.P99().Seconds(), tryMost.Seconds())
	return max(tryLeast, time.Duration(limit*float64(time.Second)))
}

// observe takes the time of an answer to an idempotent call, or of the wait that was given up.
func observe(s *table.State, c *table.ServiceCall) {
	if e := s.Endpoints[c.Endpoint]; e != nil && c.Mode == table.ModeIdempotent {
		e.FrameGaps.Observe(s.Now.Sub(c.Sent))
	}
}

func failed(reason string) table.Respond {
	return table.Respond{Result: table.ResultFailed, Reason: reason, RetryAfter: returnAfter}
}

// earn adds to the budgets of a first try.
func earn(s *table.State, c *table.ServiceCall, id jaywind.EndpointID) {
	if c.Try > 0 || c.Mode != table.ModeIdempotent {
		return
	}
	for _, k := range keysOf(c.Request.Organisation, id) {
		if b := s.Retries[k]; b != nil {
			b.Spent -= retryShare
			drop(s, k)
		}
	}
}

// drop forgets a budget that is whole again.
func drop(s *table.State, k table.RetryKey) {
	if s.Retries[k].Spent <= 0 {
		delete(s.Retries, k)
	}
}

// spend takes one retry from the budgets of the organisation and of the endpoint that failed.
func spend(s *table.State, o jaywind.Organisation, id jaywind.EndpointID) bool {
	keys := keysOf(o, id)
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

func keysOf(o jaywind.Organisation, id jaywind.EndpointID) [2]table.RetryKey {
	return [2]table.RetryKey{{Organisation: o}, {Endpoint: id}}
}
