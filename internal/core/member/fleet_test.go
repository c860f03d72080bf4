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
	largeTick = 50 * time.Millisecond // for fleets of hundreds
)

// node is one router of a simulated fleet, which runs only the systems of this package.
type node struct {
	state *table.State
	inbox []table.Event
	down  bool // crashed or paused
	sent  int  // messages sent, replies included
	rows  int  // rows in them
}

// fleet delivers the messages between nodes in virtual time. A request or a reply takes one tick.
type fleet struct {
	now      time.Time
	tick     time.Duration
	nodes    []*node
	index    map[jaywind.Address]int
	blocked  func(from, to int) bool // whether calls from one node to another fail; nil for never
	requests uint64
	calls    map[uint64]pendingCall // by request number, GossipReceived.ReplyTo
	failures []pendingFailure
}

// pendingCall is a call that waits for its reply.
type pendingCall struct {
	from, to int
	number   uint64
}

// pendingFailure is the event that reports a failed call, delivered when the call times out.
type pendingFailure struct {
	at    time.Time
	to    int
	event table.Event
}

var errBlocked = errors.New("blocked")

func newFleet(n int) *fleet {
	f := &fleet{now: time.Unix(1_800_000_000, 0), tick: tick, index: map[jaywind.Address]int{}, calls: map[uint64]pendingCall{}}
	for i := range n {
		s := table.New(uint64(i + 1))
		s.Fleet.Self = jaywind.Member{
			VM:     jaywind.VM(fmt.Sprintf("vm%03d", i)),
			Domain: jaywind.Domain(fmt.Sprint("d", i%4)),
			Fleet:  jaywind.Address(fmt.Sprint("http://10.0.0.", i)),
		}
		s.Self = s.Fleet.Self.VM
		s.Fleet.Seeds = []jaywind.Address{"http://10.0.0.0", "http://10.0.0.1", "http://10.0.0.2"}
		f.index[s.Fleet.Self.Fleet] = i
		f.nodes = append(f.nodes, &node{state: s})
	}
	return f
}

// run advances the time in ticks.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(f.tick)
		f.deliverFailures()
		for i, n := range f.nodes {
			if !n.down {
				f.step(i, n)
			}
		}
	}
}

func (f *fleet) deliverFailures() {
	f.failures = slices.DeleteFunc(f.failures, func(l pendingFailure) bool {
		if l.at.After(f.now) {
			return false
		}
		f.nodes[l.to].inbox = append(f.nodes[l.to].inbox, l.event)
		return true
	})
}

func (f *fleet) step(i int, n *node) {
	events := n.inbox
	n.inbox = nil
	n.state.BeginTick(f.now, true, events)
	Protocol{}.Step(n.state)
	LeaveTracker{}.Step(n.state)
	for _, c := range n.state.TakeCommands() {
		switch c := c.(type) {
		case table.SendGossip:
			n.count(c.Gossip)
			f.send(i, c)
		case table.ReplyGossip:
			n.count(c.Gossip)
			f.deliverReply(c)
		case table.FetchRules:
			n.state.RulesVersion = max(n.state.RulesVersion, c.Version)
			n.inbox = append(n.inbox, table.RulesFetched{})
		}
	}
}

func (n *node) count(g jaywind.Gossip) {
	n.sent++
	n.rows += len(g.Members) + 1
}

func (f *fleet) send(from int, c table.SendGossip) {
	to, known := f.index[c.Address]
	if !known || f.nodes[to].down || f.isBlocked(from, to) {
		f.failures = append(f.failures, pendingFailure{f.now.Add(c.Limit), from, table.GossipReplied{Number: c.Number, Err: errBlocked}})
		return
	}
	f.requests++
	f.calls[f.requests] = pendingCall{from, to, c.Number}
	f.nodes[to].inbox = append(f.nodes[to].inbox, table.GossipReceived{ReplyTo: f.requests, Gossip: c.Gossip})
}

func (f *fleet) deliverReply(c table.ReplyGossip) {
	x := f.calls[c.ReplyTo]
	delete(f.calls, c.ReplyTo)
	f.nodes[x.from].inbox = append(f.nodes[x.from].inbox, table.GossipReplied{Number: x.number, Gossip: c.Gossip})
}

func (f *fleet) isBlocked(from, to int) bool { return f.blocked != nil && f.blocked(from, to) }

// countMembers counts the members with the given liveness in the lists of all running nodes, of those that a filter selects.
func (f *fleet) countMembers(l jaywind.Liveness, filter func(i int) bool) int {
	total := 0
	for _, n := range f.nodes {
		if n.down {
			continue
		}
		for _, m := range n.state.Fleet.Members {
			if m.Liveness == l && filter(f.index[m.Fleet]) {
				total++
			}
		}
	}
	return total
}

// runUntil runs until a condition holds or limit is reached, and returns the time passed.
func (f *fleet) runUntil(limit time.Duration, done func() bool) time.Duration {
	start := f.now
	for !done() && f.now.Sub(start) < limit {
		f.run(f.tick)
	}
	return f.now.Sub(start)
}

func (f *fleet) joined() bool {
	n := len(f.nodes)
	return f.countMembers(jaywind.LivenessAlive, anyMember) == n*(n-1)
}

func anyMember(int) bool { return true }

func onlyMember(i int) func(int) bool { return func(j int) bool { return j == i } }

func allExcept(i int) func(int) bool { return func(j int) bool { return j != i } }
