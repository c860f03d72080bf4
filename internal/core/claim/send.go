package claim

import (
	"cmp"
	"errors"
	"net/http"
	"slices"
	"time"

	"jaywind"
	"jaywind/internal/core/rule"
	"jaywind/internal/core/table"
)

// sendNext hands the call to an endpoint that has not been tried, or ends it.
func sendNext(s *table.State, c *table.ServiceCall) {
	e, found := choose(s, c)
	if !found {
		abandon(s, c, "no endpoint of the service can be reached")
		return
	}
	earn(s, c, e.ID)
	send(s, c, e)
}

func send(s *table.State, c *table.ServiceCall, e rule.Endpoint) {
	c.Phase = table.CallSending
	c.Endpoint = e.ID
	c.Tried[e.ID] = true
	c.Sent = s.Now
	c.Try++
	s.Endpoints[e.ID].Inflight++
	x := c.Request.HTTP
	x.SendBefore = c.Request.Deadline
	x.ReuseConnection = c.Mode == table.ModeIdempotent
	s.Emit(table.SendCall{Request: c.Request.ID, Try: c.Try, Endpoint: e.ID, Address: e.URL, HTTP: x, Limit: sendLimit(s, c)})
}

// sendLimit lets a call that may not be repeated outlive its caller, so that its answer is recorded.
func sendLimit(s *table.State, c *table.ServiceCall) time.Duration {
	left := c.Request.Deadline.Sub(s.Now)
	if c.Mode == table.ModeIdempotent {
		return left
	}
	return left + settleGrace
}

// choose returns the untried endpoint with the fewest open calls, and one that has just failed only last.
func choose(s *table.State, c *table.ServiceCall) (rule.Endpoint, bool) {
	var usable []rule.Endpoint
	for id, e := range s.Rules.Endpoints {
		if e.Kind == rule.KindService && e.Service == c.Request.Service && !c.Tried[id] && acceptsWork(s, id) {
			usable = append(usable, e)
		}
	}
	if len(usable) == 0 {
		return rule.Endpoint{}, false
	}
	slices.SortFunc(usable, func(a, b rule.Endpoint) int {
		x, y := s.Endpoints[a.ID], s.Endpoints[b.ID]
		return cmp.Or(cmp.Compare(penalty(s, x), penalty(s, y)), cmp.Compare(x.Inflight, y.Inflight), cmp.Compare(a.ID, b.ID))
	})
	return usable[0], true
}

// penalty is how long the breaker still keeps work away from an endpoint.
func penalty(s *table.State, e *table.Endpoint) time.Duration {
	return max(0, e.BlockedUntil.Sub(s.Now))
}

func acceptsWork(s *table.State, id jaywind.EndpointID) bool {
	if _, drained := s.Rules.Drains[id]; drained {
		return false
	}
	e := s.Endpoints[id]
	return e != nil && !e.Leaving
}

// counts tells whether a reply decides: one of the current try, or a good one to an idempotent call.
func counts(c *table.ServiceCall, e table.ServiceReplied) bool {
	return c.Try == e.Try || c.Mode == table.ModeIdempotent && e.Err == nil
}

// takeReply ends a try.
func takeReply(s *table.State, e table.ServiceReplied) {
	c := s.Calls[e.Request]
	if c == nil || c.Phase != table.CallSending || !counts(c, e) {
		return
	}
	release(s, c, e.Err == nil)
	if c.Try == e.Try {
		observe(s, c)
	}
	switch {
	case e.Err == nil:
		answer(s, c, e.Reply)
	case c.Mode == table.ModeIdempotent:
		retry(s, c)
	case errors.Is(e.Err, jaywind.ErrNotSent):
		sendElsewhere(s, c)
	default:
		settle(s, c, jaywind.ClaimUnknown, jaywind.Reply{})
		respond(s, c, unknown("the call was sent and its answer was lost"))
	}
}

// release closes the current try; a failed one counts against its endpoint.
func release(s *table.State, c *table.ServiceCall, healthy bool) {
	e := s.Endpoints[c.Endpoint]
	if e == nil {
		return
	}
	e.Inflight--
	if healthy {
		e.Failures = 0
		e.BlockedUntil = time.Time{}
		return
	}
	e.Failures++
	if e.Failures >= breakAfter {
		e.BlockedUntil = s.Now.Add(breakerFirst << min(e.Failures-breakAfter, breakerShift))
	}
}

func answer(s *table.State, c *table.ServiceCall, r jaywind.Reply) {
	settle(s, c, jaywind.ClaimAnswered, kept(r))
	respond(s, c, table.Respond{Result: table.ResultReply, Reply: r})
}

// keptHeaders are the headers of a reply that the ledger keeps.
var keptHeaders = []string{"Content-Type", "Content-Encoding", "Content-Language", "Etag", "Last-Modified", "Location"}

// kept returns what the ledger keeps of a reply: nothing of one that is too large.
func kept(r jaywind.Reply) jaywind.Reply {
	size := len(r.Body)
	out := jaywind.Reply{Status: r.Status, Header: http.Header{}, Body: r.Body}
	for _, name := range keptHeaders {
		if value := r.Header.Get(name); value != "" {
			out.Header.Set(name, value)
			size += len(value)
		}
	}
	if size > replyLimit {
		return jaywind.Reply{}
	}
	return out
}

func settle(s *table.State, c *table.ServiceCall, state jaywind.ClaimState, r jaywind.Reply) {
	if c.Mode != table.ModeClaimed {
		return
	}
	claim := claimOf(c, state)
	claim.Reply = r
	s.Emit(table.RecordClaim{Claim: claim})
}

// sendElsewhere tries another endpoint after one that took no byte.
func sendElsewhere(s *table.State, c *table.ServiceCall) {
	if c.Responded || !s.Now.Before(c.Request.Deadline) {
		abandon(s, c, "the deadline has passed")
		return
	}
	sendNext(s, c)
}

// watchSent answers for an endpoint that has not.
func (y Claim) watchSent(s *table.State, c *table.ServiceCall) {
	late := !s.Now.Before(c.Request.Deadline)
	switch {
	case c.Mode == table.ModeIdempotent && (late || s.Now.Sub(c.Sent) >= y.tryLimit(s.Endpoints[c.Endpoint])):
		release(s, c, false)
		observe(s, c)
		retry(s, c)
	case late && !c.Responded:
		respondEarly(s, c, unknown("the call was sent and is not answered in time; asking again with the key returns what is recorded"))
	}
}
