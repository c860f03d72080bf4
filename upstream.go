package jaywind

import (
	"context"
	"errors"
	"net/http"
	"time"
)

// ErrReplaced is returned when another endpoint than the one meant has the address; the call was not run.
var ErrReplaced = errors.New("another endpoint has the address")

// ErrSilent is returned when nothing came for longer than the caller of the function allowed.
var ErrSilent = errors.New("nothing came in time")

// ErrAnswer wraps an answer that can't be the endpoint's own whole answer to the call.
var ErrAnswer = errors.New("bad answer")

// Sending is one attempt to have a caller's request run at an endpoint.
type Sending struct {
	Request      RequestID
	Endpoint     EndpointID
	Born         int64 // start of the endpoint's incarnation, in Unix milliseconds; 0 if unknown
	At           Address
	Method       string
	Host         string
	Target       string      // path and query, as the caller sent them
	Header       http.Header // of the caller, end to end
	Body         []byte
	Organisation Organisation  // empty without a key
	Left         time.Duration // until the caller gives up; 0 if that is not known
	After        int64         // id of the last event that the caller has; counts only with Resumed
	Resumed      bool
	Standby      Address // keeps a copy of the run's memory; empty for none
	Copy         Copy    // of the run's memory, to go on from
	Urgent       bool    // goes before new work at the endpoint
}

// Copy names a copy of a run's memory; the zero value names none.
type Copy struct {
	At   Address // that the name counts at: the endpoint that keeps the copy, or the one that it was made from
	Name string
}

// HeldPart is a part of a prompt that an endpoint keeps.
type HeldPart struct {
	Part   PromptPart
	Tokens int
}

// Identity is what an endpoint says of itself.
type Identity struct {
	ID     EndpointID
	Born   int64   // start of the incarnation, in Unix milliseconds; 0 if it does not say
	Models []Model // that an engine serves
}

// Event is one event of a stream, with the bytes that carry it.
type Event struct {
	ID  int64
	Raw []byte // with the blank line that ends it; valid until the next call
}

// Events is a stream of events at an endpoint.
type Events interface {
	// Head returns the status and header of the answer; its body is empty.
	Head() Reply
	// Next returns the next whole event, io.EOF after the whole stream, ErrSilent after limit, or another error of a broken stream.
	Next(limit time.Duration) (Event, error)
	// Close ends the connection, which ends the run unless it is over.
	Close() error
}

// Upstream sends requests to endpoints. Errors wrap ErrNotSent, ErrBusy or ErrReplaced where the request
// has certainly not run; after any other error it may have.
type Upstream interface {
	// Do sends a plain request and returns its whole answer.
	Do(ctx context.Context, s Sending) (Reply, error)
	// Open sends a request for a stream; an answer that is none is returned as a Reply. While no answer
	// comes, it probes the endpoint each time that limit is over, and returns ErrSilent if that fails.
	Open(ctx context.Context, s Sending, limit time.Duration) (Events, Reply, error)
	// Held returns the parts of prompts that an endpoint keeps in memory.
	Held(ctx context.Context, at Address) ([]HeldPart, error)
	// Duplicate copies the memory of a run that has begun at an address to another endpoint, and the run goes on.
	Duplicate(ctx context.Context, at Address, run RequestID, to Address) (Copy, error)
	// Identify asks the engine at an address who it is; health is the path of its service's health check. It is an error
	// if the engine does not count itself as healthy.
	Identify(ctx context.Context, at Address, health string) (Identity, error)
}
