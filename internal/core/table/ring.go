package table

import (
	"time"

	"jaywind"
)

// Membership is a router's rank among the live routers; the zero value is that of a single router.
type Membership struct {
	Rank    int // starts at 0, in an order common to all routers
	Members int
	Homes   int    // number of routers that share the limits of each organisation
	Epoch   uint64 // Fleet.Epoch that this was computed from
}

// LimitShare returns this router's share of an organisation's limits.
func (m Membership) LimitShare() float64 {
	return 1 / float64(max(1, m.Homes))
}

// RingKey identifies a set of interchangeable endpoints.
type RingKey struct {
	Model   jaywind.Model
	Version jaywind.Version
}

// Ring holds all endpoints of a key in an order common to all routers; each router uses a window of it.
type Ring struct {
	IDs   []jaywind.EndpointID
	Start int // index of the first endpoint in the window
	Size  int // number of endpoints in the window
}

// At returns the i-th endpoint from the start of the window.
func (r *Ring) At(i int) jaywind.EndpointID {
	return r.IDs[(r.Start+i)%len(r.IDs)]
}

// Rings holds the rings, with the rules and the membership that they were computed from.
type Rings struct {
	Rules      jaywind.RulesVersion
	Membership Membership
	ByKey      map[RingKey]*Ring

	Polled   []jaywind.EndpointID // endpoints whose load this router polls
	NextPoll time.Time
}
