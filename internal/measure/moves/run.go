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
	hopDelay            = 200 * time.Millisecond // of each hop, where reports go by way of collectors
	broadcastDelay      = 3 * time.Second        // for a note to reach all routers
	callOverhead        = 95                     // of a call beyond those of the notes' values, without TCP and IP
	deathNoticeDelay    = time.Second            // until placement leaves a dead replica alone
	hangTimeout         = 2 * time.Second        // until an attempt without a frame counts as failed
	baseFailureRate     = 0.004
	firstTokenMedian    = 300 * time.Millisecond
	firstTokenSigma     = 0.4
	tokenGapMedian      = 25 * time.Millisecond
	tokenGapSigma       = 0.2
	meanTokens          = 160
	longAnswerShare     = 0.03
	longAnswerTokens    = 3000
	doubledLoadSlowdown = 1.3
	runAfterEnd         = 15 * time.Second // that are still run after the end of a move
)

var routes = []struct {
	name  jaywind.Route
	share float64
}{{"risk", 0.5}, {"clause", 0.3}, {"board", 0.2}}

// run is one move.
type simulation struct {
	workload         Workload
	scenario         Scenario
	rng              *rand.Rand
	start            time.Time
	now              time.Time
	routers          []*table.State
	inbox            map[delivery][]table.Event
	routerIndex      map[jaywind.VM]int // of routers
	collectorReplies []collectorReply   // with which each collector answers
	bytes            []int              // of reports and answers, in and out, by router
	pending          map[int][]outcome  // by tick
	tick             int
	record           *table.Recorded
	replicas         [][]rule.Endpoint // of the new version, by router
	replicasShare    []float64         // share for which inUse was chosen, by router
	old              []rule.Endpoint
	inflight         map[jaywind.EndpointID]int
	deadSince        map[jaywind.EndpointID]int // tick of death
	faultTick        int                        // tick at which a later fault or the surroundings' fault strikes
	oracle           oracle
	settledTick      int // tick at which all routers knew the recorded end
}

// due is when and where an event arrives.
type delivery struct {
	tick   int
	router int
}

// answer is what a collector answers reports with.
type collectorReply struct {
	report table.Report
	size   int // bytes
}

type outcome struct {
	router  int
	trial   *table.Trial
	measure table.Measure
	latency time.Duration
	bad     bool
	final   bool
}

func newSimulation(l Workload, k Scenario, seed uint64) *simulation {
	u := &simulation{
		workload:         l,
		scenario:         k,
		rng:              rand.New(rand.NewPCG(seed, 7)),
		start:            time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC),
		inbox:            map[delivery][]table.Event{},
		routerIndex:      map[jaywind.VM]int{},
		collectorReplies: make([]collectorReply, l.Routers),
		bytes:            make([]int, l.Routers),
		pending:          map[int][]outcome{},
		inflight:         map[jaywind.EndpointID]int{},
		deadSince:        map[jaywind.EndpointID]int{},
		replicas:         make([][]rule.Endpoint, l.Routers),
		replicasShare:    make([]float64, l.Routers),
	}
	u.now = u.start
	u.oracle.threshold = math.Log(2 * 3 * l.RequestRate * l.Duration.Seconds())
	u.oracle.tickLength = l.Tick
	u.faultTick = int((0.1 + 0.6*u.rng.Float64()) * float64(l.Duration/u.workload.Tick))
	set := u.rules()
	for i := range l.Routers {
		s := table.New(seed*1000 + uint64(i))
		s.Self = vm(i)
		s.Rules = set
		s.Membership.Members = l.Routers
		s.Fleet.Self = u.member(i)
		s.Steered = u.start.Add(24 * time.Hour) // no orders here
		for id, e := range set.Endpoints {
			s.Endpoints[id] = &table.Endpoint{ID: id, Load: jaywind.Load{Loaded: []jaywind.Version{e.Version}}}
		}
		u.routers = append(u.routers, s)
	}
	u.fillMembership()
	return u
}

// member returns a router's row in the list of members.
func (u *simulation) member(i int) jaywind.Member {
	return jaywind.Member{VM: vm(i), Domain: jaywind.Domain(fmt.Sprintf("d%d", i%u.workload.Domains))}
}

func vm(i int) jaywind.VM { return jaywind.VM(fmt.Sprintf("vm%d", i)) }

// meet lets each router know all others; the rows are shared, as nothing changes them here.
func (u *simulation) fillMembership() {
	rows := map[jaywind.VM]*table.Member{}
	for i := range u.routers {
		rows[vm(i)] = &table.Member{Member: u.member(i)}
		u.routerIndex[vm(i)] = i
	}
	for i, s := range u.routers {
		s.Fleet.Members = maps.Clone(rows)
		delete(s.Fleet.Members, vm(i))
		s.Fleet.Epoch++
	}
}

func (u *simulation) rules() *rule.Set {
	set := rule.New()
	set.Models["heat"] = rule.Model{Name: "heat", Version: "v1"}
	set.Moves["heat"] = rule.Move{Model: "heat", From: "v1", To: "v2", By: u.start.Add(u.workload.Duration), Budget: cmp.Or(u.workload.Budget, 200)}
	for i := range 2 * u.workload.Replicas {
		e := rule.Endpoint{
			ID:      jaywind.EndpointID(fmt.Sprintf("e%d", i)),
			Kind:    rule.KindEngine,
			Model:   "heat",
			Version: "v1",
			Domain:  jaywind.Domain(fmt.Sprintf("d%d", i%u.workload.Domains)),
		}
		if i >= u.workload.Replicas {
			e.Version = "v2"
		} else {
			u.old = append(u.old, e)
		}
		set.Endpoints[e.ID] = e
	}
	return set
}

// play runs the move to its end and a little further.
func (u *simulation) run() {
	last := int(u.workload.Duration/u.workload.Tick) + 20
	for u.tick = 0; u.tick < last; u.tick++ {
		u.now = u.start.Add(time.Duration(u.tick) * u.workload.Tick)
		if u.tick == u.faultTick {
			u.injectFault()
		}
		u.excludeDead()
		for i := range u.routers {
			u.stepRouter(i)
		}
		u.processTraffic()
		if u.settledTick == 0 && u.allRecorded() {
			u.settledTick = u.tick
		}
		if u.settledTick > 0 && u.tick > u.settledTick+int(runAfterEnd/u.workload.Tick) {
			return
		}
	}
}

// step runs the systems of one router and carries its commands.
func (u *simulation) stepRouter(i int) {
	s := u.routers[i]
	here := delivery{u.tick, i}
	events := u.inbox[here]
	delete(u.inbox, here)
	s.Begin(u.now, true, events)
	move.Decide{}.Step(s)
	if m := s.Moves["heat"]; m.Share != u.replicasShare[i] || u.tick%int(time.Second*10/u.workload.Tick) == 0 {
		u.replicasShare[i] = m.Share
		u.chooseReplicas(i)
	}
	for _, c := range s.Take() {
		u.execute(i, c)
	}
}

func (u *simulation) chooseReplicas(i int) {
	s := u.routers[i]
	var all []rule.Endpoint
	for _, e := range s.Rules.Endpoints {
		if e.Version == "v2" {
			all = append(all, e)
		}
	}
	slices.SortFunc(all, func(a, b rule.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	u.replicas[i] = move.Narrow(s, &table.Request{Model: "heat"}, all)
}

func (u *simulation) execute(i int, c table.Command) {
	switch c := c.(type) {
	case table.Tell:
		u.sendReport(i, c)
	case table.Lead:
		if n, err := move.EncodeLead(c.Report); err == nil {
			u.collectorReplies[i] = collectorReply{c.Report, len(n.Value)}
		}
	case table.Recall:
		u.replyRecord(i, table.Recorded{Move: c.Move, State: table.MoveGoing})
	case table.Record:
		if u.record == nil {
			u.record = &table.Recorded{Move: c.Move, State: c.State, Reason: c.Reason, At: c.At}
		}
		u.replyRecord(i, *u.record)
	}
}

// tell carries a report to those that it is for, and the answers of collectors back.
func (u *simulation) sendReport(i int, c table.Tell) {
	n, err := move.EncodeReport(c.Report)
	if err != nil {
		return
	}
	for _, name := range c.To {
		u.callRouter(i, u.routerIndex[name], c.Report, len(n.Value))
	}
	if c.Report.State != table.MoveGoing {
		u.collectorReplies[i] = collectorReply{c.Report, len(n.Value)}
	}
	if len(c.To) > 0 && c.Report.State == table.MoveGoing {
		return
	}
	lag := u.workload.ReportDelay
	if len(c.To) > 0 {
		lag = broadcastDelay
	}
	for j := range u.routers {
		if j == i {
			continue
		}
		u.enqueue(j, lag, table.Reported{Report: c.Report})
		if len(c.To) == 0 {
			u.bytes[i] += len(n.Value) + callOverhead
			u.bytes[j] += len(n.Value) + callOverhead
		}
	}
}

// call carries a report of so many bytes to one router, and the answer back.
func (u *simulation) callRouter(i, j int, r table.Report, size int) {
	u.enqueue(j, u.workload.ReportDelay, table.Reported{Report: r})
	size += callOverhead
	if r.Kind == table.ReportPart && u.collectorReplies[j].size > 0 {
		u.enqueue(i, 2*u.workload.ReportDelay, table.Reported{Report: u.collectorReplies[j].report})
		size += u.collectorReplies[j].size
	}
	u.bytes[i] += size
	u.bytes[j] += size
}

func (u *simulation) enqueue(i int, lag time.Duration, e table.Event) {
	at := delivery{u.tick + max(int(lag/u.workload.Tick), 1), i}
	u.inbox[at] = append(u.inbox[at], e)
}

func (u *simulation) replyRecord(i int, e table.Recorded) {
	if u.record != nil {
		e = *u.record
	}
	next := delivery{u.tick + 1, i}
	u.inbox[next] = append(u.inbox[next], e)
}

func (u *simulation) move(i int) *table.Move { return u.routers[i].Moves["heat"] }

func (u *simulation) allRecorded() bool {
	for i := range u.routers {
		if m := u.move(i); m == nil || !m.Recorded {
			return false
		}
	}
	return true
}

// arrive starts the requests of the tick and counts the outcomes that are due.
func (u *simulation) processTraffic() {
	rate := u.workload.RequestRate
	if u.scenario.LoadDoubles && u.tick >= u.faultTick {
		rate *= 2
	}
	for range poisson(u.rng, rate*u.workload.Tick.Seconds()) {
		u.startRequest()
	}
	for _, o := range u.pending[u.tick] {
		u.recordOutcome(o)
	}
	delete(u.pending, u.tick)
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
