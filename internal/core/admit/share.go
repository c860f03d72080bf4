package admit

import (
	"slices"
	"time"

	"jaywind"
	"jaywind/internal/core/place"
	"jaywind/internal/core/rule"
	"jaywind/internal/core/table"
)

const (
	demandSpan  = 2 * time.Second  // over which requests are averaged, at least
	demandCap   = 30 * time.Second // the same, at most
	demandFresh = 3 * time.Second  // that a home's word counts
	activeFor   = time.Minute      // that a home's even share is kept for it after its last demand
	missedLimit = 3                // calls in a row after which a silent home counts as gone
	untoldLimit = 2 * time.Second  // that a router may go over an even share before it has told the others
)

// share returns the part of an organisation's limit that this router may give now.
//
// Homes that have told each other their demands share the limit max-min. What no
// home asked for within a minute is free for the others to use. A router that is
// no home is told nothing and gives what an even share of all routers would be.
func share(s *table.State, o *table.Organisation, u rule.Organisation) float64 {
	if o.Name == table.Unlisted {
		return 1 // the callers of unlisted organisations have homes of their own each
	}
	homes := homesOf(s, o)
	if len(homes) == 0 {
		return s.Membership.LimitShare()
	}
	if !isHomeOf(o, s.Fleet.Self.VM) {
		return 1 / float64(max(1, s.Membership.Members))
	}
	even := 1 / float64(len(homes))
	if !o.OverShareSince.IsZero() && s.Now.Sub(o.OverShareSince) > untoldLimit && !toldAll(s, o) {
		return even
	}
	own := o.Demand.RateAt(s.Now, spanOf(s, u))
	return max(even, fairRate(u.Rate, own, others(s, o, u))/u.Rate)
}

// homesOf returns the home routers of an organisation.
func homesOf(s *table.State, o *table.Organisation) []jaywind.Member {
	if o.Homes == nil || o.Epoch != s.Fleet.Epoch {
		o.Homes = place.HomeRouters(s.Fleet.Live(), o.Name)
		o.Epoch = s.Fleet.Epoch
	}
	return o.Homes
}

// isHomeOf tells whether a router is one of the homes that homesOf last returned.
func isHomeOf(o *table.Organisation, vm jaywind.VM) bool {
	return slices.ContainsFunc(o.Homes, func(m jaywind.Member) bool { return m.VM == vm })
}

// others returns the demands of the other routers that take part in the limit.
func others(s *table.State, o *table.Organisation, u rule.Organisation) []float64 {
	var out []float64
	for vm, p := range o.Peers {
		switch {
		case s.Now.Sub(p.HeardAt) <= demandFresh:
			out = append(out, p.Rate)
		case isHomeOf(o, vm) && p.Unanswered < missedLimit && s.Now.Sub(p.ActiveAt) <= activeFor:
			out = append(out, u.Rate/float64(len(o.Homes)))
		}
	}
	return out
}

// fairRate returns the max-min part of a rate for one demand among others; what nobody asks for goes by demand.
func fairRate(rate, own float64, others []float64) float64 {
	total := own
	for _, d := range others {
		total += d
	}
	if own == 0 {
		return max(0, rate-total)
	}
	if total <= rate {
		return rate * own / total
	}
	slices.Sort(others)
	left := len(others) + 1
	for _, d := range others {
		level := rate / float64(left)
		if d >= level {
			break
		}
		rate -= d
		left--
	}
	return min(own, rate/float64(left))
}

// spanOf returns the time over which demand is averaged, such that a single request is no more than an even share.
func spanOf(s *table.State, u rule.Organisation) time.Duration {
	refill := float64(max(1, s.Membership.Homes)) / u.Rate
	span := time.Duration(min(refill, demandCap.Seconds()) * float64(time.Second))
	return max(demandSpan, span)
}

// noteDemand counts a request, and marks its organisation when the demand is over an even share.
func noteDemand(s *table.State, o *table.Organisation, u rule.Organisation) {
	o.Demand.Add(s.Now, spanOf(s, u))
	if o.Name == table.Unlisted || !presses(s, o, u) {
		return
	}
	if s.Quotas.OverShare[o.Name] == nil {
		s.Quotas.OverShare[o.Name] = o
		o.OverShareSince = s.Now
	}
}

// presses tells whether other homes have to hear of an organisation's demand here.
func presses(s *table.State, o *table.Organisation, u rule.Organisation) bool {
	homes := homesOf(s, o)
	if len(homes) < 2 || !isHomeOf(o, s.Fleet.Self.VM) {
		return false
	}
	return o.Demand.RateAt(s.Now, spanOf(s, u)) > u.Rate/float64(len(homes))*overShare
}

const overShare = 1.001 // keeps a single request of a slow organisation from being over by rounding
