package embed

import (
	"jaywind/internal/backend/engine"
	"jaywind/internal/backend/service"
	"jaywind/internal/core/rule"
	"jaywind/internal/core/table"
	"jaywind/internal/provider/store"
)

// GenerationRequest is what a caller wants of Generate.
type GenerationRequest = table.Ask

// GenerationResult is how a generation ended.
type GenerationResult = table.Finish

// Outcome is the kind of a generation's end.
type Outcome = table.Outcome

// The outcomes of a generation.
const (
	OutcomeCompleted        = table.OutcomeWhole
	OutcomeRefused          = table.OutcomeRefused
	OutcomeFailed           = table.OutcomeFailed
	OutcomeBookmarkMismatch = table.OutcomeMismatch
	OutcomeCallerGone       = table.OutcomeGone
)

// CallRequest is what a caller wants of Call.
type CallRequest = table.ServiceAsk

// CallResponse is the final answer to a call of a service.
type CallResponse = table.Respond

// Rules is a set of rules.
type Rules = rule.Set

// Finding is one fault in a file of rules with its place.
type Finding = rule.Finding

// ParseRules reads rules from text and returns them with all findings, ordered by place.
func ParseRules(file, text string) (*Rules, []Finding) {
	return rule.Parse(file, text)
}

// EngineClient is the jaywind.Engine that speaks to engines over HTTP.
type EngineClient = engine.Client

// ServiceClient is the jaywind.Service that speaks to plain services over HTTP.
type ServiceClient = service.Client

// StoreClient is the jaywind.Store that speaks to the platform's service over HTTP.
type StoreClient = store.Client
