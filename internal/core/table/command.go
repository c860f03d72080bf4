package table

import (
	"time"

	"jaywind"
)

// Command is an output of a tick, which the router executes.
type Command interface{ command() }

// OpenStream opens the stream of an attempt.
type OpenStream struct {
	Endpoint jaywind.EndpointID
	Address  jaywind.Address
	Call     jaywind.Call
}

// CancelAttempt closes an attempt's stream and cancels the engine's work, unless a later attempt has resumed it.
type CancelAttempt struct {
	Request  jaywind.RequestID
	Attempt  jaywind.Attempt
	Run      jaywind.Attempt
	Address  jaywind.Address
	KeepWork bool // only close the connection
}

// ProbeProgress asks an engine over a new connection how far it has got with a request.
type ProbeProgress struct {
	Request jaywind.RequestID
	Attempt jaywind.Attempt
	Run     jaywind.Attempt
	Address jaywind.Address
	Limit   time.Duration
}

// DeliverToken sends a token to the caller.
type DeliverToken struct {
	Token       jaywind.Token
	Bookmark    jaywind.Bookmark // the position after the token
	PartialRune string           // bytes of an incomplete rune before the token
	Replayed    bool             // received before this listener was attached
}

// Outcome is how a request ended.
type Outcome int

// Outcomes of a request.
const (
	OutcomeCompleted        Outcome = iota // the answer was delivered completely
	OutcomeRefused                         // the request was not run
	OutcomeFailed                          // the generation started and was given up
	OutcomeBookmarkMismatch                // the caller's bookmark does not match the known tokens
	OutcomeCallerGone                      // the caller disconnected
)

// FinishRequest ends a request and tells the caller its outcome.
type FinishRequest struct {
	Request    jaywind.RequestID
	Outcome    Outcome
	Reason     string
	RetryAfter time.Duration // delay before a retry, after a refusal or failure
	Bookmark   jaywind.Bookmark
	Listener   Listener // 0 for the request's current listener
}

func (OpenStream) command()    {}
func (CancelAttempt) command() {}
func (ProbeProgress) command() {}
func (DeliverToken) command()  {}
func (FinishRequest) command() {}
