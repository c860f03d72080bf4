package table

import (
	"time"

	"jaywind"
	"jaywind/internal/core/rule"
)

// Event is an input of a tick.
type Event interface{ event() }

// GenerationRequest is a caller's request for a generation.
type GenerationRequest struct {
	ID           jaywind.RequestID
	Organisation jaywind.Organisation
	Model        jaywind.Model
	Route        jaywind.Route
	Prompt       string
	MaxTokens    int // tokens in the answer
	Seed         jaywind.Seed
	Priority     jaywind.Priority
	Deadline     time.Time         // zero for none
	Bookmark     *jaywind.Bookmark // the position up to which the caller has read, on a reconnect
	Prefix       []jaywind.Token   // the tokens from 0 to at least Bookmark.Position, if known
	Listener     Listener          // the connection that receives the answer
	Retry        bool              // a retry of an earlier request, perhaps at another router
	KeepsTokens  bool              // on a reconnect, the caller sends back the tokens that it has read
}

// RequestArrived reports a new request from a caller.
type RequestArrived struct{ Request GenerationRequest }

// FrameReceived is a frame received on a stream.
type FrameReceived struct {
	Request jaywind.RequestID
	Attempt jaywind.Attempt // the attempt whose stream it arrived on
	Frame   jaywind.Frame
}

// StreamLost reports that an attempt's stream ended without an end frame.
type StreamLost struct {
	Request jaywind.RequestID
	Attempt jaywind.Attempt
	Err     error
}

// ProbeAnswered is the answer to a ProbeProgress, or its failure.
type ProbeAnswered struct {
	Request  jaywind.RequestID
	Attempt  jaywind.Attempt
	Progress jaywind.Progress
	Err      error
}

// CallerGone reports that the caller of a request has disconnected.
type CallerGone struct {
	Request  jaywind.RequestID
	Listener Listener // 0 for the request's current listener
}

// RulesReceived is a set of rules read from the store or received from a peer.
type RulesReceived struct {
	Version jaywind.RulesVersion
	Set     *rule.Set
}

// LoadReported is an endpoint's load report, or the failure to get one.
type LoadReported struct {
	Endpoint jaywind.EndpointID
	Load     jaywind.Load
	Err      error
}

// StopRequested starts a graceful shutdown.
type StopRequested struct{}

func (RequestArrived) event() {}
func (FrameReceived) event()  {}
func (StreamLost) event()     {}
func (ProbeAnswered) event()  {}
func (CallerGone) event()     {}
func (RulesReceived) event()  {}
func (LoadReported) event()   {}
func (StopRequested) event()  {}
