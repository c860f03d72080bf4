package move

import (
	"time"

	"jaywind"
	"jaywind/internal/core/rule"
	"jaywind/internal/core/table"
)

// Evaluator evaluates a new version of a service, with the test that moves use, on outcomes that its user counts.
type Evaluator struct {
	state table.State
	move  table.Move
}

// NewEvaluator returns an evaluator of a version whose roll-out ends at the given time.
func NewEvaluator(s jaywind.ServiceName, to jaywind.Version, began, by time.Time) *Evaluator {
	ev := &Evaluator{}
	ev.move.ID = table.MoveID{Model: jaywind.Model(s), To: to}
	ev.move.Began, ev.move.Rule.Deadline = began, by
	ev.move.Evidence.Pending = map[table.OutcomeKey]table.OutcomeCounts{}
	ev.move.Evidence.Scores = map[table.RouteMeasure]*table.CUSUM{}
	ev.state.Rules = &rule.Set{}
	return ev
}

// SetEndpoints sets the endpoints of the service; those of any other version count as the old version.
func (ev *Evaluator) SetEndpoints(endpoints []rule.Endpoint) {
	known := &rule.Set{Endpoints: map[jaywind.EndpointID]rule.Endpoint{}}
	for _, e := range endpoints {
		e.Model = ev.move.ID.Model
		if e.Version != ev.move.ID.To {
			e.Version = ev.move.ID.From
		}
		known.Endpoints[e.ID] = e
	}
	ev.state.Rules = known
}

// AddOutcomes adds outcomes to the open window.
func (ev *Evaluator) AddOutcomes(c table.OutcomeKey, n table.OutcomeCounts) {
	addOutcomes(ev.move.Evidence.Pending, c, n, 0)
}

// CloseWindow evaluates the outcomes since the last call. It returns the worst score, at which 1 proves the version bad, and
// the route and measure that have it.
func (ev *Evaluator) CloseWindow() (worst float64, pair table.RouteMeasure) {
	return closeWindow(&ev.state, &ev.move)
}

// OutcomeDelta returns the increase of running totals.
func OutcomeDelta(now, before table.OutcomeCounts) table.OutcomeCounts {
	return outcomeDelta(now, before)
}
