package jaywind

import "time"

// RequestID identifies a caller's request across routers and attempts.
type RequestID string

const maxLoggedBytes = 96 // of a text that a caller has chosen

// Logged returns the part of an id that log lines carry.
func (r RequestID) Logged() string { return string(r[:min(len(r), maxLoggedBytes)]) }

// Organisation identifies the organisation on whose behalf a request is made.
type Organisation string

// Model is the name of a model, as callers request it.
type Model string

// Version is the name of a version of a model's weights.
type Version string

// Route is the name of a class of traffic that is defined by the traffic rules.
type Route string

// PromptPart identifies a part of a prompt; prompts with a common prefix share the parts of the prefix.
type PromptPart string

// EndpointID identifies an engine or service endpoint.
type EndpointID string

// ServiceName is the name of a plain service behind the router.
type ServiceName string

// VM identifies an entry VM and the router that runs on it.
type VM string

// Domain is the name of a failure domain.
type Domain string

// Address is a base URL with a numeric host, such as http://127.0.0.1:8101.
type Address string

// Attempt is the fencing number of a stream opened for a request; a higher number supersedes lower ones.
type Attempt uint64

// Position is the number of tokens before a place in a generation; 0 is its start.
type Position int

// TokenID is the engine's id of a token; 0 if the engine sends none.
type TokenID int64

// Seed is the sampling seed; together with the version, it makes a generation reproducible.
type Seed uint64

// Fence is the fencing number of an order to an endpoint.
type Fence uint64

// Priority orders work on an engine; higher values go first.
type Priority int

// Priorities of calls to an endpoint that takes few of them.
const (
	PriorityBackground Priority = iota // no request needs the call now, such as a copy of memory
	PriorityNormal                     // new requests and their retries
	PriorityUrgent                     // streams that have begun
)

// RulesVersion numbers the accepted sets of rules, starting at 1.
type RulesVersion uint64

// Clock is a source of time that tests can replace.
type Clock interface {
	// Now returns the current time, with a monotonic reading if there is one.
	Now() time.Time
}

// SystemClock is the system's Clock.
type SystemClock struct{}

// Now returns time.Now.
func (SystemClock) Now() time.Time { return time.Now() }
