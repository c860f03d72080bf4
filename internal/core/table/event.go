package table

import (
	"time"

	"jaywind"
	"jaywind/internal/core/rule"
)

// Event is one input of a tick.
type Event interface{ event() }

// Ask is what a caller wants.
type Ask struct {
	ID           jaywind.RequestID
	Organisation jaywind.Organisation
	Model        jaywind.Model
	Route        jaywind.Route
	Prompt       string
	Limit        int // tokens
	Seed         jaywind.Seed
	Priority     jaywind.Priority
	Deadline     time.Time         // zero for none
	Mark         *jaywind.Bookmark // where the caller has read to, on a reconnect
	Prefix       []jaywind.Token   // the tokens from 0 to at least Mark.Position, where known
	Listener     Listener          // the connection that the answer goes to
	Retry        bool              // asked before, perhaps at another router
	Keeps        bool              // the caller sends back the tokens that it has read
}

// Arrived is a request that a caller has just made.
type Arrived struct{ Ask Ask }

// Framed is a frame of a stream.
type Framed struct {
	Request jaywind.RequestID
	Attempt jaywind.Attempt // the attempt whose stream carried it
	Frame   jaywind.Frame
}

// Lost is the end of an attempt's stream without an end frame.
type Lost struct {
	Request jaywind.RequestID
	Attempt jaywind.Attempt
	Err     error
}

// Probed is the answer to a Probe.
type Probed struct {
	Request  jaywind.RequestID
	Attempt  jaywind.Attempt
	Progress jaywind.Progress
	Err      error
}

// Gone says that the caller of a request has disconnected.
type Gone struct {
	Request  jaywind.RequestID
	Listener Listener // 0 for the one that the answer goes to
}

// Ruled is a set of rules that was read from the store or heard from a peer.
type Ruled struct {
	Version jaywind.RulesVersion
	Set     *rule.Set
}

// Loaded is a load report of an endpoint, or the failure to get one.
type Loaded struct {
	Endpoint jaywind.EndpointID
	Load     jaywind.Load
	Err      error
}

// Stop asks for a graceful shutdown.
type Stop struct{}

func (Arrived) event() {}
func (Framed) event()  {}
func (Lost) event()    {}
func (Probed) event()  {}
func (Gone) event()    {}
func (Ruled) event()   {}
func (Loaded) event()  {}
func (Stop) event()    {}
