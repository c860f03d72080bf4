package router

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"jaywind"
	"jaywind/internal/core/endpoint"
	"jaywind/internal/core/route"
)

// Ask is one request of a caller.
type Ask struct {
	ID      jaywind.RequestID
	Method  string
	Host    string
	Target  string // path and query, as they were sent
	Path    string
	Header  http.Header // end to end, without what the router sets itself
	Body    []byte
	Key     string // of the caller's organisation
	Arrived time.Time
	Within  time.Duration // that the caller waits; 0 if it does not say
	After   int64         // id of the last event that the caller has; counts only with Resumed
	Resumed bool
	Model   jaywind.Model      // of a generation
	Prompt  int                // tokens
	Subject jaywind.PromptPart // the last part of the prompt, which is the request's own; empty if unknown
	Output  int                // tokens at most
}

// Reason says why a request ends without an endpoint's answer.
type Reason string

// The reasons, with what they promise.
const (
	ReasonUnready Reason = "no configuration yet"           // not run
	ReasonRoute   Reason = "no such route"                  // not run
	ReasonKey     Reason = "unknown key"                    // not run
	ReasonBusy    Reason = "no endpoint takes the call"     // not run
	ReasonLate    Reason = "no answer within the time"      // may have run
	ReasonUnsent  Reason = "not sent within the time"       // not run
	ReasonLost    Reason = "the endpoint's answer was lost" // may have run
)

// Refusal is the router's own final answer.
type Refusal struct {
	Reason Reason
	After  time.Duration // when to come back; 0 if that is no use
}

// Answer takes the answer to one request.
type Answer interface {
	// Reply passes on an endpoint's whole answer.
	Reply(r jaywind.Reply)
	// Refuse gives the router's own answer; it is called before anything else.
	Refuse(r Refusal)
	// Begin passes on the head of a stream.
	Begin(head jaywind.Reply)
	// Event passes on one event, or returns an error when the caller is gone.
	Event(raw []byte) error
	// Break ends a stream that is not whole, so that the caller sees it.
	Break()
}

// call is one request on its way.
type call struct {
	ask     *Ask
	answer  Answer
	route   *route.Route
	set     *route.Set
	service *route.Service
	holder  route.KeyOwner
	due     time.Time // the final answer is given by then
	need    endpoint.Requirements
	sends   int  // bytes of which may have left
	ran     bool // may have run
	last    jaywind.EndpointID
	change  *change // the roll-out that its outcomes count for; nil for none
}

// fields are what each log line on a call says.
func (c *call) fields(more ...zap.Field) []zap.Field {
	return append([]zap.Field{
		zap.String("request", string(c.ask.ID)),
		zap.String("route", string(c.route.Name)),
		zap.Uint64("config", c.set.Version),
		zap.Int("sends", c.sends),
		zap.String("endpoint", string(c.last)),
		zap.Int64("age_ms", time.Since(c.ask.Arrived).Milliseconds()),
	}, more...)
}

// left returns the time until the call is due.
func (c *call) left(now time.Time) time.Duration {
	return c.due.Sub(now)
}
