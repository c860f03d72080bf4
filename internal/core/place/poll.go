package place

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"jaywind"
	"jaywind/internal/core/table"
)

const (
	pollPeriod = 125 * time.Millisecond // between polls of all endpoints together, whatever their number
	pollLeast  = 500 * time.Millisecond // between polls of one endpoint
	pollLimit  = 300 * time.Millisecond // for an endpoint to report
	pollWeight = 4                      // of endpoints in use against idle ones
)

// LoadPolls asks the endpoints of the windows for their load, one at a time at a constant rate.
type LoadPolls struct{}

// Step emits the poll that is due.
func (LoadPolls) Step(s *table.State) {
	if !s.Full || s.Rules == nil || s.Now.Before(s.Rings.NextPoll) {
		return
	}
	s.Rings.NextPoll = s.Now.Add(pollPeriod)
	e := mostDue(s)
	if e == nil {
		return
	}
	e.PolledAt = s.Now
	s.Emit(table.PollLoad{Endpoint: e.ID, Address: s.Rules.Endpoints[e.ID].URL, Limit: pollLimit})
}

// mostDue returns the endpoint whose report is oldest, with those in use before others. Routers take
// endpoints that are due alike in orders of their own, so that one of them soon asks each.
func mostDue(s *table.State) *table.Endpoint {
	var best *table.Endpoint
	high := time.Duration(0)
	for _, id := range watched(s) {
		e := s.Endpoints[id]
		if e == nil || s.Now.Sub(e.PolledAt) < pollLeast {
			continue
		}
		age := min(s.Now.Sub(e.PolledAt), time.Hour)
		if e.Inflight > 0 {
			age *= pollWeight
		}
		if best == nil || age > high || age == high && turnOf(s, e) < turnOf(s, best) {
			best, high = e, age
		}
	}
	return best
}

func turnOf(s *table.State, e *table.Endpoint) uint64 {
	return mix(scoreOf(e.ID) ^ xxhash.Sum64String(string(s.Self)))
}

// watched returns the endpoints of all windows, and all that a move brings.
func watched(s *table.State) []jaywind.EndpointID {
	refreshRings(s)
	if s.Rings.Polled != nil {
		return s.Rings.Polled
	}
	for k, g := range s.Rings.ByKey {
		size := g.Size
		if m, moves := s.Rules.Moves[k.Model]; moves && m.To == k.Version {
			size = len(g.IDs)
		}
		for i := range size {
			s.Rings.Polled = append(s.Rings.Polled, g.At(i))
		}
	}
	return s.Rings.Polled
}

// LoadReports takes up the load reports of endpoints.
type LoadReports struct{}

// Step handles the reports among the events.
func (LoadReports) Step(s *table.State) {
	for _, e := range s.Events {
		if e, ok := e.(table.LoadReported); ok {
			takeReport(s, e)
		}
	}
}

func takeReport(s *table.State, e table.LoadReported) {
	p := s.Endpoints[e.Endpoint]
	if p == nil {
		return
	}
	p.PollFailed = e.Err != nil
	if p.PollFailed {
		return
	}
	p.Load = e.Load
	p.LoadAt = s.Now
	p.OtherInflight = max(0, e.Load.Running+e.Load.Queued-p.Inflight)
}

// Membership keeps the router's place among the live routers.
type Membership struct{}

// Step takes up a changed list of members.
func (Membership) Step(s *table.State) {
	if s.Membership.Members > 0 && s.Membership.Epoch == s.Fleet.Epoch {
		return
	}
	live := s.Fleet.Live()
	s.Membership.Epoch = s.Fleet.Epoch
	s.Membership.Members = len(live)
	s.Membership.Homes = len(HomeRouters(live, ""))
	for i, m := range live {
		if m.VM == s.Self {
			s.Membership.Rank = i
		}
	}
}
