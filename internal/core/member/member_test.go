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
	joinTarget  = 30 * time.Second
	deathTarget = 10 * time.Second // "within seconds"
	newsTarget  = 3 * time.Second  // from the stated target for rules
)

func TestFleetAtSizes(t *testing.T) {
	for _, n := range []int{3, 9, 30, 100} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(n)
			joined := f.until(joinTarget, f.joined)
			is.True(f.joined())
			f.run(30 * time.Second)
			is.Equal(f.count(jaywind.LivenessDead, anyone), 0) // no false death
			f.nodes[n-1].down = true
			off := func() bool { return f.count(jaywind.LivenessAlive, only(n-1)) == 0 }
			suspected := f.until(deathTarget, off)
			dead := func() bool { return f.count(jaywind.LivenessDead, only(n-1)) == n-1 }
			died := suspected + f.until(deathTarget, dead)
			is.True(dead())
			is.True(died <= deathTarget)
			is.Equal(f.count(jaywind.LivenessDead, others(n-1)), 0)
			t.Logf("members %d: joined in %v; off the entries in %v, dead everywhere in %v", n, joined, suspected, died)
		})
	}
}

func TestCostDoesNotGrowWithTheFleet(t *testing.T) {
	is := is.New(t)
	perSecond := map[int]float64{}
	for _, n := range []int{9, 100} {
		f := newFleet(n)
		f.until(joinTarget, f.joined)
		f.run(90 * time.Second) // the news of the start has been spread
		before := f.nodes[n-1].rows
		f.run(20 * time.Second)
		perSecond[n] = float64(f.nodes[n-1].rows-before) / 20
		t.Logf("members %d: %.1f rows a second", n, perSecond[n])
	}
	is.True(perSecond[100] < 2*perSecond[9])
}

func TestFaults(t *testing.T) {
	tests := map[string]struct {
		strike func(f *fleet)
		hold   time.Duration            // how long the fault lasts
		during func(is *is.I, f *fleet) // checked from the tenth second of the fault on
		heal   func(f *fleet)
		spared func(int) bool // whom nobody may declare dead during the fault
		calm   bool           // nobody may be suspected, neither during the fault nor in 5 s after it
	}{
		"one pair can't talk": {
			strike: func(f *fleet) { f.cut = between(3, 4) },
			hold:   30 * time.Second,
			spared: anyone,
			calm:   true,
		},
		"one way between a pair is cut": {
			strike: func(f *fleet) { f.cut = func(a, b int) bool { return a == 3 && b == 4 } },
			hold:   30 * time.Second,
			spared: anyone,
			calm:   true,
		},
		"member that can speak but not be reached": {
			strike: func(f *fleet) { f.cut = func(_, b int) bool { return b == 4 } },
			hold:   20 * time.Second,
			during: func(is *is.I, f *fleet) { is.Equal(f.count(jaywind.LivenessAlive, only(4)), 0) },
			spared: others(4),
		},
		"short pause": {
			strike: func(f *fleet) { f.nodes[5].down = true },
			hold:   time.Second,
			heal:   func(f *fleet) { f.nodes[5].down = false },
			spared: anyone,
		},
		"long pause": {
			strike: func(f *fleet) { f.nodes[5].down = true },
			hold:   30 * time.Second,
			heal:   func(f *fleet) { f.nodes[5].down = false },
			spared: others(5),
		},
		"halves cut for long": {
			strike: func(f *fleet) { f.cut = func(a, b int) bool { return (a < 6) != (b < 6) } },
			hold:   time.Minute,
			during: func(is *is.I, f *fleet) { is.Equal(f.count(jaywind.LivenessDead, anyone), 2*6*6) },
			spared: nobody,
		},
		"whole fleet paused": {
			strike: func(f *fleet) {
				f.until(time.Second, func() bool { return f.nodes[5].state.Fleet.DirectProbe.Target != "" })
				setAll(f, true)
			},
			hold:   time.Minute,
			heal:   func(f *fleet) { setAll(f, false) },
			spared: anyone,
			calm:   true,
		},
		"restart under the same name with a clock that went back": {
			strike: func(f *fleet) { restart(f, 5) },
			hold:   time.Second,
			spared: anyone,
		},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(12)
			f.until(joinTarget, f.joined)
			c.strike(f)
			for i := range int(c.hold / time.Second) {
				f.run(time.Second)
				is.Equal(f.count(jaywind.LivenessDead, c.spared), 0)
				is.True(!c.calm || f.count(jaywind.LivenessSuspect, anyone) == 0)
				if c.during != nil && i >= 10 {
					c.during(is, f)
				}
			}
			f.cut = nil
			if c.heal != nil {
				c.heal(f)
			}
			for range 100 {
				if !c.calm {
					break
				}
				f.run(tick)
				is.Equal(f.count(jaywind.LivenessSuspect, anyone), 0)
			}
			took := f.until(deathTarget, f.joined)
			is.True(f.joined())
			t.Logf("whole again in %v", took)
		})
	}
}

func nobody(int) bool { return false }

func between(i, j int) func(a, b int) bool {
	return func(a, b int) bool { return a == i && b == j || a == j && b == i }
}

func setAll(f *fleet, down bool) {
	for _, n := range f.nodes {
		n.down = down
		n.inbox = nil // what was under way is lost
	}
}

func restart(f *fleet, i int) {
	fresh := newFleet(len(f.nodes)).nodes[i]
	fresh.state.Fleet.Self.Incarnation = 1
	f.nodes[i] = fresh
}

func TestNewsReachesAllWithinTheTarget(t *testing.T) {
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
			f.until(joinTarget, f.joined)
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
			took := f.until(newsTarget, all)
			is.True(all())
			t.Logf("known by 100 in %v", took)
		})
	}
}

func TestNoteIsReceivedOnceAndAfterACut(t *testing.T) {
	is := is.New(t)
	f := newFleet(12)
	f.until(joinTarget, f.joined)
	f.cut = func(a, b int) bool { return (a < 6) != (b < 6) }
	f.run(10 * time.Second)
	f.nodes[0].state.Fleet.Broadcast(jaywind.Note{Kind: "verdict", Key: "heat"})
	f.run(time.Minute) // the note is not spread any more
	f.cut = nil
	seen := make([]int, 12)
	for end := f.now.Add(deathTarget); f.now.Before(end); {
		f.run(tick)
		for i, n := range f.nodes {
			seen[i] += len(n.state.Fleet.NotesIn)
		}
	}
	is.Equal(seen, []int{0, 0, 0, 0, 0, 0, 1, 1, 1, 1, 1, 1})
}

func TestLostStore(t *testing.T) {
	tests := map[string]struct {
		size  int // of the side without the store
		store int // a node that reaches the store all the time; -1 for none
		cut   bool
		aged  bool // the cut lasts for longer than dead members are remembered
		want  bool // whether the side without the store stops
	}{
		"store down, no cut":                   {size: 4, store: -1, want: false},
		"smaller side without the store":       {size: 4, store: 11, cut: true, want: true},
		"larger side without the store":        {size: 8, store: 11, cut: true, want: false},
		"equal halves, the other has it":       {size: 6, store: 11, cut: true, want: false},
		"equal halves, nobody has it":          {size: 6, store: -1, cut: true, want: false},
		"smaller side in touch with the store": {size: 4, store: 0, cut: true, want: false},
		"one router, cut off for hours":        {size: 1, store: 11, cut: true, aged: true, want: true},
		"smaller side, cut off for hours":      {size: 4, store: 11, cut: true, aged: true, want: true},
		"larger side, cut off for hours":       {size: 8, store: 11, cut: true, aged: true, want: false},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(12)
			f.until(joinTarget, f.joined)
			if c.cut {
				f.cut = func(a, b int) bool { return (a < c.size) != (b < c.size) }
			}
			if c.aged {
				f.run(3 * deathTarget) // one router alone finds the others dead one after the other
				f.now = f.now.Add(ForgetAfter)
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
			f.cut = nil
			f.until(deathTarget, f.joined)
			f.run(time.Second)
			for _, n := range f.nodes {
				is.True(!n.state.Fleet.Partitioned)
			}
		})
	}
}

func TestForgettingMakesNoMajority(t *testing.T) {
	tests := map[string]struct {
		size     int // of the side that is looked at, of 12
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
			f.until(joinTarget, f.joined)
			f.cut = func(a, b int) bool { return (a < c.size) != (b < c.size) }
			f.run(deathTarget)
			f.now = f.now.Add(ForgetAfter)
			f.run(time.Second)
			for i := range c.size {
				live, all := QuorumCounts(&f.nodes[i].state.Fleet)
				is.Equal(live, c.size)
				is.Equal(2*live > all, c.majority)
			}
			f.cut = nil
			f.until(deathTarget, f.joined)
			is.True(f.joined())
		})
	}
}

func TestDeadAreForgottenInSpiteOfJoins(t *testing.T) {
	is := is.New(t)
	f := newFleet(12)
	f.until(joinTarget, f.joined)
	f.nodes[11].down = true
	f.run(deathTarget)
	is.Equal(f.count(jaywind.LivenessDead, only(11)), 11)
	for _, i := range []int{3, 7} { // each learns of the dead from a whole table
		f.now = f.now.Add(ForgetAfter * 2 / 5)
		restart(f, i)
		f.run(deathTarget)
		is.Equal(f.count(jaywind.LivenessDead, only(11)), 11)
	}
	f.now = f.now.Add(ForgetAfter / 5)
	f.run(time.Second)
	is.Equal(f.count(jaywind.LivenessDead, only(11)), 0)
}
