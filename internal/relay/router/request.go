package router

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"jaywind"
	"jaywind/internal/core/endpoint"
	"jaywind/internal/core/route"
	"jaywind/internal/core/suspect"
)

// Request is one request of a caller.
type Request struct {
	ID           jaywind.RequestID
	Method       string
	Host         string
	Target       string              // path and query, as received
	Path         string              // as received, without the query
	Header       jaywind.HeaderLines // end-to-end headers, without those that the router sets itself
	Body         []byte
	APIKey       string // identifies the caller's organisation
	Arrived      time.Time
	Timeout      time.Duration // how long the caller waits; 0 if unknown
	LastEventID  int64         // id of the last event that the caller received; valid only with Resumed
	Resumed      bool
	Model        jaywind.Model        // of a generation; empty for other requests
	PromptTokens int                  // length of the prompt in tokens
	LastPart     jaywind.PromptPart   // last part of the prompt, which only this request has; empty if unknown
	SharedParts  []jaywind.PromptPart // parts before the last one, which other requests may have too
	MaxTokens    int                  // largest number of output tokens
}

// Reason says why a request ends without a response of an endpoint. Names of metrics are made from its text.
type Reason string

// The reasons, and whether the request may have run at an endpoint.
const (
	ReasonNoConfig    Reason = "no configuration yet"                    // not run
	ReasonNoRoute     Reason = "no such route"                           // not run
	ReasonUnknownKey  Reason = "unknown key"                             // not run
	ReasonBusy        Reason = "no endpoint takes the call"              // not run
	ReasonPaused      Reason = "all endpoints ask for a pause"           // not run
	ReasonLimited     Reason = "the limits of all endpoints are used up" // not run
	ReasonNoRoom      Reason = "no engine has room in time"              // not run
	ReasonQuarantined Reason = "part of the prompt crashes engines"      // not run
	ReasonDeadly      Reason = "the request crashes endpoints"           // not run
	ReasonRejecting   Reason = "the service rejects calls"               // not run
	ReasonTimeout     Reason = "no answer within the time"               // may have run
	ReasonStopping    Reason = "the router stops"                        // may have run
	ReasonNotSent     Reason = "not sent within the time"                // not run
	ReasonAnswerLost  Reason = "the endpoint's answer was lost"          // may have run
)

// Refusal is a final response that the router makes itself.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration // delay after which the caller may try again; 0 if that is of no use
}

// ResponseWriter writes the response to one request.
type ResponseWriter interface {
	// Reply writes an endpoint's whole response.
	Reply(r jaywind.Reply)
	// Refuse writes the router's own response; nothing was written before.
	Refuse(r Refusal)
	// BeginStream writes the status and header of a stream.
	BeginStream(head jaywind.Reply)
	// WriteEvent writes one event, or returns an error when the caller has disconnected.
	WriteEvent(raw []byte) error
	// AbortStream ends an incomplete stream, or a request without a response, in a way that the caller can detect.
	AbortStream()
}

// call is the state of one request.
type call struct {
	request       *Request
	response      ResponseWriter
	route         *route.Route
	set           *route.Set
	service       *route.Service
	keyOwner      route.KeyOwner
	deadline      time.Time // of the final response
	requirements  endpoint.Requirements
	limitRefusals int  // attempts that were not sent because the limit of the endpoint is used up
	losses        int  // attempts whose endpoint closed the connection
	attempts      int  // attempts of which an endpoint may have received bytes
	mayHaveRun    bool // at an endpoint
	lastEndpoint  jaywind.EndpointID
	whole         jaywind.PromptPart // stands for the whole request; empty until wholePart is called
	draw          float64            // in [0, 1); the new version of a roll-out may run the call if it is below its share
	tracker       *rolloutTracker    // roll-out that counts the outcomes of this call; nil for none
	observation   *observation       // of the current attempt; nil for none
	hedgeable     bool               // counted as a request that may be hedged
	hedged        bool               // a second attempt was sent beside the first one
	balancing     balancing          // of a plain call
	isProbe       bool               // let through although it is quarantined; it may run once
}

// wholePart returns the part that stands for the whole request. Repeats of the request under other ids have the same one.
func (c *call) wholePart() jaywind.PromptPart {
	if c.whole == "" {
		q := c.request
		fields := [][]byte{[]byte(q.Method), []byte(q.Host), []byte(q.Target), []byte(c.keyOwner.Organisation), q.Body, []byte(q.LastPart)}
		for _, p := range q.SharedParts {
			fields = append(fields, []byte(p))
		}
		c.whole = suspect.RequestPart(fields...)
	}
	return c.whole
}

// parts returns the shared parts of the prompt and the part that stands for the whole request.
func (c *call) parts() []jaywind.PromptPart {
	return append(slices.Clone(c.request.SharedParts), c.wholePart())
}

// fields returns the fields of each log line about a call.
func (c *call) fields(more ...zap.Field) []zap.Field {
	return append([]zap.Field{
		zap.String("request", c.request.ID.Logged()),
		zap.String("route", string(c.route.Name)),
		zap.Uint64("config", c.set.Version),
		zap.Int("sends", c.attempts),
		zap.String("endpoint", string(c.lastEndpoint)),
		zap.Int64("age_ms", time.Since(c.request.Arrived).Milliseconds()),
	}, more...)
}

// viaField is the log field for the router through which an answer came.
func viaField(via jaywind.Address) zap.Field {
	if via == "" {
		return zap.Skip()
	}
	return zap.String("via", string(via))
}

// timeLeft returns the time until the deadline of the call.
func (c *call) timeLeft(now time.Time) time.Duration {
	return c.deadline.Sub(now)
}
