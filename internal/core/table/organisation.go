package table

import (
	"time"

	"jaywind"
	"jaywind/internal/core/rule"
)

// Organisation is the runtime state of an organisation; its limits are in the rules.
type Organisation struct {
	Name       jaywind.Organisation
	Tokens     float64   // tokens of the rate limit, each of which allows one request
	RefilledAt time.Time // when Tokens was last refilled

	Demand         Demand                     // demand of the callers at this router
	OverShareSince time.Time                  // since when the demand exceeds an even share of the limit; zero if it doesn't
	Peers          map[jaywind.VM]*PeerDemand // other routers that have reported a demand
	Homes          []jaywind.Member           // home routers: those that share the organisation's limit
	Epoch          uint64                     // Fleet.Epoch at which Homes was chosen
}

// Unlisted represents all organisations without a rule of their own; a rule with this name limits them together.
const Unlisted jaywind.Organisation = "default"

const (
	unlistedRate  = 200 // requests per second
	unlistedBurst = 400 // requests
)

// OrganisationFor returns the row in which an organisation's requests are counted, and the rule that limits them.
func (s *State) OrganisationFor(name jaywind.Organisation) (*Organisation, rule.Organisation) {
	limits, listed := s.Rules.Organisations[name]
	if !listed {
		name = Unlisted
		limits, listed = s.Rules.Organisations[name]
	}
	if !listed {
		limits = rule.Organisation{Name: name, Rate: unlistedRate, Burst: unlistedBurst, Weight: 1}
	}
	o := s.Organisations[name]
	if o == nil {
		o = &Organisation{Name: name}
		s.Organisations[name] = o
	}
	return o, limits
}
