package table

import (
	"time"

	"jaywind"
)

// CallRequest is a caller's request to a plain service.
type CallRequest struct {
	ID           jaywind.RequestID
	Organisation jaywind.Organisation
	Service      jaywind.ServiceName
	Key          jaywind.IdempotencyKey // empty for none
	Nonce        jaywind.Nonce          // unique to this request, also across restarts
	Body         jaywind.Digest         // digest of method, path and body
	HTTP         jaywind.ServiceRequest
	Deadline     time.Time
}

// Mode says how often a call may be sent.
type Mode int

// Delivery modes of calls.
const (
	ModeIdempotent Mode = iota // idempotent: may be retried at another endpoint
	ModeAtMostOnce             // sent at most once by this router; no claim is recorded
	ModeClaimed                // sent at most once by all routers together, after its claim is recorded
)

// CallPhase is the state of a call to a service.
type CallPhase int

// The phases of a call, in their usual order.
const (
	CallClaiming CallPhase = iota // the claim is being committed
	CallWaiting                   // another router or an earlier request holds the claim
	CallSending                   // sent to an endpoint, without an answer yet
)

// ServiceCall is one call to a plain service.
type ServiceCall struct {
	Request   CallRequest
	Mode      Mode
	Phase     CallPhase
	Arrived   time.Time
	Endpoint  jaywind.EndpointID // of the current attempt
	Try       int                // number of the current attempt
	Sent      time.Time          // when the current attempt was sent
	Tried     map[jaywind.EndpointID]bool
	Open      map[int]jaywind.EndpointID // endpoints of the attempts without an answer, by number
	Retrying  bool                       // the current attempt has failed or is silent, and counts as failed
	NextRetry time.Time                  // when another endpoint is looked for again while the call waits for its open attempts
	Responded bool                       // the caller has received its final answer
	GiveUpAt  time.Time                  // when claiming or waiting is given up
	NextPoll  time.Time                  // next poll of the claim; zero while a commit has no answer yet
	Polls     int
}

// CommitHealth tracks the outcomes of a router's own commits, as a sign of whether the store can be written.
type CommitHealth struct {
	Outstanding     int       // commits without an answer yet
	UnansweredSince time.Time // since when commits have been outstanding without a success; zero when none is outstanding
	FailedAt        time.Time // when a commit last failed
	ProbedAt        time.Time // when a trial commit was last allowed after a failure
}

// RetryKey identifies a retry budget: that of an organisation, of an endpoint, or of the generations of a model that are
// moved away from engines which are still alive.
type RetryKey struct {
	Organisation jaywind.Organisation
	Endpoint     jaywind.EndpointID
	Model        jaywind.Model
}

// RetryBudget limits retries to a share of the first attempts.
type RetryBudget struct {
	Spent float64 // retries, less the share that later first attempts have paid for
}

// Result is the result of a call to a service, as reported to the caller.
type Result int

// Results of calls to services.
const (
	ResultReply     Result = iota // the service replied
	ResultNotRun                  // the call was not run
	ResultUnknown                 // the call may have run once and is not repeated
	ResultKeyReused               // the idempotency key belongs to another call
	ResultInvalid                 // the call is invalid and can't be run
	ResultFailed                  // an idempotent call received no reply
)

// ServiceArrived reports a new request from a caller to a service.
type ServiceArrived struct{ Request CallRequest }

// CommitCompleted is the claim on record in the ledger after a CommitClaim, or the error that left it unknown.
type CommitCompleted struct {
	Request jaywind.RequestID
	Claim   jaywind.Claim
	Err     error
}

// ServiceReplied is the reply to one attempt, or its failure.
type ServiceReplied struct {
	Request jaywind.RequestID
	Try     int
	Reply   jaywind.Reply
	Err     error // wraps jaywind.ErrNotSent when no byte of the call was sent
}

// ServiceCallerGone reports that the caller of a service has disconnected.
type ServiceCallerGone struct{ Request jaywind.RequestID }

// CommitClaim asks the ledger to record a claim within Limit.
type CommitClaim struct {
	Request jaywind.RequestID
	Claim   jaywind.Claim
	Limit   time.Duration
}

// RecordClaim records the final state of a claim in the background.
type RecordClaim struct{ Claim jaywind.Claim }

// SendCall sends a call to an endpoint, once.
type SendCall struct {
	Request  jaywind.RequestID
	Try      int
	Endpoint jaywind.EndpointID
	Address  jaywind.Address
	HTTP     jaywind.ServiceRequest
	Limit    time.Duration
}

// Respond sends the final answer to the caller.
type Respond struct {
	Request    jaywind.RequestID
	Result     Result
	Reply      jaywind.Reply // for ResultReply
	Replayed   bool          // Reply is the recorded reply to an earlier call
	Reason     string
	RetryAfter time.Duration
}

func (ServiceArrived) event()    {}
func (CommitCompleted) event()   {}
func (ServiceReplied) event()    {}
func (ServiceCallerGone) event() {}
func (CommitClaim) command()     {}
func (RecordClaim) command()     {}
func (SendCall) command()        {}
func (Respond) command()         {}
