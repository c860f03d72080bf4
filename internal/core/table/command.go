package table

import (
	"time"

	"jaywind"
)

// Command is an output of a tick, which the router executes.
type Command interface{ command() }

// OpenStream opens the stream of an attempt.
type Open struct {
	Endpoint jaywind.EndpointID
	At       jaywind.Address
	Call     jaywind.Call
}

// CancelAttempt closes an attempt's stream and cancels the engine's work, unless a later attempt has resumed it.
type Cancel struct {
	Request  jaywind.RequestID
	Attempt  jaywind.Attempt
	Run      jaywind.Attempt
	At       jaywind.Address
	KeepWork bool // only close the connection
}

// ProbeProgress asks an engine over a new connection how far it has got with a request.
type Probe struct {
	Request jaywind.RequestID
	Attempt jaywind.Attempt
	Run     jaywind.Attempt
	At      jaywind.Address
	Limit   time.Duration
}

// DeliverToken sends a token to the caller.
type Deliver struct {
	Token jaywind.Token
	Mark  jaywind.Bookmark // the position after the token
	Tail  string           // bytes of an incomplete rune before the token
	Again bool             // received before this listener was attached
}

// Outcome is how a request ended.
type Outcome int

// Outcomes of a request.
const (
	OutcomeWhole    Outcome = iota // the answer was delivered completely
	OutcomeRefused                 // the request was not run
	OutcomeFailed                  // the generation started and was given up
	OutcomeMismatch                // the caller's bookmark does not match the known tokens
	OutcomeGone                    // the caller disconnected
)

// FinishRequest ends a request and tells the caller its outcome.
type Finish struct {
	Request    jaywind.RequestID
	Outcome    Outcome
	Reason     string
	RetryAfter time.Duration // delay before a retry, after a refusal or failure
	Mark       jaywind.Bookmark
	Listener   Listener // 0 for the request's current listener
}

func (Open) command()    {}
func (Cancel) command()  {}
func (Probe) command()   {}
func (Deliver) command() {}
func (Finish) command()  {}
