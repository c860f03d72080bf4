package embed

import (
	"cmp"
	"context"
	"slices"
	"time"

	"jaywind"
	"jaywind/internal/core/member"
	"jaywind/internal/core/table"
)

// Status is what a router knows of the fleet at one time.
type Status struct {
	Self      jaywind.Member
	Members   []jaywind.Member // with the dead, without Self
	Known     int              // members that count for a majority, with Self
	Live      int              // of Known
	Cut       bool             // on the smaller side of a cut, without the store
	StoreAge  time.Duration    // since a known member reached the store; negative for never
	Requests  int              // generations and calls that are not ended
	Stopping  bool
	Leaving   []jaywind.EndpointID // endpoints that get no new work
	Endpoints int
	Moves     []table.Move
}

// Status returns a copy of what the router knows.
func (r *Router) Status(ctx context.Context) (Status, error) {
	var out Status
	err := r.inspect(ctx, func(s *table.State) { out = statusOf(s) })
	return out, err
}

// inspect runs look between two ticks.
func (r *Router) inspect(ctx context.Context, look func(s *table.State)) error {
	r.init()
	done := make(chan struct{})
	select {
	case r.looks <- func() { look(r.core.State); close(done) }:
	case <-r.stopped:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
	<-done
	return nil
}

func statusOf(s *table.State) Status {
	f := &s.Fleet
	out := Status{Self: f.Self, Cut: f.Partitioned, StoreAge: -1, Requests: len(s.Requests) + len(s.Calls), Stopping: s.Stopping}
	out.Live, out.Known = member.QuorumCounts(f)
	if !f.StoreReachedAt.IsZero() {
		out.StoreAge = s.Now.Sub(f.StoreReachedAt)
	}
	for _, m := range f.Members {
		out.Members = append(out.Members, m.Member)
	}
	slices.SortFunc(out.Members, func(a, b jaywind.Member) int { return cmp.Compare(a.VM, b.VM) })
	for _, m := range s.Moves {
		out.Moves = append(out.Moves, table.Move{ID: m.ID, Rule: m.Rule, State: m.State, Reason: m.Reason, Started: m.Started, Ended: m.Ended, Share: m.Share})
	}
	slices.SortFunc(out.Moves, func(a, b table.Move) int { return cmp.Compare(a.ID.Model, b.ID.Model) })
	if s.Rules == nil {
		return out
	}
	out.Endpoints = len(s.Rules.Endpoints)
	for id := range s.Rules.Endpoints {
		_, drained := s.Rules.Drains[id]
		if e := s.Endpoints[id]; drained || e != nil && e.Leaving {
			out.Leaving = append(out.Leaving, id)
		}
	}
	slices.Sort(out.Leaving)
	return out
}
