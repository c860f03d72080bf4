package member

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/internal/core/table"
)

const (
	regionFleetSize = 370
	partitionLength = time.Hour
	oldRules        = jaywind.RulesVersion(6)
	newRules        = jaywind.RulesVersion(7)
)

// routerSet tells whether a router is in a set. Failure domains d0 and d2 make up one region, d1 and d3 the other.
type routerSet func(i int) bool

// routersInDomains returns the routers of failure domains, given by number.
func routersInDomains(domains ...int) routerSet {
	return func(i int) bool { return slices.Contains(domains, i%4) }
}

// newSettledFleet returns a fleet in which all routers know each other and have the old rules.
func newSettledFleet(size int) *fleet {
	f := newFleet(size)
	f.tick = largeTick
	for _, n := range f.nodes {
		n.state.RulesVersion = oldRules
		n.state.Fleet.Self.Rules = oldRules
		n.state.Fleet.Self.Incarnation = uint64(f.now.UnixMilli())
	}
	for _, n := range f.nodes {
		n.state.Fleet.Started = f.now
		n.state.Fleet.Synced = true
		for _, other := range f.nodes {
			if other != n {
				n.state.Fleet.Add(&table.Member{Member: other.state.Fleet.Self, Since: f.now})
			}
		}
	}
	f.run(time.Second)
	return f
}

// partitionForHour separates far from the other routers for an hour. Only the first and last seconds are simulated;
// in between only the ages of what is known change.
func (f *fleet) partitionForHour(far routerSet, store int) {
	f.blocked = func(a, b int) bool { return far(a) != far(b) }
	f.runWithStore(2*detectionTarget, store)
	f.now = f.now.Add(partitionLength - 3*detectionTarget)
	f.runWithStore(detectionTarget, store)
}

// runWithStore runs the fleet while one router reaches the store each second.
func (f *fleet) runWithStore(d time.Duration, store int) {
	for range int(d / time.Second) {
		f.nodes[store].inbox = append(f.nodes[store].inbox, table.StoreReached{})
		f.run(time.Second)
	}
}

// countWithRules returns how many routers of a set have at least a version of the rules, and the size of the set.
func (f *fleet) countWithRules(set routerSet, v jaywind.RulesVersion) (has, all int) {
	for i, n := range f.nodes {
		if !set(i) {
			continue
		}
		all++
		if n.state.RulesVersion >= v {
			has++
		}
	}
	return has, all
}

// TestRegionPartitionForAnHour partitions a fleet of the planned size. Router 0, which reaches the store, is never on the far side.
func TestRegionPartitionForAnHour(t *testing.T) {
	tests := map[string]struct {
		far      routerSet
		stops    bool // whether the far side refuses new work
		accepted bool // whether the side with the store has a majority
	}{
		"equal halves":              {far: routersInDomains(1, 3)},
		"smaller side has no store": {far: routersInDomains(3), stops: true, accepted: true},
		"larger side has no store":  {far: routersInDomains(1, 2, 3)},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			near := func(i int) bool { return !c.far(i) }
			f := newSettledFleet(regionFleetSize)
			f.partitionForHour(c.far, 0)
			f.nodes[0].state.RulesVersion = newRules // read from the store
			f.runWithStore(spreadTarget, 0)
			has, all := f.countWithRules(near, newRules)
			is.Equal(has, all) // in force on the side with the store
			_, known := QuorumCounts(&f.nodes[0].state.Fleet)
			is.Equal(known, regionFleetSize) // the far side still counts towards the majority
			is.Equal(2*all > regionFleetSize, c.accepted)
			for i, n := range f.nodes {
				is.Equal(n.state.Fleet.Partitioned, c.far(i) && c.stops)
			}
			f.blocked = nil
			f.runWithStore(spreadTarget, 0)
			has, all = f.countWithRules(c.far, newRules)
			is.Equal(has, all) // in force on the far side within the target after the partition heals
			has, all = f.countWithRules(near, newRules)
			is.Equal(has, all) // not rolled back
			for _, n := range f.nodes {
				is.True(!n.state.Fleet.Partitioned) // new work is accepted again
			}
		})
	}
}

// falseDeaths counts the ordered pairs of routers on the same side of which the first believes the second dead, and all such pairs.
func (f *fleet) falseDeaths(far routerSet) (dead, all int) {
	for i, n := range f.nodes {
		for _, m := range n.state.Fleet.Members {
			if far(f.index[m.Fleet]) != far(i) {
				continue
			}
			all++
			if m.Liveness == jaywind.LivenessDead {
				dead++
			}
		}
	}
	return dead, all
}

// TestShortPartitionCausesNoFalseDeaths heals a partition while the suspicions that it caused are still spreading. They must
// not lead routers to declare members of their own side dead.
func TestShortPartitionCausesNoFalseDeaths(t *testing.T) {
	tests := map[string]routerSet{
		"equal halves":     routersInDomains(1, 3),
		"a failure domain": routersInDomains(3),
	}
	for name, far := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newSettledFleet(regionFleetSize)
			f.blocked = func(a, b int) bool { return far(a) != far(b) }
			f.runWithStore(detectionTarget, 0)
			f.blocked = nil
			worst, all := 0, 0
			for range int(detectionTarget / time.Second) {
				f.runWithStore(time.Second, 0)
				var dead int
				dead, all = f.falseDeaths(far)
				worst = max(worst, dead)
			}
			t.Logf("at most %d of %d pairs on the same side believed dead", worst, all)
			is.True(worst <= all/100)
		})
	}
}
