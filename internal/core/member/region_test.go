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
	regionFleet = 370
	cutLength   = time.Hour
	oldRules    = jaywind.RulesVersion(6)
	newRules    = jaywind.RulesVersion(7)
)

// side tells on which side of a cut a router is, by its failure domain; d0 and d2 make up one region.
type side func(i int) bool

func domains(names ...int) side {
	return func(i int) bool { return slices.Contains(names, i%4) }
}

// newRegions returns a fleet that has long been whole, in which all have the old rules.
func newRegions(size int) *fleet {
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

// cutAt parts the sides for an hour, of which only the first and last seconds are stepped through: in
// between nothing changes but the ages of what is known.
func (f *fleet) cutAt(far side, store int) {
	f.cut = func(a, b int) bool { return far(a) != far(b) }
	f.hold(2*deathTarget, store)
	f.now = f.now.Add(cutLength - 3*deathTarget)
	f.hold(deathTarget, store)
}

// hold lets time pass while one router reaches the store.
func (f *fleet) hold(d time.Duration, store int) {
	for range int(d / time.Second) {
		f.nodes[store].inbox = append(f.nodes[store].inbox, table.StoreReached{})
		f.run(time.Second)
	}
}

// holders returns how many routers of a side have rules of at least a version.
func (f *fleet) holders(of side, v jaywind.RulesVersion) (has, all int) {
	for i, n := range f.nodes {
		if !of(i) {
			continue
		}
		all++
		if n.state.RulesVersion >= v {
			has++
		}
	}
	return has, all
}

// TestRegionsCutForAnHour parts a fleet of the size to come; router 0, which reaches the store, is never on the far side.
func TestRegionsCutForAnHour(t *testing.T) {
	tests := map[string]struct {
		far      side
		stops    bool // whether the far side refuses new work
		accepted bool // whether the side with the store has a majority
	}{
		"equal halves":              {far: domains(1, 3)},
		"smaller side has no store": {far: domains(3), stops: true, accepted: true},
		"larger side has no store":  {far: domains(1, 2, 3)},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			near := func(i int) bool { return !c.far(i) }
			f := newRegions(regionFleet)
			f.cutAt(c.far, 0)
			f.nodes[0].state.RulesVersion = newRules // read in the store
			f.hold(newsTarget, 0)
			has, all := f.holders(near, newRules)
			is.Equal(has, all) // in force on the side that can hear of it
			_, known := QuorumCounts(&f.nodes[0].state.Fleet)
			is.Equal(known, regionFleet) // the far side still counts for acceptance
			is.Equal(2*all > regionFleet, c.accepted)
			for i, n := range f.nodes {
				is.Equal(n.state.Fleet.Partitioned, c.far(i) && c.stops)
			}
			f.cut = nil
			f.hold(newsTarget, 0)
			has, all = f.holders(c.far, newRules)
			is.Equal(has, all) // in force everywhere within the target after the cut has healed
			has, all = f.holders(near, newRules)
			is.Equal(has, all) // never back
			for _, n := range f.nodes {
				is.True(!n.state.Fleet.Partitioned) // new work is taken again
			}
		})
	}
}

// falseDeaths returns how many pairs of routers on one side believe each other dead, and how many pairs there are.
func (f *fleet) falseDeaths(far side) (dead, all int) {
	for i, n := range f.nodes {
		for _, m := range n.state.Fleet.Members {
			if far(f.at[m.Fleet]) != far(i) {
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

// TestShortCutBuriesNobody heals a cut while the suspicions that it brought about are still on their way.
func TestShortCutBuriesNobody(t *testing.T) {
	tests := map[string]side{
		"equal halves":     domains(1, 3),
		"a failure domain": domains(3),
	}
	for name, far := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newRegions(regionFleet)
			f.cut = func(a, b int) bool { return far(a) != far(b) }
			f.hold(deathTarget, 0)
			f.cut = nil
			worst, all := 0, 0
			for range int(deathTarget / time.Second) {
				f.hold(time.Second, 0)
				var dead int
				dead, all = f.falseDeaths(far)
				worst = max(worst, dead)
			}
			t.Logf("%d of %d pairs of one side believed dead at worst", worst, all)
			is.True(worst <= all/100)
		})
	}
}
