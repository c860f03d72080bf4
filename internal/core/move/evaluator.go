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
	t := &Evaluator{}
	t.move.ID = table.MoveID{Model: jaywind.Model(s), To: to}
	t.move.Began, t.move.Rule.Deadline = began, by
	t.move.Evidence.Pending = map[table.OutcomeKey]table.OutcomeCounts{}
	t.move.Evidence.Scores = map[table.RouteMeasure]*table.CUSUM{}
	t.state.Rules = &rule.Set{}
	return t
}

// SetEndpoints sets the endpoints of the service; those of any other version count as the old version.
func (t *Evaluator) SetEndpoints(endpoints []rule.Endpoint) {
	known := &rule.Set{Endpoints: map[jaywind.EndpointID]rule.Endpoint{}}
	for _, e := range endpoints {
		e.Model = t.move.ID.Model
		if e.Version != t.move.ID.To {
			e.Version = t.move.ID.From
		}
		known.Endpoints[e.ID] = e
	}
	t.state.Rules = known
}

// AddOutcomes adds outcomes to the open window.
func (t *Evaluator) AddOutcomes(c table.OutcomeKey, n table.OutcomeCounts) {
	addOutcomes(t.move.Evidence.Pending, c, n, 0)
}

// CloseWindow evaluates the outcomes since the last call. It returns the worst score, at which 1 proves the version bad, and
// the pair that has it.
func (t *Evaluator) CloseWindow() (worst float64, pair table.RouteMeasure) {
	return closeWindow(&t.state, &t.move)
}

// OutcomeDelta returns the increase of running totals.
func OutcomeDelta(now, before table.OutcomeCounts) table.OutcomeCounts {
	return outcomeDelta(now, before)
}
