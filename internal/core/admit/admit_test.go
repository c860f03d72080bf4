package admit

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/internal/core/rule"
	"jaywind/internal/core/table"
)

var began = time.Unix(1e9, 0)

// newState returns a state with four endpoints and organisations that differ in rate and weight.
func newState() *table.State {
	s := table.New(1)
	s.Now = began
	s.RulesVersion = 1
	s.Rules = rule.NewSet()
	s.Rules.Models["heat"] = rule.Model{Name: "heat", Version: "v1"}
	s.Rules.Organisations["paced"] = rule.Organisation{Name: "paced", Rate: 4, Burst: 8}
	s.Rules.Organisations["light"] = rule.Organisation{Name: "light", Weight: 1}
	s.Rules.Organisations["heavy"] = rule.Organisation{Name: "heavy", Weight: 3, Priority: 7}
	for i := range 4 {
		id := jaywind.EndpointID(fmt.Sprint("e", i))
		s.Rules.Endpoints[id] = rule.Endpoint{ID: id, Kind: rule.KindEngine, Model: "heat", Version: "v1"}
		s.Endpoints[id] = &table.Endpoint{ID: id}
	}
	return s
}

func enqueue(s *table.State, name jaywind.Organisation, n int) []*table.Request {
	var out []*table.Request
	for range n {
		r := &table.Request{ID: jaywind.RequestID(fmt.Sprint(name, len(s.Requests))), Organisation: name, Model: "heat", MaxTokens: 100, Arrived: s.Now}
		s.Requests[r.ID] = r
		s.Queued = append(s.Queued, r.ID)
		out = append(out, r)
	}
	return out
}

// step runs the system once and returns the number of started requests by organisation, and the refusals.
func step(s *table.State, now time.Time, full bool) (started map[jaywind.Organisation]int, ends []table.FinishRequest) {
	s.BeginTick(now, full, nil)
	Admit{}.Step(s)
	started = map[jaywind.Organisation]int{}
	for _, id := range s.Ready {
		started[s.Requests[id].Organisation]++
	}
	s.Ready = nil
	for _, c := range s.TakeCommands() {
		ends = append(ends, c.(table.FinishRequest))
	}
	return started, ends
}

// fillPool sets up a pool without room that starts one request a second.
func fillPool(s *table.State) *table.Pool {
	p := poolOf(s, "heat")
	p.Limit, p.Running, p.Rate = 4, 4, 1
	return p
}

func TestRefusals(t *testing.T) {
	tests := map[string]struct {
		set  func(s *table.State, r *table.Request)
		want string
		out  table.Outcome
	}{
		"stopping":        {func(s *table.State, _ *table.Request) { s.Stopping = true }, "this router is stopping", table.OutcomeRefused},
		"no rules":        {func(s *table.State, _ *table.Request) { s.Rules = nil }, "no rules are known yet", table.OutcomeRefused},
		"no model":        {func(_ *table.State, r *table.Request) { r.Model = "cold" }, "no such model: cold", table.OutcomeRefused},
		"run before":      {func(s *table.State, r *table.Request) { s.Stopping, r.Sent = true, true }, "this router is stopping", table.OutcomeFailed},
		"resumes waiting": {func(s *table.State, _ *table.Request) { poolOf(s, "heat").Backlog = 1 }, "generations of lost engines are being resumed", table.OutcomeRefused},
		"queue too long": {func(s *table.State, _ *table.Request) {
			fillPool(s).Queued = shortQueue
		}, "the queue is too long", table.OutcomeRefused},
		"deadline too near": {func(s *table.State, r *table.Request) {
			fillPool(s).Rate = 10
			r.Deadline = began.Add(50 * time.Millisecond)
		}, "the deadline can't be met", table.OutcomeRefused},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newState()
			c.set(s, enqueue(s, "light", 1)[0])
			started, ends := step(s, began, false)
			is.Equal(len(started), 0)
			is.Equal(len(ends), 1) // refused in the same tick
			is.Equal(ends[0].Reason, c.want)
			is.Equal(ends[0].Outcome, c.out)
			is.True(ends[0].RetryAfter >= minRetryAfter)
		})
	}
}

func TestRates(t *testing.T) {
	tests := map[string]struct {
		name     jaywind.Organisation
		homes    int
		at, then int // requests started of the first 20, and of 20 more a second later
	}{
		"one home":   {name: "paced", at: 8, then: 4},
		"four homes": {name: "paced", homes: 4, at: 2, then: 1},
		"no rate":    {name: "light", at: 20, then: 20},
		"unlisted":   {name: "nobody", at: 20, then: 20},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newState()
			s.Membership.Homes = c.homes
			poolOf(s, "heat").Limit = 100
			for i, want := range []int{c.at, c.then} {
				enqueue(s, c.name, 20)
				started, ends := step(s, began.Add(time.Duration(i)*time.Second), false)
				is.Equal(started[c.name], want)
				is.Equal(len(ends), 20-want) // the others are refused immediately
			}
		})
	}
}

func TestUnlistedOrganisationsShareOneRow(t *testing.T) {
	is := is.New(t)
	s := newState()
	for i := range 1000 {
		enqueue(s, jaywind.Organisation(fmt.Sprint("x", i)), 1)
	}
	step(s, began, false)
	is.Equal(len(s.Organisations), 1)
	is.Equal(len(s.Pools["heat"].Queues), 1)
}

func TestQueuesTakeTurnsByWeight(t *testing.T) {
	is := is.New(t)
	s := newState()
	p := fillPool(s)
	p.Rate = 0
	enqueue(s, "light", 40)
	enqueue(s, "heavy", 40)
	step(s, began, false)
	p.Limit = 44
	started, _ := step(s, began.Add(time.Millisecond), true)
	is.Equal(started["heavy"], 33)
	is.Equal(started["light"], 11)
	for _, r := range s.Requests {
		if r.Organisation == "heavy" && r.Phase == table.PhaseReady {
			is.Equal(r.Priority, jaywind.Priority(7)) // engines receive the priority of the rule
		}
	}
}

func TestQueueOrder(t *testing.T) {
	is := is.New(t)
	s := newState()
	p := fillPool(s)
	p.Rate = 0
	asked := enqueue(s, "light", 3)
	asked[2].Priority = 5
	step(s, began, false)
	is.Equal(p.Queues["light"].Requests, []jaywind.RequestID{asked[2].ID, asked[0].ID, asked[1].ID})
}

func TestQueuedRequestsAreNotHeld(t *testing.T) {
	is := is.New(t)
	s := newState()
	fillPool(s).Rate = 0
	enqueue(s, "light", 20)
	_, ends := step(s, began, false)
	is.Equal(len(ends), 0)
	for i := range 8 { // streams that use up the limit
		s.Requests[streamID(i)] = &table.Request{ID: streamID(i), Model: "heat", Phase: table.PhaseStreaming}
	}
	_, ends = step(s, began.Add(maxQueueWait), true)
	is.Equal(len(ends), 20)
	is.Equal(s.Pools["heat"].Queued, 0)
	after := map[time.Duration]bool{}
	for _, f := range ends {
		is.Equal(f.Outcome, table.OutcomeRefused)
		after[f.RetryAfter] = true
	}
	is.True(len(after) > 10) // retry delays are jittered
}

func streamID(i int) jaywind.RequestID { return jaywind.RequestID(fmt.Sprint("s", i)) }

func TestLimit(t *testing.T) {
	fine := table.Window{Firsts: 100, Gaps: 1000}
	with := func(change func(w *table.Window)) table.Window {
		w := fine
		change(&w)
		return w
	}
	tests := map[string]struct {
		window  table.Window
		running int
		want    func(limit float64) bool // starts at 100
	}{
		"nothing waits":               {window: fine, running: 90, want: func(l float64) bool { return l == 100 }},
		"requests wait":               {window: with(func(w *table.Window) { w.LimitHit = true }), running: 100, want: func(l float64) bool { return l > 100 }},
		"first tokens late":           {window: with(func(w *table.Window) { w.LimitHit, w.LateFirsts = true, 40 }), running: 100, want: func(l float64) bool { return l <= 80 }},
		"gaps late":                   {window: with(func(w *table.Window) { w.LimitHit, w.LateGaps = true, 200 }), running: 100, want: func(l float64) bool { return l <= 90 }},
		"attempts unanswered":         {window: with(func(w *table.Window) { w.LimitHit, w.Overdue = true, 100 }), running: 100, want: func(l float64) bool { return l <= 75 }},
		"endpoints refuse":            {window: with(func(w *table.Window) { w.LimitHit, w.Refused = true, 100 }), running: 100, want: func(l float64) bool { return l <= 75 }},
		"queues at the engines":       {window: with(func(w *table.Window) { w.LimitHit, w.FirstTime = true, 20*time.Second }), running: 100, want: func(l float64) bool { return l < 100 }},
		"late, but through resumes":   {window: with(func(w *table.Window) { w.LateFirsts = 40 }), running: 150, want: func(l float64) bool { return l == 100 }},
		"too few answers":             {window: table.Window{Firsts: 2, LateFirsts: 2}, running: 100, want: func(l float64) bool { return l == 100 }},
		"no answers":                  {window: table.Window{LimitHit: true}, running: 100, want: func(l float64) bool { return l == 100 }},
		"in time, resumes over limit": {window: with(func(w *table.Window) { w.LimitHit = true }), running: 150, want: func(l float64) bool { return l >= 150 }},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newState()
			p := poolOf(s, "heat")
			p.Limit, p.Running = 100, c.running
			for since := began; since.Before(began.Add(500 * time.Millisecond)); since = s.Now {
				p.Window = c.window
				p.Window.Since = since
				s.Now = since.Add(adjustPeriod)
				adjustLimit(s, p)
				if c.running <= 100 { // requests over the new limit have ended
					p.Running = min(p.Running, int(p.Limit))
				}
			}
			t.Logf("limit %.1f", p.Limit)
			is.True(c.want(p.Limit))
		})
	}
}

func TestLimitFollowsTheEndpointsThatAreUp(t *testing.T) {
	is := is.New(t)
	s := newState()
	poolOf(s, "heat").Limit = 40
	for range 3 { // opens the circuit breakers
		s.Endpoints["e1"].RecordUnreachable(began, s.Random)
		s.Endpoints["e2"].RecordUnreachable(began, s.Random)
	}
	enqueue(s, "light", 40)
	started, _ := step(s, began, true)
	is.Equal(started["light"], 20)
}

func TestRateHoldsWhateverTheSpacing(t *testing.T) {
	for _, apart := range []time.Duration{time.Millisecond, 20 * time.Millisecond, 70 * time.Millisecond, 249 * time.Millisecond} {
		t.Run(apart.String(), func(t *testing.T) {
			is := is.New(t)
			s := newState()
			total := 0
			const span = 100 * time.Second
			for at := time.Duration(0); at < span; at += apart {
				poolOf(s, "heat").Limit = 1e6
				clear(s.Requests)
				enqueue(s, "paced", 1)
				started, _ := step(s, began.Add(at), false)
				total += started["paced"]
			}
			t.Logf("%d started", total)
			is.True(total <= 8+4*100) // burst plus rate
		})
	}
}
