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

// sendNext sends the call to an endpoint that has not been tried, or refuses it if there is none.
func sendNext(s *table.State, c *table.ServiceCall) {
	e, found := choose(s, c)
	if !found {
		refuseUnsent(s, c, "no endpoint of the service can be reached")
		return
	}
	creditBudgets(s, c, e.ID)
	send(s, c, e)
}

func send(s *table.State, c *table.ServiceCall, e rule.Endpoint) {
	c.Phase = table.CallSending
	c.Retrying = false
	c.Endpoint = e.ID
	c.Tried[e.ID] = true
	c.Sent = s.Now
	c.Try++
	c.Open[c.Try] = e.ID
	s.Endpoints[e.ID].Inflight++
	x := c.Request.HTTP
	x.SendBefore = c.Request.Deadline
	x.ReuseConnection = c.Mode == table.ModeIdempotent
	s.Emit(table.SendCall{Request: c.Request.ID, Try: c.Try, Endpoint: e.ID, Address: e.URL, HTTP: x, Limit: sendTimeout(s, c)})
}

// sendTimeout returns the time limit of a send. A call that must not be repeated may outlast its
// deadline, so that its answer can be recorded.
func sendTimeout(s *table.State, c *table.ServiceCall) time.Duration {
	left := c.Request.Deadline.Sub(s.Now)
	if c.Mode == table.ModeIdempotent {
		return left
	}
	return left + recordGrace
}

// choose returns the untried endpoint with the fewest open calls. Endpoints with an open circuit
// breaker come last, ordered by the time until it closes.
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
		return cmp.Or(cmp.Compare(breakerRemaining(s, x), breakerRemaining(s, y)), cmp.Compare(x.Inflight, y.Inflight), cmp.Compare(a.ID, b.ID))
	})
	return usable[0], true
}

// breakerRemaining returns the time until an endpoint's circuit breaker closes.
func breakerRemaining(s *table.State, e *table.Endpoint) time.Duration {
	return max(0, e.BlockedUntil.Sub(s.Now))
}

func acceptsWork(s *table.State, id jaywind.EndpointID) bool {
	if _, drained := s.Rules.Drains[id]; drained {
		return false
	}
	e := s.Endpoints[id]
	return e != nil && !e.Leaving
}

// isDecisive reports whether a reply is acted on: any reply to the current try, and for an idempotent
// call also a successful reply to an earlier try, or the failure of the last one that is open.
func isDecisive(c *table.ServiceCall, e table.ServiceReplied) bool {
	return c.Try == e.Try || c.Mode == table.ModeIdempotent && (e.Err == nil || len(c.Open) == 0)
}

// receiveReply handles the reply or failure of a try.
func receiveReply(s *table.State, e table.ServiceReplied) {
	c := s.Calls[e.Request]
	if c == nil || c.Phase != table.CallSending {
		return
	}
	from := c.Open[e.Try]
	closeTry(s, c, e.Try)
	if !isDecisive(c, e) {
		return
	}
	if e.Err == nil || !c.Retrying {
		recordOutcome(s, from, e.Err == nil)
	}
	if c.Try == e.Try && !c.Retrying {
		observeLatency(s, c)
	}
	switch {
	case e.Err == nil:
		recordAndRespond(s, c, e.Reply)
	case c.Mode == table.ModeIdempotent:
		retry(s, c)
	case errors.Is(e.Err, jaywind.ErrNotSent):
		sendElsewhere(s, c)
	default:
		recordState(s, c, jaywind.ClaimUnknown, jaywind.Reply{})
		respondAndForget(s, c, unknown("the call was sent and its answer was lost"))
	}
}

// closeTry ends a try, which has been answered or isn't waited for any longer.
func closeTry(s *table.State, c *table.ServiceCall, try int) {
	if e := s.Endpoints[c.Open[try]]; e != nil {
		e.Inflight--
	}
	delete(c.Open, try)
}

// recordOutcome updates the circuit breaker of the endpoint of a try.
func recordOutcome(s *table.State, id jaywind.EndpointID, healthy bool) {
	e := s.Endpoints[id]
	if e == nil {
		return
	}
	if healthy {
		e.Failures = 0
		e.BlockedUntil = time.Time{}
		return
	}
	e.Failures++
	if e.Failures >= breakerThreshold {
		e.BlockedUntil = s.Now.Add(initialBreakerTime << min(e.Failures-breakerThreshold, maxBreakerDoublings))
	}
}

func recordAndRespond(s *table.State, c *table.ServiceCall, r jaywind.Reply) {
	recordState(s, c, jaywind.ClaimAnswered, recordedReply(r))
	respondAndForget(s, c, table.Respond{Result: table.ResultReply, Reply: r})
}

// recordedHeaders are the reply headers that the ledger records.
var recordedHeaders = []string{"Content-Type", "Content-Encoding", "Content-Language", "Etag", "Last-Modified", "Location"}

// recordedReply returns the part of a reply that the ledger records; it is empty if the reply is too large.
func recordedReply(r jaywind.Reply) jaywind.Reply {
	size := len(r.Body)
	out := jaywind.Reply{Status: r.Status, Header: http.Header{}, Body: r.Body}
	for _, name := range recordedHeaders {
		if value := r.Header.Get(name); value != "" {
			out.Header.Set(name, value)
			size += len(value)
		}
	}
	if size > maxRecordedReply {
		return jaywind.Reply{}
	}
	return out
}

func recordState(s *table.State, c *table.ServiceCall, state jaywind.ClaimState, r jaywind.Reply) {
	if c.Mode != table.ModeClaimed {
		return
	}
	claim := claimOf(c, state)
	claim.Reply = r
	s.Emit(table.RecordClaim{Claim: claim})
}

// sendElsewhere sends the call to another endpoint after one to which no byte was sent.
func sendElsewhere(s *table.State, c *table.ServiceCall) {
	if c.Responded || !s.Now.Before(c.Request.Deadline) {
		refuseUnsent(s, c, "the deadline has passed")
		return
	}
	sendNext(s, c)
}

// checkSent handles a try without a reply: it hedges an idempotent call, and answers any call at its deadline.
func (y Claim) checkSent(s *table.State, c *table.ServiceCall) {
	late := !s.Now.Before(c.Request.Deadline)
	switch {
	case c.Mode == table.ModeIdempotent && c.Retrying:
		if late || !s.Now.Before(c.NextRetry) {
			retry(s, c)
		}
	case c.Mode == table.ModeIdempotent && (late || s.Now.Sub(c.Sent) >= y.hedgeDelay(s.Endpoints[c.Endpoint])):
		recordOutcome(s, c.Endpoint, false)
		observeLatency(s, c)
		retry(s, c)
	case c.Mode != table.ModeIdempotent && late && !c.Responded:
		respond(s, c, unknown("the call was sent and is not answered in time; asking again with the key returns what is recorded"))
	}
}
