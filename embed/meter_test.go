package embed

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/internal/core/table"
	"jaywind/internal/operator/burn"
)

func TestMeter(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	arrived := table.RequestArrived{Request: table.GenerationRequest{ID: "r1"}}
	token := func(p jaywind.Position, a jaywind.Attempt) table.Command {
		return table.DeliverToken{Bookmark: jaywind.Bookmark{Request: "r1", Position: p, Attempt: a}}
	}
	finish := func(o table.Outcome) table.Command { return table.FinishRequest{Request: "r1", Outcome: o} }
	lookup := table.ServiceArrived{Request: table.CallRequest{ID: "r1", HTTP: jaywind.ServiceRequest{Method: http.MethodGet}}}
	order := table.ServiceArrived{Request: table.CallRequest{ID: "r1", HTTP: jaywind.ServiceRequest{Method: http.MethodPost}}}
	respond := func(status int) table.Command {
		return table.Respond{Request: "r1", Result: table.ResultReply, Reply: jaywind.Reply{Status: status}}
	}
	type step struct {
		after    time.Duration
		events   []table.Event
		commands []table.Command
	}
	begin := step{events: []table.Event{arrived}}
	tests := map[string]struct {
		steps []step
		want  map[burn.Name]burn.Count
	}{
		"first token in time":  {[]step{begin, {800 * time.Millisecond, nil, []table.Command{token(1, 1)}}}, map[burn.Name]burn.Count{burn.First: {Good: 1, Total: 1}}},
		"first token late":     {[]step{begin, {900 * time.Millisecond, nil, []table.Command{token(1, 1)}}}, map[burn.Name]burn.Count{burn.First: {Total: 1}}},
		"gaps":                 {[]step{begin, {0, nil, []table.Command{token(1, 1)}}, {30 * time.Millisecond, nil, []table.Command{token(2, 1)}}, {40 * time.Millisecond, nil, []table.Command{token(3, 1)}}}, map[burn.Name]burn.Count{burn.First: {Good: 1, Total: 1}, burn.Gap: {Good: 1, Total: 2}}},
		"resume in time":       {[]step{begin, {0, nil, []table.Command{token(1, 1)}}, {3 * time.Second, nil, []table.Command{token(2, 2)}}}, map[burn.Name]burn.Count{burn.First: {Good: 1, Total: 1}, burn.Resume: {Good: 1, Total: 1}}},
		"resume late":          {[]step{begin, {0, nil, []table.Command{token(1, 1)}}, {5 * time.Second, nil, []table.Command{token(2, 2)}}}, map[burn.Name]burn.Count{burn.First: {Good: 1, Total: 1}, burn.Resume: {Total: 1}}},
		"reconnect":            {[]step{begin, {5 * time.Second, nil, []table.Command{token(90, 2)}}}, map[burn.Name]burn.Count{}},
		"whole":                {[]step{begin, {0, nil, []table.Command{finish(table.OutcomeCompleted)}}}, map[burn.Name]burn.Count{burn.Whole: {Good: 1, Total: 1}}},
		"failed":               {[]step{begin, {0, nil, []table.Command{finish(table.OutcomeFailed)}}}, map[burn.Name]burn.Count{burn.Whole: {Total: 1}}},
		"refusals do not burn": {[]step{begin, {0, nil, []table.Command{finish(table.OutcomeRefused)}}}, map[burn.Name]burn.Count{}},
		"lookup":               {[]step{{events: []table.Event{lookup}}, {0, nil, []table.Command{respond(200)}}}, map[burn.Name]burn.Count{burn.Lookup: {Good: 1, Total: 1}}},
		"lookup fails":         {[]step{{events: []table.Event{lookup}}, {0, nil, []table.Command{respond(500)}}}, map[burn.Name]burn.Count{burn.Lookup: {Total: 1}}},
		"lookup late":          {[]step{{events: []table.Event{lookup}}, {2 * time.Second, nil, []table.Command{respond(200)}}}, map[burn.Name]burn.Count{burn.Lookup: {Total: 1}}},
		"orders are no lookup": {[]step{{events: []table.Event{order}}, {0, nil, []table.Command{respond(200)}}}, map[burn.Name]burn.Count{}},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := newMeter()
			s := table.New(1)
			now := start
			for _, x := range c.steps {
				now = now.Add(x.after)
				s.BeginTick(now, false, x.events)
				m.observe(s, x.events, x.commands)
			}
			is.Equal(m.recorder.Counts(now).Long, c.want)
		})
	}
}

func TestMeterCountsMovesOnce(t *testing.T) {
	is := is.New(t)
	m := newMeter()
	s := table.New(1)
	by := time.Unix(1_000_000, 0)
	move := func(model jaywind.Model, state table.MoveState, ended time.Time) {
		v := &table.Move{ID: table.MoveID{Model: model}, State: state, Ended: ended}
		v.Rule.Deadline = by
		s.Moves[model] = v
	}
	move("going", table.MoveRunning, time.Time{})
	move("done", table.MoveDone, by)
	move("late", table.MoveRolledBack, by.Add(time.Second))
	for range 3 {
		s.BeginTick(by, true, nil)
		m.observe(s, nil, nil)
	}
	is.Equal(m.recorder.Counts(by).Long[burn.Move], burn.Count{Good: 1, Total: 2})
}
