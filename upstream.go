package jaywind

import (
	"context"
	"errors"
	"net/http"
	"time"
)

// ErrEndpointReplaced is returned if another endpoint than the expected one now has the address; the call has not run.
var ErrEndpointReplaced = errors.New("another endpoint has the address")

// ErrIdleTimeout is returned if nothing was received for longer than the given limit.
var ErrIdleTimeout = errors.New("nothing came in time")

// ErrBadAnswer is wrapped by errors for an answer that can't be the endpoint's own complete answer to the call.
var ErrBadAnswer = errors.New("bad answer")

// UpstreamRequest is an attempt to run a caller's request at an endpoint.
type UpstreamRequest struct {
	Request      RequestID
	Endpoint     EndpointID
	Incarnation  int64 // start of the endpoint's incarnation, in Unix milliseconds; 0 if unknown
	Address      Address
	Method       string
	Host         string
	Target       string      // path and query as sent by the caller
	Header       http.Header // the caller's end-to-end headers
	Body         []byte
	Organisation Organisation  // empty if the caller sent no API key
	TimeLeft     time.Duration // time until the caller gives up; 0 if unknown
	LastEventID  int64         // id of the last event that the caller has received; only used if Resumed
	Resumed      bool
	Standby      Address    // endpoint that keeps a copy of the run's memory; empty for none
	Copy         MemoryCopy // copy of the run's memory to continue from
	Urgent       bool       // has priority over new work at the endpoint
}

// MemoryCopy identifies a copy of a run's memory; the zero value stands for none.
type MemoryCopy struct {
	Address Address // where Name is valid: the endpoint that keeps the copy, or the one that it was made from
	Name    string
}

// CachedPart is a part of a prompt that an endpoint keeps in memory.
type CachedPart struct {
	Part   PromptPart
	Tokens int
}

// Identity is what an endpoint reports about itself.
type Identity struct {
	ID          EndpointID
	Incarnation int64   // start of the incarnation, in Unix milliseconds; 0 if not reported
	Models      []Model // models that an engine serves
}

// Event is an event of a stream, with its raw bytes.
type Event struct {
	ID  int64
	Raw []byte // including the blank line at its end; valid until the next call
}

// EventStream is a stream of events from an endpoint.
type EventStream interface {
	// Head returns the status and header of the answer, with an empty body.
	Head() Reply
	// Next returns the next complete event, io.EOF after the end of the stream, ErrIdleTimeout after limit, or another error
	// if the stream broke.
	Next(limit time.Duration) (Event, error)
	// Close closes the connection, which cancels the run unless it has ended.
	Close() error
}

// Upstream sends requests to endpoints. Errors wrap ErrNotSent, ErrBusy or ErrEndpointReplaced if the request
// has certainly not run; after any other error it may have run.
type Upstream interface {
	// Do sends a request and returns its complete answer.
	Do(ctx context.Context, s UpstreamRequest) (Reply, error)
	// Open sends a request for a stream; an answer that is not a stream is returned as a Reply. While there is no
	// answer, it probes the endpoint each time that limit has passed, and returns ErrIdleTimeout if a probe fails.
	Open(ctx context.Context, s UpstreamRequest, limit time.Duration) (EventStream, Reply, error)
	// CachedParts returns the parts of prompts that an endpoint keeps in memory.
	CachedParts(ctx context.Context, at Address) ([]CachedPart, error)
	// CopyMemory copies the memory of a run in progress at an address to another endpoint; the run continues.
	CopyMemory(ctx context.Context, at Address, run RequestID, to Address) (MemoryCopy, error)
	// Identify asks the engine at an address for its identity; health is the path of its service's health check. An
	// engine that reports itself unhealthy is an error.
	Identify(ctx context.Context, at Address, health string) (Identity, error)
}
