package jaywind

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// ErrEndpointReplaced is returned if another endpoint than the expected one now has the address; the call has not run.
var ErrEndpointReplaced = errors.New("another endpoint has the address")

// ErrIdleTimeout is returned if nothing was received for longer than the given limit.
var ErrIdleTimeout = errors.New("nothing came in time")

// ErrBadAnswer is wrapped by errors for an answer that can't be the endpoint's own complete answer to the call.
var ErrBadAnswer = errors.New("bad answer")

// ErrRelayLost is wrapped by errors of a connection that another router relays, if that router is lost. It says nothing about the
// endpoint; a call that was sent may have run.
var ErrRelayLost = errors.New("the router that relays the connection is lost")

// ErrPushedBack is returned for a call that was not sent, as its endpoint has asked this router for a pause.
var ErrPushedBack = fmt.Errorf("%w: the endpoint has asked for a pause", ErrNotSent)

// ErrLimited is returned for a call that was not sent, as the limit that its endpoint names for all routers is used up.
var ErrLimited = fmt.Errorf("%w: the endpoint's limit is used up", ErrPushedBack)

// EndpointRef names one incarnation of an endpoint.
type EndpointRef struct {
	ID          EndpointID
	Incarnation int64 // start of the incarnation, in Unix milliseconds; 0 if unknown
	Address     Address
}

// Rate is a number of requests per second.
type Rate float64

// EndpointNotice is what an endpoint says of itself in the head of an answer, whatever the answer is.
type EndpointNotice struct {
	Endpoint EndpointRef
	Via      Address       // the router through which the answer came; empty for none
	Leaving  bool          // it takes no new work
	Pause    time.Duration // for which it wants no call from this router; 0 if it asks for none
	Limited  bool          // it names a limit
	Limit    Rate          // of all routers together; valid only with Limited
	// Brittle says that it falls over if it has to turn away more than Tolerance calls in a second.
	Brittle   bool
	Tolerance int
	// SentAt is when the request was sent to which an answer names no limit; zero if the answer says nothing about one.
	SentAt time.Time
}

// EndpointObserver is told what endpoints say of themselves, and decides whether a call may be sent to one.
type EndpointObserver interface {
	// ObserveEndpoint is called before the answer that carries the notice is used.
	ObserveEndpoint(n EndpointNotice)
	// CheckSend returns ErrPushedBack if no call of any kind may be sent to an endpoint now.
	CheckSend(at EndpointRef) error
	// AdmitSend is CheckSend for a call that is about to be sent, which it counts against the limit of the endpoint. It returns
	// ErrLimited if that is used up, and may wait for other routers.
	AdmitSend(ctx context.Context, at EndpointRef, p Priority) error
}

// HeaderLines are header fields as they are sent, each with its line end. They take far less memory than an http.Header.
type HeaderLines []byte

// UpstreamRequest is an attempt to run a caller's request at an endpoint.
type UpstreamRequest struct {
	Request      RequestID
	Endpoint     EndpointRef
	Method       string
	Host         string
	Target       string      // path and query as sent by the caller
	Header       HeaderLines // the caller's end-to-end headers
	Body         []byte
	Organisation Organisation  // empty if the caller sent no API key
	TimeLeft     time.Duration // time until the caller gives up; 0 if unknown
	LastEventID  int64         // id of the last event that the caller has received; only used if Resumed
	Resumed      bool
	Standby      Address    // endpoint that keeps a copy of the run's memory; empty for none
	Copy         MemoryCopy // copy of the run's memory to continue from
	Urgent       bool       // has priority over new work at the endpoint
	First        bool       // has the most urgent priority of several that new work of its service has

	// OnStall is called each time that the endpoint of a stream may have stalled, which is when ErrIdleTimeout would be
	// returned. It returns for how long the stream waits on, or 0 if it does not. May be nil, for never.
	OnStall func() time.Duration
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
	Leaving     bool    // takes no new work
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
	// answer, it probes the endpoint each time that limit has passed, and returns ErrIdleTimeout if a probe shows that no
	// answer will come, or if one fails and OnStall does not wait on.
	Open(ctx context.Context, s UpstreamRequest, limit time.Duration) (EventStream, Reply, error)
	// Answers reports whether an endpoint answers a call that needs no slot before ctx ends.
	Answers(ctx context.Context, at EndpointRef) bool
	// HasEnded reports whether an endpoint does not answer any more at its address, or another one does; health is the path of its
	// service's health check, empty for none.
	HasEnded(ctx context.Context, at EndpointRef, health string) bool
	// CachedParts returns the parts of prompts that an endpoint keeps in memory.
	CachedParts(ctx context.Context, at EndpointRef) ([]CachedPart, error)
	// CopyMemory copies the memory of a run in progress at an endpoint to another endpoint; the run continues.
	CopyMemory(ctx context.Context, at EndpointRef, run RequestID, to Address) (MemoryCopy, error)
	// Identify asks the engine that now has an endpoint's address for its identity; health is the path of its service's
	// health check. An engine that reports itself unhealthy is an error.
	Identify(ctx context.Context, old EndpointRef, health string) (Identity, error)
}
