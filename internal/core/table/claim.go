package table

import (
	"time"

	"jaywind"
)

// ServiceAsk is a call to a plain service that a caller wants made.
type ServiceAsk struct {
	ID           jaywind.RequestID
	Organisation jaywind.Organisation
	Service      jaywind.ServiceName
	Key          jaywind.IdempotencyKey // empty for none
	Nonce        jaywind.Nonce          // never given to another ask, also across restarts
	Body         jaywind.Digest         // of method, path and body
	Exchange     jaywind.Exchange
	Deadline     time.Time
}

// Mode is how often a call may be sent.
type Mode int

// The modes of calls.
const (
	ModeRepeat  Mode = iota // idempotent: may be retried elsewhere
	ModeSingle              // sent at most once by this router, without a claim
	ModeClaimed             // sent at most once by the fleet, after a claim
)

// CallPhase is where a call to a service stands.
type CallPhase int

// The phases of a call, in their usual order.
const (
	CallClaiming CallPhase = iota // the claim is being committed
	CallWaiting                   // another claimant has the call
	CallSending                   // an endpoint may have it
)

// ServiceCall is one call to a plain service.
type ServiceCall struct {
	Ask       ServiceAsk
	Mode      Mode
	Phase     CallPhase
	Arrived   time.Time
	Endpoint  jaywind.EndpointID // of the current try
	Try       int                // number of the current try
	Sent      time.Time          // when the current try was handed over
	Tried     map[jaywind.EndpointID]bool
	Responded bool      // the caller has its final answer
	GiveUp    time.Time // when claiming or waiting ends
	NextPoll  time.Time // zero while a commit is out
	Polls     int
}

// Ledger is what the answers to a router's own commits tell of the store; the zero value has seen none.
type Ledger struct {
	Out    int       // commits without an answer yet
	Silent time.Time // since when no commit was answered well; zero when none is wanted
	Failed time.Time // when one was last not committed
	Trial  time.Time // when one was last let through in spite of that
}

// RetryKey names a retry budget: of an organisation, an endpoint, or the answers of a model that leave live engines.
type RetryKey struct {
	Organisation jaywind.Organisation
	Endpoint     jaywind.EndpointID
	Model        jaywind.Model
}

// RetryBudget bounds retries by a share of first tries.
type RetryBudget struct {
	Spent float64 // retries less what first tries have earned since
}

// Result is what a caller of a service is told.
type Result int

// The results of calls to services.
const (
	ResultReply   Result = iota // the service's reply
	ResultNotRun                // this call was not run
	ResultUnknown               // it may have run once and is not run again
	ResultReused                // the key belongs to another call
	ResultInvalid               // it can't be run as it stands
	ResultFailed                // an idempotent call got no reply
)

// ServiceArrived is a call that a caller has just made.
type ServiceArrived struct{ Ask ServiceAsk }

// Claimed is what the ledger has on record after a Commit, or why that is not known.
type Claimed struct {
	Request jaywind.RequestID
	Claim   jaywind.Claim
	Err     error
}

// Replied is the end of one try.
type Replied struct {
	Request jaywind.RequestID
	Try     int
	Reply   jaywind.Reply
	Err     error // wraps jaywind.ErrNotSent when no byte of the call left
}

// ServiceGone says that the caller of a service has disconnected.
type ServiceGone struct{ Request jaywind.RequestID }

// Commit asks the ledger for a claim, within Limit.
type Commit struct {
	Request jaywind.RequestID
	Claim   jaywind.Claim
	Limit   time.Duration
}

// Settle records the last state of a claim in the background.
type Settle struct{ Claim jaywind.Claim }

// Send hands a call to an endpoint, once.
type Send struct {
	Request  jaywind.RequestID
	Try      int
	Endpoint jaywind.EndpointID
	At       jaywind.Address
	Exchange jaywind.Exchange
	Limit    time.Duration
}

// Respond is the final answer to a call.
type Respond struct {
	Request    jaywind.RequestID
	Result     Result
	Reply      jaywind.Reply // of ResultReply
	Replayed   bool          // Reply was on record from an earlier call
	Reason     string
	RetryAfter time.Duration
}

func (ServiceArrived) event() {}
func (Claimed) event()        {}
func (Replied) event()        {}
func (ServiceGone) event()    {}
func (Commit) command()       {}
func (Settle) command()       {}
func (Send) command()         {}
func (Respond) command()      {}
