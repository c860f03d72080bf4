package embed

import (
	"jaywind/internal/backend/engine"
	"jaywind/internal/backend/service"
	"jaywind/internal/core/rule"
	"jaywind/internal/core/table"
	"jaywind/internal/provider/store"
)

// Ask is what a caller wants of Generate.
type Ask = table.GenerationRequest

// Final is how a generation ended.
type Final = table.FinishRequest

// Outcome is the kind of a generation's end.
type Outcome = table.Outcome

// The outcomes of a generation.
const (
	OutcomeWhole    = table.OutcomeCompleted
	OutcomeRefused  = table.OutcomeRefused
	OutcomeFailed   = table.OutcomeFailed
	OutcomeMismatch = table.OutcomeBookmarkMismatch
	OutcomeGone     = table.OutcomeCallerGone
)

// ServiceAsk is what a caller wants of Call.
type ServiceAsk = table.CallRequest

// Respond is the final answer to a call of a service.
type Respond = table.Respond

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
