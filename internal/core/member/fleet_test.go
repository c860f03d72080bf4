package member

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"jaywind"
	"jaywind/internal/core/table"
)

const (
	tick      = 20 * time.Millisecond
	largeTick = 50 * time.Millisecond // of fleets of hundreds
)

// node is one router of a fake fleet, with its membership only.
type node struct {
	state *table.State
	inbox []table.Event
	down  bool // dead, or paused
	told  int  // messages sent, replies included
	rows  int  // rows in them
}

// fleet carries the messages between nodes in virtual time, a tick for each leg.
type fleet struct {
	now   time.Time
	tick  time.Duration
	nodes []*node
	at    map[jaywind.Address]int
	cut   func(from, to int) bool // whether a call from one to another fails
	asks  uint64
	reply map[uint64]exchange // by ask
	late  []late
}

// exchange is a call whose reply is awaited.
type exchange struct {
	from, to int
	number   uint64
}

// late is an event that fails a call when its time is up.
type late struct {
	at time.Time
	to int
	e  table.Event
}

var errCut = errors.New("cut")

func newFleet(n int) *fleet {
	f := &fleet{now: time.Unix(1_800_000_000, 0), tick: tick, at: map[jaywind.Address]int{}, reply: map[uint64]exchange{}}
	for i := range n {
		s := table.New(uint64(i + 1))
		s.Fleet.Self = jaywind.Member{
			VM:     jaywind.VM(fmt.Sprintf("vm%03d", i)),
			Domain: jaywind.Domain(fmt.Sprint("d", i%4)),
			Fleet:  jaywind.Address(fmt.Sprint("http://10.0.0.", i)),
		}
		s.Self = s.Fleet.Self.VM
		s.Fleet.Seeds = []jaywind.Address{"http://10.0.0.0", "http://10.0.0.1", "http://10.0.0.2"}
		f.at[s.Fleet.Self.Fleet] = i
		f.nodes = append(f.nodes, &node{state: s})
	}
	return f
}

// run moves time on in ticks.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(f.tick)
		f.expire()
		for i, n := range f.nodes {
			if !n.down {
				f.step(i, n)
			}
		}
	}
}

func (f *fleet) expire() {
	f.late = slices.DeleteFunc(f.late, func(l late) bool {
		if l.at.After(f.now) {
			return false
		}
		f.nodes[l.to].inbox = append(f.nodes[l.to].inbox, l.e)
		return true
	})
}

func (f *fleet) step(i int, n *node) {
	events := n.inbox
	n.inbox = nil
	n.state.BeginTick(f.now, true, events)
	Protocol{}.Step(n.state)
	LeaveStatus{}.Step(n.state)
	for _, c := range n.state.TakeCommands() {
		switch c := c.(type) {
		case table.SendGossip:
			n.count(c.Gossip)
			f.send(i, c)
		case table.ReplyGossip:
			n.count(c.Gossip)
			f.answer(c)
		case table.FetchRules:
			n.state.RulesVersion = max(n.state.RulesVersion, c.Version)
			n.inbox = append(n.inbox, table.RulesFetched{})
		}
	}
}

func (n *node) count(g jaywind.Gossip) {
	n.told++
	n.rows += len(g.Members) + 1
}

func (f *fleet) send(from int, c table.SendGossip) {
	to, known := f.at[c.Address]
	if !known || f.nodes[to].down || f.isCut(from, to) {
		f.late = append(f.late, late{f.now.Add(c.Limit), from, table.GossipReplied{Number: c.Number, Err: errCut}})
		return
	}
	f.asks++
	f.reply[f.asks] = exchange{from, to, c.Number}
	f.nodes[to].inbox = append(f.nodes[to].inbox, table.GossipReceived{ReplyTo: f.asks, Gossip: c.Gossip})
}

func (f *fleet) answer(c table.ReplyGossip) {
	x := f.reply[c.ReplyTo]
	delete(f.reply, c.ReplyTo)
	f.nodes[x.from].inbox = append(f.nodes[x.from].inbox, table.GossipReplied{Number: x.number, Gossip: c.Gossip})
}

func (f *fleet) isCut(from, to int) bool { return f.cut != nil && f.cut(from, to) }

// count returns how many pairs of running nodes see each other with a liveness.
func (f *fleet) count(l jaywind.Liveness, of func(i int) bool) int {
	total := 0
	for _, n := range f.nodes {
		if n.down {
			continue
		}
		for _, m := range n.state.Fleet.Members {
			if m.Liveness == l && of(f.at[m.Fleet]) {
				total++
			}
		}
	}
	return total
}

// until runs until a condition holds and returns how long that took, at most limit.
func (f *fleet) until(limit time.Duration, done func() bool) time.Duration {
	start := f.now
	for !done() && f.now.Sub(start) < limit {
		f.run(f.tick)
	}
	return f.now.Sub(start)
}

func (f *fleet) joined() bool {
	n := len(f.nodes)
	return f.count(jaywind.LivenessAlive, anyone) == n*(n-1)
}

func anyone(int) bool { return true }

func only(i int) func(int) bool { return func(j int) bool { return j == i } }

func others(i int) func(int) bool { return func(j int) bool { return j != i } }
