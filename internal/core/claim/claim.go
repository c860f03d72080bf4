package claim

import (
	"maps"
	"slices"
	"time"

	"jaywind"
	"jaywind/internal/core/table"
)

// Claim is the system that handles calls to plain services.
type Claim struct {
	// HedgeFactor sets the time after which an unanswered idempotent call is also sent to another
	// endpoint, as a multiple of the 0.99 quantile of the endpoint's response times; 0 stands for 2.
	HedgeFactor float64
}

// Step handles the events of the tick and, on a full tick, the timers.
func (y Claim) Step(s *table.State) {
	for _, e := range s.Events {
		switch e := e.(type) {
		case table.ServiceArrived:
			arrive(s, e.Request)
		case table.CommitCompleted:
			receiveClaim(s, e)
		case table.ServiceReplied:
			receiveReply(s, e)
		case table.ServiceCallerGone:
			handleCallerGone(s, e.Request)
		}
	}
	if s.Full {
		y.checkTimers(s)
	}
}

func arrive(s *table.State, a table.CallRequest) {
	c := &table.ServiceCall{Request: a, Arrived: s.Now, Tried: map[jaywind.EndpointID]bool{}, Open: map[int]jaywind.EndpointID{}}
	s.Calls[a.ID] = c
	if refuseUnrunnable(s, c) {
		return
	}
	c.Mode = modeOf(s.Rules, a)
	if c.Mode != table.ModeClaimed {
		sendNext(s, c)
		return
	}
	if a.Key == "" {
		respondAndForget(s, c, table.Respond{Result: table.ResultInvalid, Reason: "the call runs at most once and needs an Idempotency-Key"})
		return
	}
	if storeStalled(s) {
		respondAndForget(s, c, notRun(s, "claims can't be recorded now"))
		return
	}
	c.Phase = table.CallClaiming
	c.GiveUpAt = earlier(s.Now.Add(claimTimeout), s.Now.Add(a.Deadline.Sub(s.Now)/2))
	commit(s, c)
}

// commit asks the ledger to record the claim, or to return the claim that is already recorded for the key.
func commit(s *table.State, c *table.ServiceCall) {
	c.NextPoll = time.Time{}
	recordCommit(s)
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

// receiveClaim continues or ends a call according to the claim that the ledger has recorded.
func receiveClaim(s *table.State, e table.CommitCompleted) {
	recordAnswer(s, e.Err)
	c := s.Calls[e.Request]
	if c == nil || c.Phase == table.CallSending {
		return
	}
	switch {
	case e.Err != nil:
		handleClaimError(s, c)
	case e.Claim.Body != c.Request.Body:
		respondAndForget(s, c, table.Respond{Result: table.ResultKeyReused, Reason: "the Idempotency-Key belongs to another call"})
	case e.Claim.Nonce == c.Request.Nonce:
		sendClaimed(s, c, e.Claim.State)
	case e.Claim.State == jaywind.ClaimAnswered:
		respondAndForget(s, c, replay(e.Claim.Reply))
	case e.Claim.State == jaywind.ClaimUnknown:
		respondAndForget(s, c, unknown("the call was sent and its answer was lost"))
	default:
		awaitOther(s, c)
	}
}

// handleClaimError ends a call whose claim could not be committed or read.
func handleClaimError(s *table.State, c *table.ServiceCall) {
	if c.Phase == table.CallWaiting {
		respondAndForget(s, c, unknown("another request holds the key and its state can't be read now"))
		return
	}
	refuseUnsent(s, c, "the claim could not be recorded; whether an earlier request with the key was run is not known now")
}

// sendClaimed sends a call that made the recorded claim, unless the claim is no longer in state
// ClaimTaken or the deadline has passed.
func sendClaimed(s *table.State, c *table.ServiceCall, state jaywind.ClaimState) {
	if state != jaywind.ClaimTaken || !s.Now.Before(c.Request.Deadline) {
		refuseUnsent(s, c, "the claim came too late")
		return
	}
	sendNext(s, c)
}

// awaitOther waits for the request that holds the claim, and polls its state with exponential backoff.
func awaitOther(s *table.State, c *table.ServiceCall) {
	if c.Phase != table.CallWaiting {
		c.Phase = table.CallWaiting
		c.GiveUpAt = earlier(s.Now.Add(waitTimeout), c.Request.Deadline)
	}
	c.NextPoll = s.Now.Add(min(initialPollDelay<<c.Polls, maxPollDelay))
	c.Polls = min(c.Polls+1, 8) // keeps the shift from overflowing
}

// refuseUnsent refuses a call that was not sent and releases its claim, which may have been recorded.
func refuseUnsent(s *table.State, c *table.ServiceCall, reason string) {
	if c.Mode == table.ModeClaimed {
		s.Emit(table.RecordClaim{Claim: claimOf(c, jaywind.ClaimReleased)})
	}
	respondAndForget(s, c, notRun(s, reason))
}

func handleCallerGone(s *table.State, id jaywind.RequestID) {
	c := s.Calls[id]
	if c == nil {
		return
	}
	if c.Mode == table.ModeIdempotent {
		respondAndForget(s, c, failed("the caller went away")) // ends the sends
		return
	}
	c.Responded = true
	switch c.Phase {
	case table.CallClaiming:
		refuseUnsent(s, c, "the caller went away")
	case table.CallWaiting:
		delete(s.Calls, id)
	}
}

// checkTimers checks the timers of all calls in the order of their ids.
func (y Claim) checkTimers(s *table.State) {
	for _, id := range slices.Sorted(maps.Keys(s.Calls)) {
		y.checkTimer(s, s.Calls[id])
	}
}

func (y Claim) checkTimer(s *table.State, c *table.ServiceCall) {
	switch c.Phase {
	case table.CallClaiming:
		if !s.Now.Before(c.GiveUpAt) {
			refuseUnsent(s, c, "the claim was not recorded in time; whether an earlier request with the key was run is not known now")
		}
	case table.CallWaiting:
		checkWaiting(s, c)
	case table.CallSending:
		y.checkSent(s, c)
	}
}

func checkWaiting(s *table.State, c *table.ServiceCall) {
	if !s.Now.Before(c.GiveUpAt) {
		respondAndForget(s, c, unknown("another request holds the key and has no answer on record yet"))
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
