package claim

import (
	"maps"
	"slices"
	"time"

	"jaywind"
	"jaywind/internal/core/table"
)

// Claim runs the calls to plain services.
type Claim struct {
	// Patience is how long an idempotent call waits for an answer before another endpoint is asked,
	// in multiples of the 0.99 quantile of the endpoint's answers; 2 when zero.
	Patience float64
}

// Step handles the events of the tick, then the timers on a full one.
func (y Claim) Step(s *table.State) {
	for _, e := range s.Events {
		switch e := e.(type) {
		case table.ServiceArrived:
			arrive(s, e.Request)
		case table.CommitCompleted:
			takeClaim(s, e)
		case table.ServiceReplied:
			takeReply(s, e)
		case table.ServiceCallerGone:
			dropCaller(s, e.Request)
		}
	}
	if s.Full {
		y.watchAll(s)
	}
}

func arrive(s *table.State, a table.CallRequest) {
	c := &table.ServiceCall{Request: a, Arrived: s.Now, Tried: map[jaywind.EndpointID]bool{}}
	s.Calls[a.ID] = c
	if refuse(s, c) {
		return
	}
	c.Mode = modeOf(s.Rules, a)
	if c.Mode != table.ModeClaimed {
		sendNext(s, c)
		return
	}
	if a.Key == "" {
		respond(s, c, table.Respond{Result: table.ResultInvalid, Reason: "the call runs at most once and needs an Idempotency-Key"})
		return
	}
	if stalled(s) {
		respond(s, c, notRun(s, "claims can't be recorded now"))
		return
	}
	c.Phase = table.CallClaiming
	c.GiveUpAt = earlier(s.Now.Add(claimLimit), s.Now.Add(a.Deadline.Sub(s.Now)/2))
	commit(s, c)
}

// commit asks for the claim, or for what is on record in its place.
func commit(s *table.State, c *table.ServiceCall) {
	c.NextPoll = time.Time{}
	noteCommit(s)
	s.Emit(table.CommitClaim{Request: c.Request.ID, Claim: claimOf(c, jaywind.ClaimTaken), Limit: c.GiveUpAt.Sub(s.Now)})
}

func claimOf(c *table.ServiceCall, state jaywind.ClaimState) jaywind.Claim {
	return jaywind.Claim{
		Organisation: c.Request.Organisation,
		Service:      c.Request.Service,
		Key:          c.Request.Key,
		Body:         c.Request.Body,
		Nonce:        c.Request.Nonce,
		State:        state,
	}
}

// takeClaim decides by what the ledger has on record.
func takeClaim(s *table.State, e table.CommitCompleted) {
	noteAnswer(s, e.Err)
	c := s.Calls[e.Request]
	if c == nil || c.Phase == table.CallSending {
		return
	}
	switch {
	case e.Err != nil:
		failClaim(s, c)
	case e.Claim.Body != c.Request.Body:
		respond(s, c, table.Respond{Result: table.ResultKeyReused, Reason: "the Idempotency-Key belongs to another call"})
	case e.Claim.Nonce == c.Request.Nonce:
		takeOwn(s, c, e.Claim.State)
	case e.Claim.State == jaywind.ClaimAnswered:
		respond(s, c, recorded(e.Claim.Reply))
	case e.Claim.State == jaywind.ClaimUnknown:
		respond(s, c, unknown("the call was sent and its answer was lost"))
	default:
		wait(s, c)
	}
}

// failClaim ends a call whose claim could not be committed or read.
func failClaim(s *table.State, c *table.ServiceCall) {
	if c.Phase == table.CallWaiting {
		respond(s, c, unknown("another request holds the key and its state can't be read now"))
		return
	}
	abandon(s, c, "the claim could not be recorded; whether an earlier request with the key was run is not known now")
}

// takeOwn sends a call whose claim is this router's, unless its time has passed.
func takeOwn(s *table.State, c *table.ServiceCall, state jaywind.ClaimState) {
	if state != jaywind.ClaimTaken || !s.Now.Before(c.Request.Deadline) {
		abandon(s, c, "the claim came too late")
		return
	}
	sendNext(s, c)
}

// wait lets another claimant finish.
func wait(s *table.State, c *table.ServiceCall) {
	if c.Phase != table.CallWaiting {
		c.Phase = table.CallWaiting
		c.GiveUpAt = earlier(s.Now.Add(waitLimit), c.Request.Deadline)
	}
	c.NextPoll = s.Now.Add(min(pollFirst<<c.Polls, pollLast))
	c.Polls = min(c.Polls+1, 8)
}

// abandon refuses a call that was not sent and releases what claim there may be.
func abandon(s *table.State, c *table.ServiceCall, reason string) {
	if c.Mode == table.ModeClaimed {
		s.Emit(table.RecordClaim{Claim: claimOf(c, jaywind.ClaimReleased)})
	}
	respond(s, c, notRun(s, reason))
}

func dropCaller(s *table.State, id jaywind.RequestID) {
	c := s.Calls[id]
	if c == nil {
		return
	}
	c.Responded = true
	if c.Phase == table.CallClaiming {
		abandon(s, c, "the caller went away")
		return
	}
	if c.Phase == table.CallWaiting || c.Mode == table.ModeIdempotent {
		delete(s.Calls, id)
	}
}

// watchAll looks at the timers of all calls in the order of their ids.
func (y Claim) watchAll(s *table.State) {
	for _, id := range slices.Sorted(maps.Keys(s.Calls)) {
		y.watch(s, s.Calls[id])
	}
}

func (y Claim) watch(s *table.State, c *table.ServiceCall) {
	switch c.Phase {
	case table.CallClaiming:
		if !s.Now.Before(c.GiveUpAt) {
			abandon(s, c, "the claim was not recorded in time; whether an earlier request with the key was run is not known now")
		}
	case table.CallWaiting:
		watchOther(s, c)
	case table.CallSending:
		y.watchSent(s, c)
	}
}

func watchOther(s *table.State, c *table.ServiceCall) {
	if !s.Now.Before(c.GiveUpAt) {
		respond(s, c, unknown("another request holds the key and has no answer on record yet"))
		return
	}
	if !c.NextPoll.IsZero() && !s.Now.Before(c.NextPoll) {
		commit(s, c)
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
