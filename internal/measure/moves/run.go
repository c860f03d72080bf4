package moves

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"jaywind"
	"jaywind/internal/core/move"
	"jaywind/internal/core/rule"
	"jaywind/internal/core/table"
)

const (
	reportDelay         = 1500 * time.Millisecond
	hopDelay            = 200 * time.Millisecond // per hop, when reports go through collectors
	broadcastDelay      = 3 * time.Second        // for a gossip note to reach all routers
	callOverhead        = 95                     // bytes of a call besides the values of its notes, without TCP and IP headers
	deathNoticeDelay    = time.Second            // until placement excludes a dead replica
	hangTimeout         = 2 * time.Second        // until an attempt without frames counts as failed
	baseFailureRate     = 0.004
	firstTokenMedian    = 300 * time.Millisecond
	firstTokenSigma     = 0.4
	tokenGapMedian      = 25 * time.Millisecond
	tokenGapSigma       = 0.2
	meanTokens          = 160
	longAnswerShare     = 0.03
	longAnswerTokens    = 3000
	doubledLoadSlowdown = 1.3
	runAfterEnd         = 15 * time.Second // simulated time after the end of a move
)

var routes = []struct {
	name  jaywind.Route
	share float64
}{{"risk", 0.5}, {"clause", 0.3}, {"board", 0.2}}

// simulation simulates one move.
type simulation struct {
	workload         Workload
	scenario         Scenario
	rng              *rand.Rand
	start            time.Time
	now              time.Time
	routers          []*table.State
	inbox            map[delivery][]table.Event
	routerIndex      map[jaywind.VM]int // index in routers
	collectorReplies []collectorReply   // what each collector replies to reports
	bytes            []int              // of reports and replies, in and out, by router
	pending          map[int][]outcome  // by tick
	tick             int
	record           *table.MoveRecorded
	replicas         [][]rule.Endpoint // replicas of the new version in use, by router
	replicasShare    []float64         // share of the move for which replicas were chosen, by router
	old              []rule.Endpoint
	inflight         map[jaywind.EndpointID]int
	deadSince        map[jaywind.EndpointID]int // tick at which each replica died
	faultTick        int                        // tick at which a late fault or the environment fault occurs
	oracle           oracle
	settledTick      int // tick at which all routers knew the recorded result, 0 before
}

// delivery is the time and the router at which an event arrives.
type delivery struct {
	tick   int
	router int
}

// collectorReply is the reply of a collector to reports.
type collectorReply struct {
	report table.Report
	size   int // bytes
}

type outcome struct {
	router      int
	observation *table.Observation
	measure     table.Measure
	latency     time.Duration
	bad         bool
	final       bool
}

func newSimulation(workload Workload, scenario Scenario, seed uint64) *simulation {
	sim := &simulation{
		workload:         workload,
		scenario:         scenario,
		rng:              rand.New(rand.NewPCG(seed, 7)),
		start:            time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC),
		inbox:            map[delivery][]table.Event{},
		routerIndex:      map[jaywind.VM]int{},
		collectorReplies: make([]collectorReply, workload.Routers),
		bytes:            make([]int, workload.Routers),
		pending:          map[int][]outcome{},
		inflight:         map[jaywind.EndpointID]int{},
		deadSince:        map[jaywind.EndpointID]int{},
		replicas:         make([][]rule.Endpoint, workload.Routers),
		replicasShare:    make([]float64, workload.Routers),
	}
	sim.now = sim.start
	sim.oracle.threshold = math.Log(2 * 3 * workload.RequestRate * workload.Duration.Seconds())
	sim.oracle.tickLength = workload.Tick
	sim.faultTick = int((0.1 + 0.6*sim.rng.Float64()) * float64(workload.Duration/sim.workload.Tick))
	set := sim.rules()
	for i := range workload.Routers {
		s := table.New(seed*1000 + uint64(i))
		s.Self = vm(i)
		s.Rules = set
		s.Membership.Members = workload.Routers
		s.Fleet.Self = sim.member(i)
		s.DesiredSetAt = sim.start.Add(24 * time.Hour) // engines get no orders in the simulation
		for id, e := range set.Endpoints {
			s.Endpoints[id] = &table.Endpoint{ID: id, Load: jaywind.Load{Loaded: []jaywind.Version{e.Version}}}
		}
		sim.routers = append(sim.routers, s)
	}
	sim.fillMembership()
	return sim
}

// member returns a router's entry in the member list.
func (sim *simulation) member(i int) jaywind.Member {
	return jaywind.Member{VM: vm(i), Domain: jaywind.Domain(fmt.Sprintf("d%d", i%sim.workload.Domains))}
}

func vm(i int) jaywind.VM { return jaywind.VM(fmt.Sprintf("vm%d", i)) }

// fillMembership adds all other routers to each router's member list. The entries are shared because nothing changes them
// during a simulation.
func (sim *simulation) fillMembership() {
	rows := map[jaywind.VM]*table.Member{}
	for i := range sim.routers {
		rows[vm(i)] = &table.Member{Member: sim.member(i)}
		sim.routerIndex[vm(i)] = i
	}
	for i, s := range sim.routers {
		s.Fleet.Members = maps.Clone(rows)
		delete(s.Fleet.Members, vm(i))
		s.Fleet.Epoch++
	}
}

func (sim *simulation) rules() *rule.Set {
	set := rule.NewSet()
	set.Models["heat"] = rule.Model{Name: "heat", Version: "v1"}
	set.Moves["heat"] = rule.Move{Model: "heat", From: "v1", To: "v2", Deadline: sim.start.Add(sim.workload.Duration), Budget: cmp.Or(sim.workload.Budget, 200)}
	for i := range 2 * sim.workload.Replicas {
		e := rule.Endpoint{
			ID:      jaywind.EndpointID(fmt.Sprintf("e%d", i)),
			Kind:    rule.KindEngine,
			Model:   "heat",
			Version: "v1",
			Domain:  jaywind.Domain(fmt.Sprintf("d%d", i%sim.workload.Domains)),
		}
		if i >= sim.workload.Replicas {
			e.Version = "v2"
		} else {
			sim.old = append(sim.old, e)
		}
		set.Endpoints[e.ID] = e
	}
	return set
}

// run simulates the move until runAfterEnd after its end, or until shortly after its deadline.
func (sim *simulation) run() {
	last := int(sim.workload.Duration/sim.workload.Tick) + 20
	for sim.tick = 0; sim.tick < last; sim.tick++ {
		sim.now = sim.start.Add(time.Duration(sim.tick) * sim.workload.Tick)
		if sim.tick == sim.faultTick {
			sim.injectFault()
		}
		sim.excludeDead()
		for i := range sim.routers {
			sim.stepRouter(i)
		}
		sim.processTraffic()
		if sim.settledTick == 0 && sim.allRecorded() {
			sim.settledTick = sim.tick
		}
		if sim.settledTick > 0 && sim.tick > sim.settledTick+int(runAfterEnd/sim.workload.Tick) {
			return
		}
	}
}

// stepRouter runs the move system of one router and executes its commands.
func (sim *simulation) stepRouter(i int) {
	s := sim.routers[i]
	here := delivery{sim.tick, i}
	events := sim.inbox[here]
	delete(sim.inbox, here)
	s.BeginTick(sim.now, true, events)
	move.Decide{}.Step(s)
	if m := s.Moves["heat"]; m.Share != sim.replicasShare[i] || sim.tick%int(time.Second*10/sim.workload.Tick) == 0 {
		sim.replicasShare[i] = m.Share
		sim.chooseReplicas(i)
	}
	for _, c := range s.TakeCommands() {
		sim.execute(i, c)
	}
}

func (sim *simulation) chooseReplicas(i int) {
	s := sim.routers[i]
	var all []rule.Endpoint
	for _, e := range s.Rules.Endpoints {
		if e.Version == "v2" {
			all = append(all, e)
		}
	}
	slices.SortFunc(all, func(a, b rule.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	sim.replicas[i] = move.LimitReplicas(s, &table.Request{Model: "heat"}, all)
}

func (sim *simulation) execute(i int, c table.Command) {
	switch c := c.(type) {
	case table.SendReport:
		sim.sendReport(i, c)
	case table.PublishDecision:
		if n, err := move.EncodeDecision(c.Report); err == nil {
			sim.collectorReplies[i] = collectorReply{c.Report, len(n.Value)}
		}
	case table.ReadMoveRecord:
		sim.replyRecord(i, table.MoveRecorded{Move: c.Move, State: table.MoveRunning})
	case table.WriteMoveRecord:
		if sim.record == nil {
			sim.record = &table.MoveRecorded{Move: c.Move, State: c.State, Reason: c.Reason, At: c.At}
		}
		sim.replyRecord(i, *sim.record)
	}
}

// sendReport delivers a report to its receivers and their replies to the sender. A report without receivers goes to all
// routers directly; one with the end of the move also goes to all by gossip, which takes broadcastDelay.
func (sim *simulation) sendReport(i int, c table.SendReport) {
	n, err := move.EncodeReport(c.Report)
	if err != nil {
		return
	}
	for _, name := range c.To {
		sim.callRouter(i, sim.routerIndex[name], c.Report, len(n.Value))
	}
	if c.Report.State != table.MoveRunning {
		sim.collectorReplies[i] = collectorReply{c.Report, len(n.Value)}
	}
	if len(c.To) > 0 && c.Report.State == table.MoveRunning {
		return
	}
	delay := sim.workload.ReportDelay
	if len(c.To) > 0 {
		delay = broadcastDelay
	}
	for j := range sim.routers {
		if j == i {
			continue
		}
		sim.enqueue(j, delay, table.ReportReceived{Report: c.Report})
		if len(c.To) == 0 {
			sim.bytes[i] += len(n.Value) + callOverhead
			sim.bytes[j] += len(n.Value) + callOverhead
		}
	}
}

// callRouter delivers a report of the given size to one router, and the reply to the sender.
func (sim *simulation) callRouter(i, j int, r table.Report, size int) {
	sim.enqueue(j, sim.workload.ReportDelay, table.ReportReceived{Report: r})
	size += callOverhead
	if r.Kind == table.ReportToCollector && sim.collectorReplies[j].size > 0 {
		sim.enqueue(i, 2*sim.workload.ReportDelay, table.ReportReceived{Report: sim.collectorReplies[j].report})
		size += sim.collectorReplies[j].size
	}
	sim.bytes[i] += size
	sim.bytes[j] += size
}

func (sim *simulation) enqueue(i int, delay time.Duration, e table.Event) {
	at := delivery{sim.tick + max(int(delay/sim.workload.Tick), 1), i}
	sim.inbox[at] = append(sim.inbox[at], e)
}

func (sim *simulation) replyRecord(i int, e table.MoveRecorded) {
	if sim.record != nil {
		e = *sim.record
	}
	next := delivery{sim.tick + 1, i}
	sim.inbox[next] = append(sim.inbox[next], e)
}

func (sim *simulation) move(i int) *table.Move { return sim.routers[i].Moves["heat"] }

func (sim *simulation) allRecorded() bool {
	for i := range sim.routers {
		if m := sim.move(i); m == nil || !m.Recorded {
			return false
		}
	}
	return true
}

// processTraffic starts the requests of the tick and records the outcomes that are due.
func (sim *simulation) processTraffic() {
	rate := sim.workload.RequestRate
	if sim.scenario.LoadDoubles && sim.tick >= sim.faultTick {
		rate *= 2
	}
	for range poisson(sim.rng, rate*sim.workload.Tick.Seconds()) {
		sim.startRequest()
	}
	for _, o := range sim.pending[sim.tick] {
		sim.recordOutcome(o)
	}
	delete(sim.pending, sim.tick)
}

func poisson(r *rand.Rand, mean float64) int {
	if mean > 30 {
		return max(int(math.Round(mean+math.Sqrt(mean)*r.NormFloat64())), 0)
	}
	limit := math.Exp(-mean)
	n := 0
	for p := r.Float64(); p > limit; p *= r.Float64() {
		n++
	}
	return n
}
