package jaywind

import "time"

// RequestID identifies one request of a caller across routers and attempts.
type RequestID string

// Organisation identifies the organisation on whose behalf a request is made.
type Organisation string

// Model is the name of a model that callers ask for.
type Model string

// Version is one version of a model's weights.
type Version string

// Route is the name of a kind of traffic, as the traffic rules divide it.
type Route string

// PromptPart identifies a part of a prompt; prompts that share their beginning share its parts.
type PromptPart string

// EndpointID identifies one engine or service endpoint.
type EndpointID string

// ServiceName is the name of a plain service behind the router.
type ServiceName string

// VM identifies one entry VM, and so the router that runs on it.
type VM string

// Domain is a failure domain.
type Domain string

// Address is a base URL with a numeric host, such as http://127.0.0.1:8101.
type Address string

// Attempt is the fencing number of one opened stream of a request; a higher one supersedes.
type Attempt uint64

// Position counts the tokens before a place in a generation, so 0 is its start.
type Position int

// TokenID is an engine's number for a token; 0 where the engine gives none.
type TokenID int64

// Seed is the sampling seed that, with the version, pins a generation.
type Seed uint64

// Fence is the fencing number that an order to an endpoint carries.
type Fence uint64

// Priority orders work on an engine; higher goes first.
type Priority int

// RulesVersion numbers the accepted sets of rules, the first being 1.
type RulesVersion uint64

// Clock tells the time, so that tests can hold it.
type Clock interface {
	// Now returns the current time with a monotonic reading where there is one.
	Now() time.Time
}

// SystemClock is the Clock of the machine.
type SystemClock struct{}

// Now returns time.Now.
func (SystemClock) Now() time.Time { return time.Now() }
