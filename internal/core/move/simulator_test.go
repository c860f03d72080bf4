package move

import (
	"fmt"
	"testing"
	"time"

	"jaywind"
	"jaywind/internal/core/rule"
	"jaywind/internal/core/table"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

const length = 10 * time.Minute

// simulator runs one router through a move, with six replicas of each version in three failure domains.
type simulator struct {
	t            *testing.T
	state        *table.State
	storeAnswers bool // the store answers calls
	commands     []table.Command
	turn         int
	nextEvents   []table.Event
}

func newSimulator(t *testing.T) *simulator {
	t.Helper()
	s := table.New(1)
	s.Self = "vm1"
	s.Membership.Members = 1
	s.Rules = rules(start.Add(length))
	for id, e := range s.Rules.Endpoints {
		s.Endpoints[id] = &table.Endpoint{ID: id, Load: jaywind.Load{Loaded: []jaywind.Version{e.Version}}}
	}
	return &simulator{t: t, state: s, storeAnswers: true}
}

func rules(by time.Time) *rule.Set {
	set := rule.NewSet()
	set.Models["heat"] = rule.Model{Name: "heat", Version: "v1"}
	set.Moves["heat"] = rule.Move{Model: "heat", From: "v1", To: "v2", Deadline: by, Budget: 200}
	for i := range 12 {
		e := rule.Endpoint{ID: jaywind.EndpointID(fmt.Sprintf("e%d", i)), Kind: rule.KindEngine, Model: "heat", Version: "v1"}
		e.Domain = jaywind.Domain(fmt.Sprintf("d%d", i%3))
		if i >= 6 {
			e.Version = "v2"
		}
		set.Endpoints[e.ID] = e
	}
	return set
}

func (b *simulator) move() *table.Move { return b.state.Moves["heat"] }

func (b *simulator) now() time.Time { return start.Add(time.Duration(b.turn) * time.Second) }

// step runs a full tick of one second; answers of the store arrive in the next one.
func (b *simulator) step(events ...table.Event) {
	events = append(events, b.nextEvents...)
	b.nextEvents = nil
	b.state.BeginTick(b.now(), true, events)
	Observe{}.Step(b.state)
	Decide{}.Step(b.state)
	for _, c := range b.state.TakeCommands() {
		b.commands = append(b.commands, c)
		if !b.storeAnswers {
			continue
		}
		switch c := c.(type) {
		case table.ReadMoveRecord:
			b.nextEvents = append(b.nextEvents, table.MoveRecorded{Move: c.Move, State: table.MoveRunning})
		case table.WriteMoveRecord:
			b.nextEvents = append(b.nextEvents, table.MoveRecorded(c))
		}
	}
	b.turn++
}

// traffic describes the requests and events of each second.
type traffic struct {
	rate    int                                           // requests; 0 for 60
	fail    func(b *simulator, t *table.Observation) bool // reports whether an attempt fails
	slow    func(t *table.Observation) time.Duration      // time to the first token; 0 for the default
	silence bool                                          // the new version yields no outcomes
	events  func(b *simulator, turn int) table.Event      // an additional event, or nil
}

// run simulates a number of seconds; requests arrive until the move ends.
func (b *simulator) run(seconds int, f traffic) {
	for range seconds {
		var events []table.Event
		if f.events != nil {
			if e := f.events(b, b.turn); e != nil {
				events = append(events, e)
			}
		}
		b.step(events...)
		if m := b.move(); m == nil || m.State == table.MoveRunning {
			b.sendSecond(f)
		}
	}
}

func (b *simulator) sendSecond(f traffic) {
	rate := f.rate
	if rate == 0 {
		rate = 60
	}
	for i := range rate {
		r := &table.Request{ID: jaywind.RequestID(fmt.Sprintf("r%d.%d", b.turn, i)), Model: "heat", Route: "risk"}
		if i%5 == 0 {
			r.Route = "board"
		}
		b.sendRequest(r, i, f)
	}
}

func (b *simulator) sendRequest(r *table.Request, i int, f traffic) {
	onNew := VersionFor(b.state, r) == "v2"
	m := b.move()
	if m == nil || m.State != table.MoveRunning || onNew && f.silence {
		return
	}
	delete(m.Observations, r.ID)
	var pool []rule.Endpoint
	for j := range 6 {
		id := jaywind.EndpointID(fmt.Sprintf("e%d", j))
		if onNew {
			id = jaywind.EndpointID(fmt.Sprintf("e%d", j+6))
		}
		pool = append(pool, b.state.Rules.Endpoints[id])
	}
	pool = LimitReplicas(b.state, r, pool)
	t := &table.Observation{New: onNew, Route: r.Route, Endpoint: pool[i%len(pool)].ID}
	first := 100*time.Millisecond + time.Duration((i*37+b.turn*11)%100)*time.Millisecond
	if f.slow != nil && f.slow(t) > 0 {
		first = f.slow(t)
	}
	RecordDuration(b.state, m, t, table.MeasureFirstToken, first)
	RecordOutcome(b.state, m, t, table.MeasureFailure, f.fail != nil && f.fail(b, t))
}
