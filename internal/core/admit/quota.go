package admit

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"jaywind"
	"jaywind/internal/core/table"
)

const (
	exchangePeriod = time.Second            // between two reports on an organisation to the same home
	callInterval   = 200 * time.Millisecond // between two calls; a router makes at most 5 calls a second
	callTimeout    = 400 * time.Millisecond // to receive an answer
	maxCallDemands = 8                      // organisations in one call
)

// Quota is the system that exchanges demands between the home routers of organisations.
type Quota struct{}

// Step handles demands and answers of other homes and, on a full tick, reports demands to one home if due.
func (Quota) Step(s *table.State) {
	if s.Rules == nil {
		return
	}
	for _, e := range s.Events {
		switch e := e.(type) {
		case table.DemandsReceived:
			s.Emit(table.ReplyDemands{ReplyTo: e.ReplyTo, Demands: receiveDemands(s, e)})
		case table.DemandsReplied:
			receiveAnswer(s, e)
		}
	}
	if s.Full && len(s.Quotas.OverShare) > 0 && !s.Now.Before(s.Quotas.NextCall) {
		sendNextDemands(s)
	}
}

// receiveDemands records the demands of another home and returns this router's demands for the reply.
func receiveDemands(s *table.State, e table.DemandsReceived) []jaywind.Demand {
	var reply []jaywind.Demand
	for _, d := range e.Demands {
		u, listed := s.Rules.Organisations[d.Organisation]
		if !listed || u.Rate <= 0 {
			continue
		}
		o, _ := s.OrganisationFor(d.Organisation)
		recordPeer(s, o, e.From, d.Rate)
		reply = append(reply, jaywind.Demand{Organisation: o.Name, Rate: o.Demand.RateAt(s.Now, demandWindow(s, u))})
	}
	return reply
}

// receiveAnswer records the demands in a home's answer, or that the call failed.
func receiveAnswer(s *table.State, e table.DemandsReplied) {
	for _, d := range e.Sent {
		o := s.Organisations[d.Organisation]
		if o == nil {
			continue
		}
		if e.Err != nil {
			peerDemand(s, o, e.From).Unanswered++
		} else {
			recordPeer(s, o, e.From, rateOf(e.Demands, o.Name))
		}
	}
}

func rateOf(demands []jaywind.Demand, name jaywind.Organisation) float64 {
	for _, d := range demands {
		if d.Organisation == name {
			return d.Rate
		}
	}
	return 0
}

func recordPeer(s *table.State, o *table.Organisation, vm jaywind.VM, rate float64) {
	p := peerDemand(s, o, vm)
	p.Rate = max(0, rate)
	p.HeardAt = s.Now
	p.Unanswered = 0
	if rate > 0 {
		p.ActiveAt = s.Now
	}
}

// peerDemand returns the record of another router. When it adds one, it removes those that have expired.
func peerDemand(s *table.State, o *table.Organisation, vm jaywind.VM) *table.PeerDemand {
	if p := o.Peers[vm]; p != nil {
		return p
	}
	if o.Peers == nil {
		o.Peers = map[jaywind.VM]*table.PeerDemand{}
	}
	maps.DeleteFunc(o.Peers, func(_ jaywind.VM, p *table.PeerDemand) bool {
		return s.Now.Sub(p.HeardAt) > reservationTTL && s.Now.Sub(p.SentAt) > reservationTTL
	})
	p := &table.PeerDemand{}
	o.Peers[vm] = p
	return p
}

// sendNextDemands reports demands to the home whose last report is oldest: those of the organisations over
// their even share that both routers are homes of.
func sendNextDemands(s *table.State) {
	pruneOverShare(s)
	target, due := nextRecipient(s)
	if !due {
		return
	}
	s.Quotas.NextCall = s.Now.Add(callInterval)
	var demands []jaywind.Demand
	for _, o := range overShareSharedWith(s, target.VM) {
		rate := o.Demand.RateAt(s.Now, demandWindow(s, s.Rules.Organisations[o.Name]))
		demands = append(demands, jaywind.Demand{Organisation: o.Name, Rate: rate})
		peerDemand(s, o, target.VM).SentAt = s.Now
	}
	s.Emit(table.SendDemands{VM: target.VM, Address: target.Fleet, Demands: demands, Limit: callTimeout})
}

// overShareSharedWith returns the organisations over their even share that another home shares,
// oldest report first and as many as fit into one call.
func overShareSharedWith(s *table.State, vm jaywind.VM) []*table.Organisation {
	var shared []*table.Organisation
	for _, o := range s.Quotas.OverShare {
		if isHomeOf(o, vm) {
			shared = append(shared, o)
		}
	}
	slices.SortFunc(shared, func(a, b *table.Organisation) int {
		return cmp.Or(peerDemand(s, a, vm).SentAt.Compare(peerDemand(s, b, vm).SentAt), cmp.Compare(a.Name, b.Name))
	})
	return shared[:min(maxCallDemands, len(shared))]
}

// pruneOverShare removes organisations from OverShare whose demand no longer exceeds an even share.
func pruneOverShare(s *table.State) {
	for name, o := range s.Quotas.OverShare {
		u, listed := s.Rules.Organisations[name]
		if listed && u.Rate > 0 && exceedsEvenShare(s, o, u) {
			continue
		}
		delete(s.Quotas.OverShare, name)
		o.OverShareSince = time.Time{}
	}
}

// nextRecipient returns the home to which the last report is oldest, if that report is at least one period old.
func nextRecipient(s *table.State) (jaywind.Member, bool) {
	var target jaywind.Member
	oldest := s.Now.Add(-exchangePeriod)
	due := false
	for _, name := range slices.Sorted(maps.Keys(s.Quotas.OverShare)) {
		o := s.Quotas.OverShare[name]
		for _, m := range o.Homes {
			if m.VM == s.Fleet.Self.VM || m.Fleet == "" {
				continue
			}
			if reported := peerDemand(s, o, m.VM).SentAt; !reported.After(oldest) {
				target, oldest, due = m, reported, true
			}
		}
	}
	return target, due
}

// reportedToAllHomes reports whether each other home has a valid report of the demand at this router.
func reportedToAllHomes(s *table.State, o *table.Organisation) bool {
	for _, m := range o.Homes {
		if m.VM != s.Fleet.Self.VM && s.Now.Sub(peerDemand(s, o, m.VM).SentAt) > demandTTL {
			return false
		}
	}
	return true
}
