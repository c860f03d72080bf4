package table

import (
	"time"

	"jaywind"
)

// Membership is a router's place among the live routers; zero stands for the only one.
type Membership struct {
	Rank    int // from 0, in the order that all routers agree on
	Members int
	Homes   int    // routers that share the limits of each organisation
	Epoch   uint64 // of the list of members
}

// Part returns the share of an organisation's limits that this router may give.
func (t Membership) Part() float64 {
	return 1 / float64(max(1, t.Homes))
}

// RingKey names the endpoints that are interchangeable.
type RingKey struct {
	Model   jaywind.Model
	Version jaywind.Version
}

// Ring is all endpoints of a key in an order common to all routers, of which this router uses a window.
type Ring struct {
	IDs  []jaywind.EndpointID
	From int // first of the window
	Size int // of the window
}

// At returns the i-th endpoint from the start of the window.
func (g *Ring) At(i int) jaywind.EndpointID {
	return g.IDs[(g.From+i)%len(g.IDs)]
}

// Rings holds the rings of the rules and the membership that they were made for.
type Rings struct {
	Rules      jaywind.RulesVersion
	Membership Membership
	ByKey      map[RingKey]*Ring

	Watched  []jaywind.EndpointID // whose load is polled
	NextPoll time.Time
}
