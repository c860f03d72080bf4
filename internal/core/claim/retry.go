package claim

import (
	"jaywind"
	"jaywind/internal/core/table"
)

// retry sends an idempotent call to another endpoint while the budgets allow it.
func retry(s *table.State, c *table.ServiceCall) {
	e, found := choose(s, c)
	if !found || c.Try >= triesLimit || !s.Now.Before(c.Ask.Deadline) {
		respond(s, c, failed("no endpoint of the service has answered"))
		return
	}
	if !spend(s, c.Ask.Organisation, c.Endpoint) {
		respond(s, c, failed("the retry budget is spent"))
		return
	}
	send(s, c, e)
}

func failed(reason string) table.Respond {
	return table.Respond{Result: table.ResultFailed, Reason: reason, RetryAfter: returnAfter}
}

// earn adds to the budgets of a first try.
func earn(s *table.State, c *table.ServiceCall, id jaywind.EndpointID) {
	if c.Try > 0 || c.Mode != table.ModeRepeat {
		return
	}
	for _, b := range budgets(s, c.Ask.Organisation, id) {
		b.Spent = max(0, b.Spent-retryShare)
	}
}

// spend takes one retry from the budgets of the organisation and of the endpoint that failed.
func spend(s *table.State, o jaywind.Organisation, id jaywind.EndpointID) bool {
	pair := budgets(s, o, id)
	for _, b := range pair {
		if b.Spent+1 > retryReserve {
			return false
		}
	}
	for _, b := range pair {
		b.Spent++
	}
	return true
}

func budgets(s *table.State, o jaywind.Organisation, id jaywind.EndpointID) [2]*table.RetryBudget {
	return [2]*table.RetryBudget{
		budget(s, table.RetryKey{Organisation: o}),
		budget(s, table.RetryKey{Endpoint: id}),
	}
}

func budget(s *table.State, k table.RetryKey) *table.RetryBudget {
	b := s.Retries[k]
	if b == nil {
		b = &table.RetryBudget{}
		s.Retries[k] = b
	}
	return b
}
