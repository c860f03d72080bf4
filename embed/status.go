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

// Status is a snapshot of a router's view of the fleet.
type Status struct {
	Self             jaywind.Member
	Members          []jaywind.Member // including dead ones, without Self
	QuorumMembers    int              // members that count towards the majority, including Self
	LiveMembers      int              // those of QuorumMembers that are alive
	Partitioned      bool             // cut off from the store and from most members
	StoreAge         time.Duration    // time since a known member reached the store; negative if none has
	StoreEra         jaywind.Era      // how many times the store has been restored from an older copy
	ClaimsIncomplete bool             // claims may be missing since then, so that at-most-once calls with keys without a record are refused
	ActiveRequests   int              // generations and service calls in progress
	Stopping         bool
	LeavingEndpoints []jaywind.EndpointID // endpoints that are sent no new work
	EndpointCount    int
	Moves            []table.Move
}

// Status returns a snapshot of the router's view of the fleet.
func (r *Router) Status(ctx context.Context) (Status, error) {
	var out Status
	err := r.inspect(ctx, func(s *table.State) { out = statusOf(s) })
	if r.Store != nil {
		out.StoreEra = r.Store.Era()
	}
	if c, ok := r.Claims.(interface{ Incomplete() bool }); ok {
		out.ClaimsIncomplete = c.Incomplete()
	}
	return out, err
}

// inspect calls read with the state, between two ticks.
func (r *Router) inspect(ctx context.Context, read func(s *table.State)) error {
	r.init()
	done := make(chan struct{})
	select {
	case r.inspections <- func() { read(r.core.State); close(done) }:
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
	out := Status{Self: f.Self, Partitioned: f.Partitioned, StoreAge: -1, ActiveRequests: len(s.Requests) + len(s.Calls), Stopping: s.Stopping}
	out.LiveMembers, out.QuorumMembers = member.QuorumCounts(f)
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
	out.EndpointCount = len(s.Rules.Endpoints)
	for id := range s.Rules.Endpoints {
		_, drained := s.Rules.Drains[id]
		if e := s.Endpoints[id]; drained || e != nil && e.Leaving {
			out.LeavingEndpoints = append(out.LeavingEndpoints, id)
		}
	}
	slices.Sort(out.LeavingEndpoints)
	return out
}
