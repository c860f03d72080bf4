package move

import (
	"time"

	"jaywind"
	"jaywind/internal/core/rule"
	"jaywind/internal/core/table"
)

// Trial judges a new version of a service by outcomes that its user counts, with the judge of moves.
type Trial struct {
	state table.State
	move  table.Move
}

// NewTrial returns a trial of a version that is to end by a time.
func NewTrial(s jaywind.ServiceName, to jaywind.Version, began, by time.Time) *Trial {
	t := &Trial{}
	t.move.ID = table.MoveID{Model: jaywind.Model(s), To: to}
	t.move.Began, t.move.Rule.By = began, by
	t.move.Evidence.Pending = map[table.Cell]table.Tally{}
	t.move.Evidence.Scores = map[table.Pair]*table.Score{}
	t.state.Rules = &rule.Set{}
	return t
}

// Know tells which endpoints run the versions; all but the new one count as old.
func (t *Trial) Know(endpoints []rule.Endpoint) {
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

// Count adds outcomes since the last window.
func (t *Trial) Count(c table.Cell, n table.Tally) {
	addTally(t.move.Evidence.Pending, c, n, 0)
}

// Window judges the outcomes since the last one; a version whose worst measure reaches 1 is bad.
func (t *Trial) Window() (worst float64, pair table.Pair) {
	return closeWindow(&t.state, &t.move)
}

// Since returns what a running total has grown by.
func Since(now, before table.Tally) table.Tally { return tallyDelta(now, before) }
