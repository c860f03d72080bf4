package embed

import (
	"jaywind/internal/backend/engine"
	"jaywind/internal/backend/service"
	"jaywind/internal/core/rule"
	"jaywind/internal/core/table"
	"jaywind/internal/provider/store"
)

// GenerationRequest is the argument of Router.Generate.
type GenerationRequest = table.GenerationRequest

// GenerationResult tells how a generation ended.
type GenerationResult = table.FinishRequest

// Outcome classifies how a generation ended.
type Outcome = table.Outcome

// The outcomes of a generation.
const (
	OutcomeCompleted        = table.OutcomeCompleted
	OutcomeRefused          = table.OutcomeRefused
	OutcomeFailed           = table.OutcomeFailed
	OutcomeBookmarkMismatch = table.OutcomeBookmarkMismatch
	OutcomeCallerGone       = table.OutcomeCallerGone
)

// CallRequest is the argument of Router.Call.
type CallRequest = table.CallRequest

// CallResponse is the final response to a service call.
type CallResponse = table.Respond

// Rules is a parsed set of rules.
type Rules = rule.Set

// Finding is an error in a rules file, with its position.
type Finding = rule.Finding

// ParseRules parses the text of a rules file and returns the rules with all findings, ordered by position.
func ParseRules(file, text string) (*Rules, []Finding) {
	return rule.Parse(file, text)
}

// EngineClient implements jaywind.Engine over HTTP.
type EngineClient = engine.Client

// ServiceClient implements jaywind.Service over HTTP.
type ServiceClient = service.Client

// StoreClient implements jaywind.Store over HTTP, with the platform's store service.
type StoreClient = store.Client
