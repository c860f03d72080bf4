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
	minDemandWindow   = 2 * time.Second  // shortest time over which demand is averaged
	maxDemandWindow   = 30 * time.Second // longest time over which demand is averaged
	demandTTL         = 3 * time.Second  // for which a reported demand is valid
	reservationTTL    = time.Minute      // for which an unreachable home's even share stays reserved after its last demand
	maxMissedCalls    = 3                // consecutive failed calls after which an unreachable home loses its reservation
	maxUnreportedTime = 2 * time.Second  // for which a router may exceed an even share before all homes know its demand
)

// limitShare returns the fraction of an organisation's limit that this router may use now.
//
// Homes that know each other's demand share the limit max-min fairly. The part of
// a home without demand in the last minute is free for the others. A router that
// is not a home receives no demands and uses an even share among all routers.
func limitShare(s *table.State, o *table.Organisation, u rule.Organisation) float64 {
	if o.Name == table.Unlisted {
		return 1 // each unlisted organisation has its own homes, so no share of the common limit can be derived
	}
	homes := homesOf(s, o)
	if len(homes) == 0 {
		return s.Membership.LimitShare()
	}
	if !isHomeOf(o, s.Fleet.Self.VM) {
		return 1 / float64(max(1, s.Membership.Members))
	}
	even := 1 / float64(len(homes))
	if !o.OverShareSince.IsZero() && s.Now.Sub(o.OverShareSince) > maxUnreportedTime && !reportedToAllHomes(s, o) {
		return even
	}
	own := o.Demand.RateAt(s.Now, demandWindow(s, u))
	return max(even, maxMinRate(u.Rate, own, peerDemands(s, o, u))/u.Rate)
}

// homesOf returns the home routers of an organisation and caches them until the membership changes.
func homesOf(s *table.State, o *table.Organisation) []jaywind.Member {
	if o.Homes == nil || o.Epoch != s.Fleet.Epoch {
		o.Homes = place.HomeRouters(s.Fleet.Live(), o.Name)
		o.Epoch = s.Fleet.Epoch
	}
	return o.Homes
}

// isHomeOf reports whether a router is one of the homes that homesOf last returned.
func isHomeOf(o *table.Organisation, vm jaywind.VM) bool {
	return slices.ContainsFunc(o.Homes, func(m jaywind.Member) bool { return m.VM == vm })
}

// peerDemands returns the demands of other routers: the reported ones that are still valid, and the
// even share of a home that has not answered for a short time.
func peerDemands(s *table.State, o *table.Organisation, u rule.Organisation) []float64 {
	var out []float64
	for vm, p := range o.Peers {
		switch {
		case s.Now.Sub(p.HeardAt) <= demandTTL:
			out = append(out, p.Rate)
		case isHomeOf(o, vm) && p.Unanswered < maxMissedCalls && s.Now.Sub(p.ActiveAt) <= reservationTTL:
			out = append(out, u.Rate/float64(len(o.Homes)))
		}
	}
	return out
}

// maxMinRate returns one demand's max-min fair part of a rate. What exceeds the total demand is
// divided in proportion to demand.
func maxMinRate(rate, own float64, others []float64) float64 {
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

// demandWindow returns the time over which demand is averaged. It is long enough that a single
// request does not exceed an even share.
func demandWindow(s *table.State, u rule.Organisation) time.Duration {
	refill := float64(max(1, s.Membership.Homes)) / u.Rate
	span := time.Duration(min(refill, maxDemandWindow.Seconds()) * float64(time.Second))
	return max(minDemandWindow, span)
}

// recordDemand counts a request, and adds its organisation to OverShare when its demand exceeds an even share.
func recordDemand(s *table.State, o *table.Organisation, u rule.Organisation) {
	o.Demand.Add(s.Now, demandWindow(s, u))
	if o.Name == table.Unlisted || !exceedsEvenShare(s, o, u) {
		return
	}
	if s.Quotas.OverShare[o.Name] == nil {
		s.Quotas.OverShare[o.Name] = o
		o.OverShareSince = s.Now
	}
}

// exceedsEvenShare reports whether this router is a home whose demand has to be reported to the others.
func exceedsEvenShare(s *table.State, o *table.Organisation, u rule.Organisation) bool {
	homes := homesOf(s, o)
	if len(homes) < 2 || !isHomeOf(o, s.Fleet.Self.VM) {
		return false
	}
	return o.Demand.RateAt(s.Now, demandWindow(s, u)) > u.Rate/float64(len(homes))*evenShareTolerance
}

const evenShareTolerance = 1.001 // absorbs rounding, so that a single request of a low-rate organisation does not exceed its even share
