package table

import (
	"time"

	"jaywind"
)

// Command is one output of a tick.
type Command interface{ command() }

// Open asks for a stream of an attempt.
type Open struct {
	Endpoint jaywind.EndpointID
	At       jaywind.Address
	Call     jaywind.Call
}

// Cancel ends an attempt's stream and the engine's work up to that attempt.
type Cancel struct {
	Request  jaywind.RequestID
	Attempt  jaywind.Attempt
	Run      jaywind.Attempt
	At       jaywind.Address
	KeepWork bool // close the connection only
}

// Probe asks an engine over a new connection how far a request is.
type Probe struct {
	Request jaywind.RequestID
	Attempt jaywind.Attempt
	Run     jaywind.Attempt
	At      jaywind.Address
	Limit   time.Duration
}

// Deliver hands a token to the caller.
type Deliver struct {
	Token jaywind.Token
	Mark  jaywind.Bookmark // the place after the token
	Tail  string           // the bytes of a cut rune before the token
	Again bool             // taken before this listener joined
}

// Outcome is how a request ended.
type Outcome int

// The outcomes of a request.
const (
	OutcomeWhole    Outcome = iota // the whole answer was delivered
	OutcomeRefused                 // not run
	OutcomeFailed                  // started and given up
	OutcomeMismatch                // the caller's bookmark does not fit what is known
	OutcomeGone                    // the caller went away
)

// Finish is the final answer to a request.
type Finish struct {
	Request    jaywind.RequestID
	Outcome    Outcome
	Reason     string
	RetryAfter time.Duration // when to come back, on a refusal or failure
	Mark       jaywind.Bookmark
	Listener   Listener // 0 for the one that the answer goes to
}

func (Open) command()    {}
func (Cancel) command()  {}
func (Probe) command()   {}
func (Deliver) command() {}
func (Finish) command()  {}
