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
	tellPeriod = time.Second            // between two words to the same home on an organisation
	callPause  = 200 * time.Millisecond // between two calls, so that a router makes at most 5 a second
	callLimit  = 400 * time.Millisecond // for an answer
	callDemand = 8                      // organisations in a call
)

// Quota exchanges demands between the home routers of organisations.
type Quota struct{}

// Step takes up what other homes say and, on a full tick, tells one of them what is due.
func (Quota) Step(s *table.State) {
	if s.Rules == nil {
		return
	}
	for _, e := range s.Events {
		switch e := e.(type) {
		case table.DemandsReceived:
			s.Emit(table.ReplyDemands{ReplyTo: e.ReplyTo, Demands: takeDemands(s, e)})
		case table.DemandsReplied:
			takeAnswer(s, e)
		}
	}
	if s.Full && len(s.Quotas.OverShare) > 0 && !s.Now.Before(s.Quotas.NextCall) {
		tellNext(s)
	}
}

// takeDemands notes the demands of another home and returns those here.
func takeDemands(s *table.State, e table.DemandsReceived) []jaywind.Demand {
	var reply []jaywind.Demand
	for _, d := range e.Demands {
		u, listed := s.Rules.Organisations[d.Organisation]
		if !listed || u.Rate <= 0 {
			continue
		}
		o, _ := s.OrganisationFor(d.Organisation)
		hear(s, o, e.From, d.Rate)
		reply = append(reply, jaywind.Demand{Organisation: o.Name, Rate: o.Demand.RateAt(s.Now, spanOf(s, u))})
	}
	return reply
}

// takeAnswer notes a home's own demands, or that it did not answer.
func takeAnswer(s *table.State, e table.DemandsReplied) {
	for _, d := range e.Sent {
		o := s.Organisations[d.Organisation]
		if o == nil {
			continue
		}
		if e.Err != nil {
			peerOf(s, o, e.From).Unanswered++
		} else {
			hear(s, o, e.From, rateIn(e.Demands, o.Name))
		}
	}
}

func rateIn(demands []jaywind.Demand, name jaywind.Organisation) float64 {
	for _, d := range demands {
		if d.Organisation == name {
			return d.Rate
		}
	}
	return 0
}

func hear(s *table.State, o *table.Organisation, vm jaywind.VM, rate float64) {
	p := peerOf(s, o, vm)
	p.Rate = max(0, rate)
	p.HeardAt = s.Now
	p.Unanswered = 0
	if rate > 0 {
		p.ActiveAt = s.Now
	}
}

// peerOf returns the row of another router; a new one takes the place of those that are long silent.
func peerOf(s *table.State, o *table.Organisation, vm jaywind.VM) *table.PeerDemand {
	if p := o.Peers[vm]; p != nil {
		return p
	}
	if o.Peers == nil {
		o.Peers = map[jaywind.VM]*table.PeerDemand{}
	}
	maps.DeleteFunc(o.Peers, func(_ jaywind.VM, p *table.PeerDemand) bool {
		return s.Now.Sub(p.HeardAt) > activeFor && s.Now.Sub(p.SentAt) > activeFor
	})
	p := &table.PeerDemand{}
	o.Peers[vm] = p
	return p
}

// tellNext calls the home that has waited longest for a word, with all that it shares.
func tellNext(s *table.State) {
	relax(s)
	target, due := longestUntold(s)
	if !due {
		return
	}
	s.Quotas.NextCall = s.Now.Add(callPause)
	var demands []jaywind.Demand
	for _, o := range sharedWith(s, target.VM) {
		rate := o.Demand.RateAt(s.Now, spanOf(s, s.Rules.Organisations[o.Name]))
		demands = append(demands, jaywind.Demand{Organisation: o.Name, Rate: rate})
		peerOf(s, o, target.VM).SentAt = s.Now
	}
	s.Emit(table.SendDemands{VM: target.VM, Address: target.Fleet, Demands: demands, Limit: callLimit})
}

// sharedWith returns the pressing organisations of another home that fit a call, those first that it has waited for longest.
func sharedWith(s *table.State, vm jaywind.VM) []*table.Organisation {
	var shared []*table.Organisation
	for _, o := range s.Quotas.OverShare {
		if isHomeOf(o, vm) {
			shared = append(shared, o)
		}
	}
	slices.SortFunc(shared, func(a, b *table.Organisation) int {
		return cmp.Or(peerOf(s, a, vm).SentAt.Compare(peerOf(s, b, vm).SentAt), cmp.Compare(a.Name, b.Name))
	})
	return shared[:min(callDemand, len(shared))]
}

// relax drops the organisations whose demand is no longer over an even share.
func relax(s *table.State) {
	for name, o := range s.Quotas.OverShare {
		u, listed := s.Rules.Organisations[name]
		if listed && u.Rate > 0 && presses(s, o, u) {
			continue
		}
		delete(s.Quotas.OverShare, name)
		o.OverShareSince = time.Time{}
	}
}

// longestUntold returns the home that is to be told next, if the last word to it is a period old.
func longestUntold(s *table.State) (jaywind.Member, bool) {
	var target jaywind.Member
	oldest := s.Now.Add(-tellPeriod)
	due := false
	for _, name := range slices.Sorted(maps.Keys(s.Quotas.OverShare)) {
		o := s.Quotas.OverShare[name]
		for _, m := range o.Homes {
			if m.VM == s.Fleet.Self.VM || m.Fleet == "" {
				continue
			}
			if told := peerOf(s, o, m.VM).SentAt; !told.After(oldest) {
				target, oldest, due = m, told, true
			}
		}
	}
	return target, due
}

// toldAll tells whether each other home was told of the demand here while that counts.
func toldAll(s *table.State, o *table.Organisation) bool {
	for _, m := range o.Homes {
		if m.VM != s.Fleet.Self.VM && s.Now.Sub(peerOf(s, o, m.VM).SentAt) > demandFresh {
			return false
		}
	}
	return true
}
