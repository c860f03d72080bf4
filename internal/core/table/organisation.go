package table

import (
	"time"

	"jaywind"
	"jaywind/internal/core/rule"
)

// Organisation is what is known of an organisation beyond its rule.
type Organisation struct {
	Name   jaywind.Organisation
	Tokens float64   // requests that may start now
	Filled time.Time // when Tokens was last brought up to date

	Demand  Demand                     // of the callers at this router
	Pressed time.Time                  // since when the demand is over an even share; zero when it isn't
	Peers   map[jaywind.VM]*PeerDemand // other routers that have said anything
	Homes   []jaywind.Member           // the routers that share the limit
	Epoch   uint64                     // of the list of members that Homes was chosen from
}

// Unlisted stands for all organisations without a rule of their own; a rule of this name limits them together.
const Unlisted jaywind.Organisation = "default"

const (
	unlistedRate  = 200 // requests a second
	unlistedBurst = 400 // requests
)

// Account returns the row that an organisation's requests count in, and its rule.
func (s *State) Account(name jaywind.Organisation) (*Organisation, rule.Organisation) {
	u, listed := s.Rules.Organisations[name]
	if !listed {
		name = Unlisted
		u, listed = s.Rules.Organisations[name]
	}
	if !listed {
		u = rule.Organisation{Name: name, Rate: unlistedRate, Burst: unlistedBurst, Weight: 1}
	}
	o := s.Organisations[name]
	if o == nil {
		o = &Organisation{Name: name}
		s.Organisations[name] = o
	}
	return o, u
}
