package place

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"jaywind"
	"jaywind/internal/core/table"
)

const (
	pollInterval            = 125 * time.Millisecond // between a router's polls, whatever the number of endpoints
	minEndpointPollInterval = 500 * time.Millisecond // between polls of one endpoint
	pollTimeout             = 300 * time.Millisecond // for an endpoint to report
	inUsePollWeight         = 4                      // factor on the time since the last poll, for endpoints with requests in flight
)

// LoadPolls asks the endpoints of the windows for their load, one at a time at a constant rate.
type LoadPolls struct{}

// Step emits the poll that is due, if any.
func (LoadPolls) Step(s *table.State) {
	if !s.Full || s.Rules == nil || s.Now.Before(s.Rings.NextPoll) {
		return
	}
	s.Rings.NextPoll = s.Now.Add(pollInterval)
	e := nextPoll(s)
	if e == nil {
		return
	}
	e.PolledAt = s.Now
	s.Emit(table.PollLoad{Endpoint: e.ID, Address: s.Rules.Endpoints[e.ID].URL, Limit: pollTimeout})
}

// nextPoll returns the endpoint polled the longest ago, weighted towards endpoints in use. Each router breaks
// ties in an order of its own, so that together they soon cover all endpoints.
func nextPoll(s *table.State) *table.Endpoint {
	var best *table.Endpoint
	high := time.Duration(0)
	for _, id := range polledEndpoints(s) {
		e := s.Endpoints[id]
		if e == nil || s.Now.Sub(e.PolledAt) < minEndpointPollInterval {
			continue
		}
		age := min(s.Now.Sub(e.PolledAt), time.Hour)
		if e.Inflight > 0 {
			age *= inUsePollWeight
		}
		if best == nil || age > high || age == high && pollTieBreak(s, e) < pollTieBreak(s, best) {
			best, high = e, age
		}
	}
	return best
}

func pollTieBreak(s *table.State, e *table.Endpoint) uint64 {
	return mixHash(endpointHash(e.ID) ^ xxhash.Sum64String(string(s.Self)))
}

// polledEndpoints returns the endpoints of all windows, and those of the whole ring for the new version of a move.
func polledEndpoints(s *table.State) []jaywind.EndpointID {
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

// LoadReports applies the load reports of endpoints.
type LoadReports struct{}

// Step handles the reports among the events.
func (LoadReports) Step(s *table.State) {
	for _, e := range s.Events {
		if e, ok := e.(table.LoadReported); ok {
			handleReport(s, e)
		}
	}
}

func handleReport(s *table.State, e table.LoadReported) {
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

// Membership maintains the router's rank among the live routers, and their number.
type Membership struct{}

// Step recomputes the membership when the list of members has changed.
func (Membership) Step(s *table.State) {
	if s.Membership.Members > 0 && s.Membership.Epoch == s.Fleet.Epoch {
		return
	}
	live := s.Fleet.Live()
	s.Membership.Epoch = s.Fleet.Epoch
	s.Membership.Members = len(live)
	s.Membership.Homes = len(HomeRouters(live, "")) // the number is the same for all organisations
	for i, m := range live {
		if m.VM == s.Self {
			s.Membership.Rank = i
		}
	}
}
