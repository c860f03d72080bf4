package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/internal/core/table"
)

const (
	joinTarget      = 30 * time.Second
	detectionTarget = 10 * time.Second // the stated target is "within seconds"
	spreadTarget    = 3 * time.Second  // the stated target for rules
)

func TestFleetAtSizes(t *testing.T) {
	for _, n := range []int{3, 9, 30, 100} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(n)
			joined := f.runUntil(joinTarget, f.joined)
			is.True(f.joined())
			f.run(30 * time.Second)
			is.Equal(f.countMembers(jaywind.LivenessDead, anyMember), 0) // no false positives
			f.nodes[n-1].down = true
			notAlive := func() bool { return f.countMembers(jaywind.LivenessAlive, onlyMember(n-1)) == 0 }
			suspected := f.runUntil(detectionTarget, notAlive)
			dead := func() bool { return f.countMembers(jaywind.LivenessDead, onlyMember(n-1)) == n-1 }
			died := suspected + f.runUntil(detectionTarget, dead)
			is.True(dead())
			is.True(died <= detectionTarget)
			is.Equal(f.countMembers(jaywind.LivenessDead, allExcept(n-1)), 0)
			t.Logf("members %d: joined in %v; alive in no list after %v, dead in all after %v", n, joined, suspected, died)
		})
	}
}

func TestCostDoesNotGrowWithTheFleet(t *testing.T) {
	is := is.New(t)
	perSecond := map[int]float64{}
	for _, n := range []int{9, 100} {
		f := newFleet(n)
		f.runUntil(joinTarget, f.joined)
		f.run(90 * time.Second) // the updates of the start have been sent
		before := f.nodes[n-1].rows
		f.run(20 * time.Second)
		perSecond[n] = float64(f.nodes[n-1].rows-before) / 20
		t.Logf("members %d: %.1f rows per second", n, perSecond[n])
	}
	is.True(perSecond[100] < 2*perSecond[9])
}

func TestFaults(t *testing.T) {
	tests := map[string]struct {
		inject      func(f *fleet)
		duration    time.Duration            // of the fault
		during      func(is *is.I, f *fleet) // checks made each second from the tenth of the fault
		repair      func(f *fleet)
		mayNotDie   func(int) bool // members that may not be declared dead during the fault
		noSuspicion bool           // no member may be suspected, neither during the fault nor in the first 2 s after it
	}{
		"a pair cannot communicate": {
			inject:      func(f *fleet) { f.blocked = between(3, 4) },
			duration:    30 * time.Second,
			mayNotDie:   anyMember,
			noSuspicion: true,
		},
		"a pair is blocked in one direction": {
			inject:      func(f *fleet) { f.blocked = func(a, b int) bool { return a == 3 && b == 4 } },
			duration:    30 * time.Second,
			mayNotDie:   anyMember,
			noSuspicion: true,
		},
		"a member can send but not be reached": {
			inject:    func(f *fleet) { f.blocked = func(_, b int) bool { return b == 4 } },
			duration:  20 * time.Second,
			during:    func(is *is.I, f *fleet) { is.Equal(f.countMembers(jaywind.LivenessAlive, onlyMember(4)), 0) },
			mayNotDie: allExcept(4),
		},
		"short pause": {
			inject:    func(f *fleet) { f.nodes[5].down = true },
			duration:  time.Second,
			repair:    func(f *fleet) { f.nodes[5].down = false },
			mayNotDie: anyMember,
		},
		"long pause": {
			inject:    func(f *fleet) { f.nodes[5].down = true },
			duration:  30 * time.Second,
			repair:    func(f *fleet) { f.nodes[5].down = false },
			mayNotDie: allExcept(5),
		},
		"long partition into halves": {
			inject:    func(f *fleet) { f.blocked = func(a, b int) bool { return (a < 6) != (b < 6) } },
			duration:  time.Minute,
			during:    func(is *is.I, f *fleet) { is.Equal(f.countMembers(jaywind.LivenessDead, anyMember), 2*6*6) },
			mayNotDie: noMember,
		},
		"whole fleet paused": {
			inject: func(f *fleet) {
				f.runUntil(time.Second, func() bool { return f.nodes[5].state.Fleet.DirectProbe.Target != "" })
				setAll(f, true)
			},
			duration:    time.Minute,
			repair:      func(f *fleet) { setAll(f, false) },
			mayNotDie:   anyMember,
			noSuspicion: true,
		},
		"restart under the same name with a clock set back": {
			inject:    func(f *fleet) { restart(f, 5) },
			duration:  time.Second,
			mayNotDie: anyMember,
		},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(12)
			f.runUntil(joinTarget, f.joined)
			c.inject(f)
			for i := range int(c.duration / time.Second) {
				f.run(time.Second)
				is.Equal(f.countMembers(jaywind.LivenessDead, c.mayNotDie), 0)
				is.True(!c.noSuspicion || f.countMembers(jaywind.LivenessSuspect, anyMember) == 0)
				if c.during != nil && i >= 10 {
					c.during(is, f)
				}
			}
			f.blocked = nil
			if c.repair != nil {
				c.repair(f)
			}
			for range 100 {
				if !c.noSuspicion {
					break
				}
				f.run(tick)
				is.Equal(f.countMembers(jaywind.LivenessSuspect, anyMember), 0)
			}
			took := f.runUntil(detectionTarget, f.joined)
			is.True(f.joined())
			t.Logf("all members alive again after %v", took)
		})
	}
}

func noMember(int) bool { return false }

func between(i, j int) func(a, b int) bool {
	return func(a, b int) bool { return a == i && b == j || a == j && b == i }
}

func setAll(f *fleet, down bool) {
	for _, n := range f.nodes {
		n.down = down
		n.inbox = nil // messages in transit are lost
	}
}

func restart(f *fleet, i int) {
	fresh := newFleet(len(f.nodes)).nodes[i]
	fresh.state.Fleet.Self.Incarnation = 1
	f.nodes[i] = fresh
}

func TestUpdatesReachAllWithinTarget(t *testing.T) {
	tests := map[string]struct {
		emit func(s *table.State)
		has  func(s *table.State) bool
	}{
		"note": {
			emit: func(s *table.State) {
				s.Fleet.Broadcast(jaywind.Note{Kind: "verdict", Key: "heat", Value: []byte("v2")})
			},
			has: func(s *table.State) bool { return len(s.Fleet.Notes) == 1 },
		},
		"rules": {
			emit: func(s *table.State) { s.RulesVersion = 7 },
			has:  func(s *table.State) bool { return s.RulesVersion == 7 },
		},
		"leaving": {
			emit: func(s *table.State) { s.Stopping = true },
			has: func(s *table.State) bool {
				m := s.Fleet.Members["vm050"]
				return s.Stopping || m.Leaving
			},
		},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(100)
			f.runUntil(joinTarget, f.joined)
			f.run(10 * time.Second)
			c.emit(f.nodes[50].state)
			all := func() bool {
				for _, n := range f.nodes {
					if !c.has(n.state) {
						return false
					}
				}
				return true
			}
			took := f.runUntil(spreadTarget, all)
			is.True(all())
			t.Logf("known to 100 routers after %v", took)
		})
	}
}

func TestNoteIsReceivedOnceAfterPartition(t *testing.T) {
	is := is.New(t)
	f := newFleet(12)
	f.runUntil(joinTarget, f.joined)
	f.blocked = func(a, b int) bool { return (a < 6) != (b < 6) }
	f.run(10 * time.Second)
	f.nodes[0].state.Fleet.Broadcast(jaywind.Note{Kind: "verdict", Key: "heat"})
	f.run(time.Minute) // the note has no retransmissions left
	f.blocked = nil
	seen := make([]int, 12)
	for end := f.now.Add(detectionTarget); f.now.Before(end); {
		f.run(tick)
		for i, n := range f.nodes {
			seen[i] += len(n.state.Fleet.NotesIn)
		}
	}
	is.Equal(seen, []int{0, 0, 0, 0, 0, 0, 1, 1, 1, 1, 1, 1})
}

func TestStoreLoss(t *testing.T) {
	tests := map[string]struct {
		size      int // of the side checked
		store     int // the node that reaches the store throughout; -1 for none
		partition bool
		outlast   bool // the partition outlasts DeadRetention
		want      bool // whether the side checked counts as cut off
	}{
		"store down, no partition":            {size: 4, store: -1, want: false},
		"smaller side without the store":      {size: 4, store: 11, partition: true, want: true},
		"larger side without the store":       {size: 8, store: 11, partition: true, want: false},
		"equal halves, store on the other":    {size: 6, store: 11, partition: true, want: false},
		"equal halves, store down":            {size: 6, store: -1, partition: true, want: false},
		"smaller side with the store":         {size: 4, store: 0, partition: true, want: false},
		"one router, partitioned for hours":   {size: 1, store: 11, partition: true, outlast: true, want: true},
		"smaller side, partitioned for hours": {size: 4, store: 11, partition: true, outlast: true, want: true},
		"larger side, partitioned for hours":  {size: 8, store: 11, partition: true, outlast: true, want: false},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(12)
			f.runUntil(joinTarget, f.joined)
			if c.partition {
				f.blocked = func(a, b int) bool { return (a < c.size) != (b < c.size) }
			}
			if c.outlast {
				f.run(3 * detectionTarget) // a single router declares the others dead one after another
				f.now = f.now.Add(DeadRetention)
			}
			for range 30 {
				if c.store >= 0 {
					f.nodes[c.store].inbox = append(f.nodes[c.store].inbox, table.StoreReached{})
				}
				f.run(time.Second)
			}
			for i := range c.size {
				is.Equal(f.nodes[i].state.Fleet.Partitioned, c.want)
			}
			f.blocked = nil
			f.runUntil(detectionTarget, f.joined)
			f.run(time.Second)
			for _, n := range f.nodes {
				is.True(!n.state.Fleet.Partitioned)
			}
		})
	}
}

func TestExpiryCreatesNoMajority(t *testing.T) {
	tests := map[string]struct {
		size     int // of the side checked, out of 12 routers
		majority bool
	}{
		"smaller side": {size: 4},
		"equal halves": {size: 6},
		"larger side":  {size: 8, majority: true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(12)
			f.runUntil(joinTarget, f.joined)
			f.blocked = func(a, b int) bool { return (a < c.size) != (b < c.size) }
			f.run(detectionTarget)
			f.now = f.now.Add(DeadRetention)
			f.run(time.Second)
			for i := range c.size {
				live, all := QuorumCounts(&f.nodes[i].state.Fleet)
				is.Equal(live, c.size)
				is.Equal(2*live > all, c.majority)
			}
			f.blocked = nil
			f.runUntil(detectionTarget, f.joined)
			is.True(f.joined())
		})
	}
}

func TestDeadMembersExpireDespiteJoins(t *testing.T) {
	is := is.New(t)
	f := newFleet(12)
	f.runUntil(joinTarget, f.joined)
	f.nodes[11].down = true
	f.run(detectionTarget)
	is.Equal(f.countMembers(jaywind.LivenessDead, onlyMember(11)), 11)
	for _, i := range []int{3, 7} { // each learns of the dead member from a full table
		f.now = f.now.Add(DeadRetention * 2 / 5)
		restart(f, i)
		f.run(detectionTarget)
		is.Equal(f.countMembers(jaywind.LivenessDead, onlyMember(11)), 11)
	}
	f.now = f.now.Add(DeadRetention / 5)
	f.run(time.Second)
	is.Equal(f.countMembers(jaywind.LivenessDead, onlyMember(11)), 0)
}
