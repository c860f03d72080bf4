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
	reportLag   = 1500 * time.Millisecond
	callLag     = 200 * time.Millisecond // of each hop, where reports go by way of collectors
	spreadLag   = 3 * time.Second        // for a note to reach all routers
	callBytes   = 95                     // of a call beyond those of the notes' values, without TCP and IP
	noticeDead  = time.Second            // until placement leaves a dead replica alone
	hangNotice  = 2 * time.Second        // until an attempt without a frame counts as failed
	normalFail  = 0.004
	firstMedian = 300 * time.Millisecond
	firstSpread = 0.4
	gapMedian   = 25 * time.Millisecond
	gapSpread   = 0.2
	meanTokens  = 160
	longShare   = 0.03
	longTokens  = 3000
	doubleSlow  = 1.3
	aftermath   = 15 * time.Second // that are still run after the end of a move
)

var routes = []struct {
	name  jaywind.Route
	share float64
}{{"risk", 0.5}, {"clause", 0.3}, {"board", 0.2}}

// run is one move.
type run struct {
	load    Load
	kind    Kind
	random  *rand.Rand
	start   time.Time
	now     time.Time
	routers []*table.State
	inbox   map[due][]table.Event
	index   map[jaywind.VM]int // of routers
	leads   []answer           // with which each collector answers
	bytes   []int              // of reports and answers, in and out, by router
	pending map[int][]outcome  // by tick
	tick    int
	record  *table.MoveRecorded
	inUse   [][]rule.Endpoint // of the new version, by router
	chosen  []float64         // share for which inUse was chosen, by router
	old     []rule.Endpoint
	flight  map[jaywind.EndpointID]int
	dead    map[jaywind.EndpointID]int // tick of death
	turns   int                        // tick at which a later fault or the surroundings' fault strikes
	shown   shown
	settled int // tick at which all routers knew the recorded end
}

// due is when and where an event arrives.
type due struct {
	tick   int
	router int
}

// answer is what a collector answers reports with.
type answer struct {
	report table.Report
	size   int // bytes
}

type outcome struct {
	router  int
	trial   *table.Observation
	measure table.Measure
	took    time.Duration
	bad     bool
	final   bool
}

func newRun(l Load, k Kind, seed uint64) *run {
	u := &run{
		load:    l,
		kind:    k,
		random:  rand.New(rand.NewPCG(seed, 7)),
		start:   time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC),
		inbox:   map[due][]table.Event{},
		index:   map[jaywind.VM]int{},
		leads:   make([]answer, l.Routers),
		bytes:   make([]int, l.Routers),
		pending: map[int][]outcome{},
		flight:  map[jaywind.EndpointID]int{},
		dead:    map[jaywind.EndpointID]int{},
		inUse:   make([][]rule.Endpoint, l.Routers),
		chosen:  make([]float64, l.Routers),
	}
	u.now = u.start
	u.shown.limit = math.Log(2 * 3 * l.Rate * l.Length.Seconds())
	u.shown.tick = l.Tick
	u.turns = int((0.1 + 0.6*u.random.Float64()) * float64(l.Length/u.load.Tick))
	set := u.rules()
	for i := range l.Routers {
		s := table.New(seed*1000 + uint64(i))
		s.Self = vm(i)
		s.Rules = set
		s.Membership.Members = l.Routers
		s.Fleet.Self = u.member(i)
		s.DesiredSetAt = u.start.Add(24 * time.Hour) // no orders here
		for id, e := range set.Endpoints {
			s.Endpoints[id] = &table.Endpoint{ID: id, Load: jaywind.Load{Loaded: []jaywind.Version{e.Version}}}
		}
		u.routers = append(u.routers, s)
	}
	u.meet()
	return u
}

// member returns a router's row in the list of members.
func (u *run) member(i int) jaywind.Member {
	return jaywind.Member{VM: vm(i), Domain: jaywind.Domain(fmt.Sprintf("d%d", i%u.load.Domains))}
}

func vm(i int) jaywind.VM { return jaywind.VM(fmt.Sprintf("vm%d", i)) }

// meet lets each router know all others; the rows are shared, as nothing changes them here.
func (u *run) meet() {
	rows := map[jaywind.VM]*table.Member{}
	for i := range u.routers {
		rows[vm(i)] = &table.Member{Member: u.member(i)}
		u.index[vm(i)] = i
	}
	for i, s := range u.routers {
		s.Fleet.Members = maps.Clone(rows)
		delete(s.Fleet.Members, vm(i))
		s.Fleet.Epoch++
	}
}

func (u *run) rules() *rule.Set {
	set := rule.NewSet()
	set.Models["heat"] = rule.Model{Name: "heat", Version: "v1"}
	set.Moves["heat"] = rule.Move{Model: "heat", From: "v1", To: "v2", Deadline: u.start.Add(u.load.Length), Budget: cmp.Or(u.load.Budget, 200)}
	for i := range 2 * u.load.Replicas {
		e := rule.Endpoint{
			ID:      jaywind.EndpointID(fmt.Sprintf("e%d", i)),
			Kind:    rule.KindEngine,
			Model:   "heat",
			Version: "v1",
			Domain:  jaywind.Domain(fmt.Sprintf("d%d", i%u.load.Domains)),
		}
		if i >= u.load.Replicas {
			e.Version = "v2"
		} else {
			u.old = append(u.old, e)
		}
		set.Endpoints[e.ID] = e
	}
	return set
}

// play runs the move to its end and a little further.
func (u *run) play() {
	last := int(u.load.Length/u.load.Tick) + 20
	for u.tick = 0; u.tick < last; u.tick++ {
		u.now = u.start.Add(time.Duration(u.tick) * u.load.Tick)
		if u.tick == u.turns {
			u.strike()
		}
		u.bury()
		for i := range u.routers {
			u.step(i)
		}
		u.arrive()
		if u.settled == 0 && u.over() {
			u.settled = u.tick
		}
		if u.settled > 0 && u.tick > u.settled+int(aftermath/u.load.Tick) {
			return
		}
	}
}

// step runs the systems of one router and carries its commands.
func (u *run) step(i int) {
	s := u.routers[i]
	here := due{u.tick, i}
	events := u.inbox[here]
	delete(u.inbox, here)
	s.BeginTick(u.now, true, events)
	move.Decide{}.Step(s)
	if m := s.Moves["heat"]; m.Share != u.chosen[i] || u.tick%int(time.Second*10/u.load.Tick) == 0 {
		u.chosen[i] = m.Share
		u.choose(i)
	}
	for _, c := range s.TakeCommands() {
		u.carry(i, c)
	}
}

func (u *run) choose(i int) {
	s := u.routers[i]
	var all []rule.Endpoint
	for _, e := range s.Rules.Endpoints {
		if e.Version == "v2" {
			all = append(all, e)
		}
	}
	slices.SortFunc(all, func(a, b rule.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	u.inUse[i] = move.LimitReplicas(s, &table.Request{Model: "heat"}, all)
}

func (u *run) carry(i int, c table.Command) {
	switch c := c.(type) {
	case table.SendReport:
		u.tell(i, c)
	case table.PublishDecision:
		if n, err := move.EncodeDecision(c.Report); err == nil {
			u.leads[i] = answer{c.Report, len(n.Value)}
		}
	case table.ReadMoveRecord:
		u.reply(i, table.MoveRecorded{Move: c.Move, State: table.MoveRunning})
	case table.WriteMoveRecord:
		if u.record == nil {
			u.record = &table.MoveRecorded{Move: c.Move, State: c.State, Reason: c.Reason, At: c.At}
		}
		u.reply(i, *u.record)
	}
}

// tell carries a report to those that it is for, and the answers of collectors back.
func (u *run) tell(i int, c table.SendReport) {
	n, err := move.EncodeReport(c.Report)
	if err != nil {
		return
	}
	for _, name := range c.To {
		u.call(i, u.index[name], c.Report, len(n.Value))
	}
	if c.Report.State != table.MoveRunning {
		u.leads[i] = answer{c.Report, len(n.Value)}
	}
	if len(c.To) > 0 && c.Report.State == table.MoveRunning {
		return
	}
	lag := u.load.Lag
	if len(c.To) > 0 {
		lag = spreadLag
	}
	for j := range u.routers {
		if j == i {
			continue
		}
		u.post(j, lag, table.ReportReceived{Report: c.Report})
		if len(c.To) == 0 {
			u.bytes[i] += len(n.Value) + callBytes
			u.bytes[j] += len(n.Value) + callBytes
		}
	}
}

// call carries a report of so many bytes to one router, and the answer back.
func (u *run) call(i, j int, r table.Report, size int) {
	u.post(j, u.load.Lag, table.ReportReceived{Report: r})
	size += callBytes
	if r.Kind == table.ReportToCollector && u.leads[j].size > 0 {
		u.post(i, 2*u.load.Lag, table.ReportReceived{Report: u.leads[j].report})
		size += u.leads[j].size
	}
	u.bytes[i] += size
	u.bytes[j] += size
}

func (u *run) post(i int, lag time.Duration, e table.Event) {
	at := due{u.tick + max(int(lag/u.load.Tick), 1), i}
	u.inbox[at] = append(u.inbox[at], e)
}

func (u *run) reply(i int, e table.MoveRecorded) {
	if u.record != nil {
		e = *u.record
	}
	next := due{u.tick + 1, i}
	u.inbox[next] = append(u.inbox[next], e)
}

func (u *run) move(i int) *table.Move { return u.routers[i].Moves["heat"] }

func (u *run) over() bool {
	for i := range u.routers {
		if m := u.move(i); m == nil || !m.Recorded {
			return false
		}
	}
	return true
}

// arrive starts the requests of the tick and counts the outcomes that are due.
func (u *run) arrive() {
	rate := u.load.Rate
	if u.kind.Double && u.tick >= u.turns {
		rate *= 2
	}
	for range poisson(u.random, rate*u.load.Tick.Seconds()) {
		u.request()
	}
	for _, o := range u.pending[u.tick] {
		u.settle(o)
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
