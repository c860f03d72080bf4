package move

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/internal/core/table"
)

const (
	fleetTick    = 250 * time.Millisecond
	fleetSize    = 24
	fleetTurns   = 280  // ticks with one outcome at each router
	decidedShare = 0.07 // share that a collector decides on
	drainTurns   = 40   // ticks after fleetTurns, in which the last reports arrive
)

// fleet simulates routers in three failure domains that report to collectors.
type fleet struct {
	routers        []*table.State
	inboxes        [][]table.Event
	dead           map[int]bool                    // crashed and never restarted
	paused         map[int]bool                    // events for these routers wait
	cut            func(i, j int) bool             // whether the network between two routers is cut; nil for nowhere
	mangle         func(table.Event) []table.Event // replaces an event on delivery; nil for no change
	decisions      map[int]table.Event             // of collectors, returned to routers that report to them
	outcomes       uint64
	gossip         bool             // notes are spread by gossip
	store          func(i int) bool // whether the store answers a router; nil for always
	notes          []jaywind.Note   // delivered by gossip in this tick
	nextNotes      []jaywind.Note   // delivered in the next tick
	turn           int
	outcomesByTurn []uint64 // total outcomes after each turn
}

func newFleet() *fleet {
	const n = fleetSize
	f := &fleet{inboxes: make([][]table.Event, n), dead: map[int]bool{}, paused: map[int]bool{}, decisions: map[int]table.Event{}}
	for i := range n {
		f.routers = append(f.routers, newRouter(i))
	}
	for i, s := range f.routers {
		for j := range n {
			if j != i {
				f.addMember(s, j)
			}
		}
	}
	return f
}

func fleetMember(i int) jaywind.Member {
	return jaywind.Member{VM: jaywind.VM(fmt.Sprintf("vm%02d", i)), Domain: jaywind.Domain(fmt.Sprintf("d%d", i%3))}
}

func newRouter(i int) *table.State {
	s := table.New(uint64(i))
	s.Fleet.Self = fleetMember(i)
	s.Self = s.Fleet.Self.VM
	s.Rules = rules(start.Add(length))
	for id, e := range s.Rules.Endpoints {
		s.Endpoints[id] = &table.Endpoint{ID: id, Load: jaywind.Load{Loaded: []jaywind.Version{e.Version}}}
	}
	return s
}

func (f *fleet) addMember(s *table.State, j int) {
	s.Fleet.Add(&table.Member{Member: fleetMember(j)})
	s.Membership.Members = len(s.Fleet.Members) + 1
}

// removeMember removes one router from another's list of members.
func (f *fleet) removeMember(i, j int) {
	f.routers[i].Fleet.Remove(fleetMember(j).VM)
	f.routers[i].Membership.Members = len(f.routers[i].Fleet.Members) + 1
}

func (f *fleet) index(vm jaywind.VM) int {
	for i, s := range f.routers {
		if s.Self == vm {
			return i
		}
	}
	return -1
}

// firstCollector returns the collector that router 0 prefers.
func (f *fleet) firstCollector() int {
	return f.index(chosenCollectors(f.routers[0], f.routers[0].Moves["heat"])[0].VM)
}

// step runs a tick at each router, with one good outcome each if count is set.
func (f *fleet) step(count bool) {
	now := start.Add(time.Duration(f.turn) * fleetTick)
	f.notes, f.nextNotes = f.nextNotes, nil
	for i, s := range f.routers {
		if f.dead[i] || f.paused[i] {
			continue
		}
		events := f.inboxes[i]
		f.inboxes[i] = nil
		s.BeginTick(now, true, events)
		s.Fleet.NotesIn = f.notes
		Decide{}.Step(s)
		if count {
			f.outcomes++
			RecordOutcome(s, s.Moves["heat"], &table.Observation{New: true, Route: "risk", Endpoint: "e7"}, table.MeasureFailure, false)
		}
		for _, c := range s.TakeCommands() {
			f.deliverCommand(i, c)
		}
	}
	f.outcomesByTurn = append(f.outcomesByTurn, f.outcomes)
	f.turn++
}

// maxEvaluated returns how many outcomes a router can have evaluated at most: those since it began to collect, and those of
// the tolerance before.
func (f *fleet) maxEvaluated(i int) uint64 {
	began := f.routers[i].Moves["heat"].Relay.Since.Sub(start) - startTolerance - time.Second
	if began < 0 {
		return f.outcomes
	}
	return f.outcomes - f.outcomesByTurn[began/fleetTick]
}

func (f *fleet) deliverCommand(i int, c table.Command) {
	switch c := c.(type) {
	case table.SendReport:
		if n, err := EncodeReport(c.Report); err == nil && f.gossip && c.Report.State != table.MoveRunning {
			f.nextNotes = append(f.nextNotes, n)
		}
		for _, name := range c.To {
			f.sendReport(i, f.index(name), c.Report)
		}
	case table.PublishDecision:
		f.decisions[i] = table.ReportReceived(c)
	case table.ReadMoveRecord:
		if f.store != nil && !f.store(i) {
			return
		}
		f.deliverEvent(i, table.MoveRecorded{Move: c.Move, State: table.MoveRunning})
	}
}

func (f *fleet) sendReport(i, j int, r table.Report) {
	away := f.cut != nil && f.cut(i, j)
	if away || f.dead[j] || f.paused[j] {
		f.deliverEvent(i, table.ReportUndelivered{Move: r.Move, Collector: r.To})
	}
	if away || f.dead[j] {
		return
	}
	f.deliverEvent(j, table.ReportReceived{Report: r})
	if answer := f.decisions[j]; r.Kind == table.ReportToCollector && answer != nil {
		f.deliverEvent(i, answer)
	}
}

func (f *fleet) deliverEvent(i int, e table.Event) {
	if f.mangle == nil {
		f.inboxes[i] = append(f.inboxes[i], e)
		return
	}
	f.inboxes[i] = append(f.inboxes[i], f.mangle(e)...)
}

// evaluated returns how many outcomes on the new version a router has evaluated.
func (f *fleet) evaluated(i int) uint64 {
	return f.routers[i].Moves["heat"].Proof.Routes["risk"].New
}

// TestCollect counts one outcome at each router and tick. No collector may evaluate an outcome twice, and few may be lost
// when reports, collectors or connections fail.
func TestCollect(t *testing.T) {
	at := func(turn int, do func(f *fleet)) func(f *fleet) {
		return func(f *fleet) {
			if f.turn == turn {
				do(f)
			}
		}
	}
	const second = uint64(fleetSize * time.Second / fleetTick)
	tests := map[string]struct {
		fault func(f *fleet) // called before each tick
		lost  uint64         // outcomes that the best collector may miss
	}{
		"no fault": {},
		"each report comes twice": {
			fault: func(f *fleet) { f.mangle = func(e table.Event) []table.Event { return []table.Event{e, e} } },
		},
		"one report in seven is lost": {
			fault: at(0, func(f *fleet) {
				n := 0
				f.mangle = func(e table.Event) []table.Event {
					n++
					if _, report := e.(table.ReportReceived); report && n%7 == 0 && f.turn < fleetTurns {
						return nil
					}
					return []table.Event{e}
				}
			}),
			lost: 2 * second,
		},
		"a collector dies": {
			fault: func(f *fleet) {
				switch f.turn {
				case 80:
					f.dead[f.firstCollector()] = true
				case 100:
					gone := f.firstCollector()
					for i := range f.routers {
						f.removeMember(i, gone)
					}
				}
			},
			lost: 2 * second,
		},
		"a collector pauses and wakes with old sums": {
			fault: func(f *fleet) {
				switch f.turn {
				case 80:
					f.paused[f.firstCollector()] = true
				case 110:
					f.paused[f.firstCollector()] = false
				}
			},
			lost: 2 * second,
		},
		"two collectors at once": {
			fault: at(80, func(f *fleet) {
				gone := f.firstCollector()
				for i := range f.routers {
					if i%2 == 0 && i != gone {
						f.removeMember(i, gone) // half of the routers consider it dead
					}
				}
			}),
			lost: second,
		},
		"cut between failure domains": {
			fault: func(f *fleet) {
				switch f.turn {
				case 80:
					f.cut = func(i, j int) bool { return (i%3 == 0) != (j%3 == 0) }
				case 140:
					f.cut = nil
				}
			},
		},
		"routers join": {
			fault: at(80, func(f *fleet) {
				f.routers = append(f.routers, newRouter(fleetSize))
				f.inboxes = append(f.inboxes, nil)
				for i, s := range f.routers {
					if i == fleetSize {
						for j := range fleetSize {
							f.addMember(s, j)
						}
						continue
					}
					f.addMember(s, fleetSize)
				}
			}),
			lost: 2 * second,
		},
		"a router is restarted": {
			fault: at(80, func(f *fleet) {
				i := f.firstCollector()
				f.routers[i] = newRouter(i)
				f.inboxes[i] = nil
				delete(f.decisions, i)
				for j := range fleetSize {
					if j != i {
						f.addMember(f.routers[i], j)
					}
				}
			}),
			lost: 2 * second,
		},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet()
			for f.turn < fleetTurns+drainTurns {
				if c.fault != nil {
					c.fault(f)
				}
				f.step(f.turn < fleetTurns)
			}
			best := uint64(0)
			for i, s := range f.routers {
				if f.dead[i] || !isCollector(s, s.Moves["heat"]) {
					continue
				}
				t.Log(s.Self, "judged", f.evaluated(i), "of", f.outcomes, "at most", f.maxEvaluated(i))
				is.True(f.evaluated(i) <= f.maxEvaluated(i)) // no outcome counts twice
				best = max(best, f.evaluated(i))
			}
			is.True(best+c.lost >= f.outcomes) // few outcomes are lost
		})
	}
}

// decision returns a router's decision as a collector.
func (f *fleet) decision(i int, number uint64) table.Event {
	return table.ReportReceived{Report: table.Report{
		Kind: table.ReportDecision, Move: moveID(), From: f.routers[i].Self, Number: number, State: table.MoveRunning, Share: decidedShare,
	}}
}

// TestFollow injects one event or fault into a fleet and checks, 6 s later, what a router that reports to a collector does.
func TestFollow(t *testing.T) {
	const newer = 1 << 40
	tests := map[string]struct {
		fault    func(f *fleet, member, collector int)
		follows  bool // adopts the decided share
		collects bool // becomes a collector at once
		state    table.MoveState
		switches bool // to another collector after 6 s
		recorded bool
	}{
		"decision of its collector":  {fault: func(f *fleet, m, c int) { f.deliverEvent(m, f.decision(c, newer)) }, follows: true, state: table.MoveRunning, switches: true},
		"older decision":             {fault: func(f *fleet, m, c int) { f.deliverEvent(m, f.decision(c, 1)) }, state: table.MoveRunning},
		"decision of another router": {fault: func(f *fleet, m, c int) { f.deliverEvent(m, f.decision((c+3)%fleetSize, newer)) }, state: table.MoveRunning},
		"part for another router": {fault: func(f *fleet, m, c int) {
			f.deliverEvent(m, table.ReportReceived{Report: table.Report{Kind: table.ReportToCollector, Move: moveID(), From: "vm99", To: f.routers[c].Self, State: table.MoveRunning}})
		}, state: table.MoveRunning},
		"part for this router": {
			fault: func(f *fleet, m, c int) {
				f.deliverEvent(m, table.ReportReceived{Report: table.Report{Kind: table.ReportToCollector, Move: moveID(), From: "vm99", To: f.routers[m].Self, State: table.MoveRunning}})
			},
			state: table.MoveRunning, collects: true,
		},
		"its collector rolls back": {fault: func(f *fleet, _, c int) { f.deliverEvent(c, table.LoadTimedOut{Move: moveID(), Reason: "not loaded"}) }, state: table.MoveRolledBack},
		"another collector rolls back": {fault: func(f *fleet, _, c int) {
			f.deliverEvent(f.otherCollector(c), table.LoadTimedOut{Move: moveID(), Reason: "not loaded"})
		}, state: table.MoveRolledBack},
		"another member rolls back": {
			fault: func(f *fleet, m, _ int) {
				f.deliverEvent(f.memberAfter(m), table.LoadTimedOut{Move: moveID(), Reason: "not loaded"})
			},
			state: table.MoveRolledBack,
		},
		"another member rolls back, all collectors are dead": {
			fault: func(f *fleet, m, _ int) {
				f.gossip = true
				for i, s := range f.routers {
					f.dead[i] = isCollector(s, s.Moves["heat"])
				}
				f.deliverEvent(f.memberAfter(m), table.LoadTimedOut{Move: moveID(), Reason: "not loaded"})
			},
			state: table.MoveRolledBack,
		},
		"another member reads the record": {
			fault: func(f *fleet, m, _ int) {
				f.deliverEvent(f.memberAfter(m), table.MoveRecorded{Move: moveID(), State: table.MoveRolledBack})
			},
			state: table.MoveRolledBack, recorded: true,
		},
		"its collector is paused":              {fault: func(f *fleet, _, c int) { f.paused[c] = true }, state: table.MoveRunning, switches: true},
		"its collector publishes no decisions": {fault: func(f *fleet, _, _ int) { f.mangle = dropDecisions }, state: table.MoveRunning, switches: true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet()
			for range 40 {
				f.step(true)
			}
			member := f.member()
			s := f.routers[member]
			collector := s.Moves["heat"].Relay.Collector
			c.fault(f, member, f.index(collector))
			f.step(true)
			is.Equal(s.Moves["heat"].Share == decidedShare, c.follows)
			is.Equal(isCollector(s, s.Moves["heat"]), c.collects) // right after the fault
			for range 24 {
				f.step(true)
			}
			is.Equal(s.Moves["heat"].State, c.state)
			is.Equal(s.Moves["heat"].Recorded, c.recorded)
			is.Equal(s.Moves["heat"].Relay.Collector != collector, c.switches) // whether it switches to another collector
		})
	}
}

// member returns a router that reports to a collector.
func (f *fleet) member() int { return f.memberAfter(-1) }

func (f *fleet) memberAfter(i int) int {
	for j, s := range f.routers {
		if j > i && !isCollector(s, s.Moves["heat"]) {
			return j
		}
	}
	return -1
}

// otherCollector returns a collector other than the given one.
func (f *fleet) otherCollector(c int) int {
	for i, s := range f.routers {
		if i != c && isCollector(s, s.Moves["heat"]) {
			return i
		}
	}
	return -1
}

func dropDecisions(e table.Event) []table.Event {
	if r, ok := e.(table.ReportReceived); ok && r.Report.Kind == table.ReportDecision {
		return nil
	}
	return []table.Event{e}
}

// TestTurn makes a router a collector while it has an unreported bad outcome, and lets it count another one. Neither may be
// lost.
func TestTurn(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	for range 40 {
		f.step(false)
	}
	s := f.routers[f.member()]
	m := s.Moves["heat"]
	observation := &table.Observation{New: true, Route: "risk", Endpoint: "e7"}
	RecordOutcome(s, m, observation, table.MeasureFailure, true)
	switchCollector(s, m, s.Self)
	RecordOutcome(s, m, observation, table.MeasureFailure, true)
	key := table.OutcomeKey{RouteMeasure: table.RouteMeasure{Route: "risk"}, New: true}
	want := table.OutcomeCounts{Bad: 2, BadBySource: map[table.Source]uint64{"e7": 2}}
	is.Equal(m.Evidence.Own[key], want)
	is.Equal(m.Evidence.Pending[key], want)
}

// TestRecordIsHeardOf lets the store answer only some routers. The others must learn from the collectors that the move is
// still in progress.
func TestRecordIsHeardOf(t *testing.T) {
	tests := map[string]struct {
		store func(f *fleet, i int) bool
		known bool
	}{
		"one member reads the record":    {store: func(f *fleet, i int) bool { return i == f.member() }, known: true},
		"one collector reads the record": {store: func(f *fleet, i int) bool { return i == f.firstCollector() }, known: true},
		"no router reads the record":     {store: func(*fleet, int) bool { return false }},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet()
			f.store = func(i int) bool { return c.store(f, i) }
			for range 120 {
				f.step(false)
			}
			collectors := 0
			for _, s := range f.routers {
				is.Equal(s.Moves["heat"].Confirmed, c.known)
				if isCollector(s, s.Moves["heat"]) {
					collectors++
				}
			}
			is.Equal(collectors, 3) // no router has switched its collector
		})
	}
}
