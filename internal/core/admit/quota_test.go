package admit

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/internal/core/place"
	"jaywind/internal/core/rule"
	"jaywind/internal/core/table"
)

const (
	shareRate  = 20 // requests a second of the organisation
	shareBurst = 40 // requests
	routers    = 9
	quotaTick  = 20 * time.Millisecond
	settled    = 5 * time.Second // after a change, until the limit has to hold
	tolerance  = 0.1             // of the limit, for demands that are a second old
)

// fleet is routers that tell each other demands in virtual time.
type fleet struct {
	states  map[jaywind.VM]*table.State
	homes   []jaywind.VM // of the organisation, best first
	all     []jaywind.VM
	cut     map[jaywind.VM]bool // reach nobody and are reached by nobody
	now     time.Time
	random  *rand.Rand
	inbox   map[jaywind.VM][]table.Event
	calls   int
	entries int
}

func newFleet() *fleet {
	f := &fleet{
		states: map[jaywind.VM]*table.State{},
		cut:    map[jaywind.VM]bool{},
		now:    began,
		random: rand.New(rand.NewPCG(3, 3)),
		inbox:  map[jaywind.VM][]table.Event{},
	}
	var members []jaywind.Member
	for i := range routers {
		vm := jaywind.VM(fmt.Sprint("vm", i))
		members = append(members, jaywind.Member{VM: vm, Domain: jaywind.Domain(fmt.Sprint(i % 3)), Fleet: jaywind.Address(vm), Entry: jaywind.Address(vm)})
		f.all = append(f.all, vm)
	}
	for _, self := range members {
		s := newState()
		o := s.Rules.Organisations["paced"]
		o.Rate, o.Burst = shareRate, shareBurst
		s.Rules.Organisations["paced"] = o
		s.Self, s.Fleet.Self = self.VM, self
		for _, m := range members {
			if m.VM != self.VM {
				s.Fleet.Add(&table.Member{Member: m})
			}
		}
		f.states[self.VM] = s
	}
	for _, m := range place.HomeRouters(members, "paced") {
		f.homes = append(f.homes, m.VM)
	}
	return f
}

// drop makes all others believe a router dead.
func (f *fleet) drop(vm jaywind.VM) {
	delete(f.states, vm)
	for _, s := range f.states {
		s.Fleet.Remove(vm)
	}
}

// run lets callers ask at a rate of each router and returns what was admitted a second.
func (f *fleet) run(d time.Duration, rates map[jaywind.VM]float64) float64 {
	admitted := 0
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(quotaTick)
		for _, vm := range f.all {
			if s := f.states[vm]; s != nil {
				admitted += f.step(vm, s, f.arrivals(rates[vm]))
			}
		}
	}
	return float64(admitted) / d.Seconds()
}

// arrivals draws how many callers come in a tick.
func (f *fleet) arrivals(rate float64) int {
	n := 0
	for due := rate * quotaTick.Seconds(); due > 0; due-- {
		if f.random.Float64() < due {
			n++
		}
	}
	return n
}

func (f *fleet) step(vm jaywind.VM, s *table.State, arrivals int) int {
	for _, p := range s.Pools {
		p.Limit = 1e6
	}
	events := f.inbox[vm]
	f.inbox[vm] = nil
	clear(s.Requests)
	ask(s, "paced", arrivals)
	s.BeginTick(f.now, true, events)
	place.Membership{}.Step(s)
	Quota{}.Step(s)
	Admit{}.Step(s)
	for _, c := range s.TakeCommands() {
		f.carry(vm, c)
	}
	started := len(s.Ready)
	s.Ready = nil
	return started
}

// carry takes a call to its target, which answers at its next tick.
func (f *fleet) carry(from jaywind.VM, c table.Command) {
	switch c := c.(type) {
	case table.SendDemands:
		f.calls++
		f.entries += len(c.Demands)
		if f.states[c.VM] == nil || f.cut[from] || f.cut[c.VM] {
			f.inbox[from] = append(f.inbox[from], table.DemandsReplied{From: c.VM, Sent: c.Demands, Err: errors.New("no answer")})
			return
		}
		f.inbox[c.VM] = append(f.inbox[c.VM], table.DemandsReceived{ReplyTo: uint64(slices.Index(f.all, from)), From: from, Demands: c.Demands})
	case table.ReplyDemands:
		to := f.all[c.ReplyTo]
		f.inbox[to] = append(f.inbox[to], table.DemandsReplied{From: from, Sent: c.Demands, Demands: c.Demands})
	}
}

// TestHomesShareTheLimit has callers ask for a multiple of the limit at some homes.
func TestHomesShareTheLimit(t *testing.T) {
	tests := map[string]struct {
		before, after [3]float64 // of the limit, asked at each home
	}{
		"one home":                     {[3]float64{3, 0, 0}, [3]float64{3, 0, 0}},
		"two homes":                    {[3]float64{1.5, 1.5, 0}, [3]float64{1.5, 1.5, 0}},
		"three homes":                  {[3]float64{1, 1, 1}, [3]float64{1, 1, 1}},
		"uneven":                       {[3]float64{2, 0.6, 0.2}, [3]float64{2, 0.6, 0.2}},
		"all within the limit":         {[3]float64{0.6, 0.2, 0.1}, [3]float64{0.6, 0.2, 0.1}},
		"shift to another home":        {[3]float64{2, 0, 0}, [3]float64{0, 0, 2}},
		"shift to all homes":           {[3]float64{2, 0, 0}, [3]float64{0.7, 0.7, 0.7}},
		"shift from all homes":         {[3]float64{0.7, 0.7, 0.7}, [3]float64{0, 2, 0}},
		"callers come after a silence": {[3]float64{0, 0, 0}, [3]float64{1, 1, 1}},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet()
			for _, asked := range [][3]float64{c.before, c.after} {
				rates := map[jaywind.VM]float64{}
				total := 0.0
				for i, share := range asked {
					rates[f.homes[i]] = share * shareRate
					total += share
				}
				change := f.run(settled, rates) * settled.Seconds()
				got := f.run(30*time.Second, rates) / shareRate
				t.Logf("asked %v: admitted %.0f in the first %v, then %.3f of the limit", asked, change, settled, got)
				is.True(change <= shareRate*settled.Seconds()+3*shareBurst+shareRate) // bursts, and a second untold
				is.True(got <= 1+tolerance)
				is.True(got >= min(1, total)-tolerance)
			}
		})
	}
}

// TestLimitDuringFaults has callers ask for three times the limit at three homes, one of which fails.
func TestLimitDuringFaults(t *testing.T) {
	tests := map[string]struct {
		fault func(f *fleet)
		most  float64 // of the limit while the fault lasts
	}{
		"a home dies":                       {func(f *fleet) { f.drop(f.homes[0]) }, 1},
		"a home is cut off, not yet dead":   {func(f *fleet) { f.cut[f.homes[0]] = true }, 2},
		"all homes are cut from each other": {func(f *fleet) { f.cut[f.homes[0]], f.cut[f.homes[1]], f.cut[f.homes[2]] = true, true, true }, 3},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet()
			rates := map[jaywind.VM]float64{}
			for _, vm := range f.homes {
				rates[vm] = shareRate
			}
			f.run(settled, rates)
			c.fault(f)
			during := f.run(settled, rates) / shareRate
			got := f.run(20*time.Second, rates) / shareRate
			clear(f.cut)
			f.run(settled, rates)
			after := f.run(20*time.Second, rates) / shareRate
			t.Logf("%.3f of the limit in the first %v, then %.3f, and %.3f after it", during, settled, got, after)
			is.True(got <= c.most+tolerance)
			is.True(got >= 1-tolerance) // survivors give the whole
			is.True(after <= 1+tolerance)
			is.True(after >= 1-tolerance)
		})
	}
}

func TestShare(t *testing.T) {
	long := began.Add(-2 * activeFor)
	fresh := func(rate float64) *table.PeerDemand {
		return &table.PeerDemand{Rate: rate, HeardAt: began, ActiveAt: began}
	}
	type peers map[int]*table.PeerDemand // by place among the homes
	tests := map[string]struct {
		own   float64 // of the limit, asked at the first home
		peers peers
		set   func(s *table.State, o *table.Organisation)
		want  float64
	}{
		"nothing heard, nothing asked":       {own: 1, want: 1},
		"others ask for nothing":             {own: 1, peers: peers{1: fresh(0), 2: fresh(0)}, want: 1},
		"another home asks for as much":      {own: 2, peers: peers{1: fresh(2 * shareRate)}, want: 0.5},
		"a small demand is left to its home": {own: 2, peers: peers{1: fresh(0.2 * shareRate)}, want: 0.8},
		"a small demand here":                {own: 0.1, peers: peers{1: fresh(2 * shareRate)}, want: 1.0 / 3},
		"unused rate goes by demand":         {own: 0.6, peers: peers{1: fresh(0.2 * shareRate)}, want: 0.75},
		"a word that is old": {own: 2, peers: peers{
			1: {Rate: shareRate, HeardAt: began.Add(-demandFresh - 1), ActiveAt: began.Add(-demandFresh - 1)},
		}, want: 2.0 / 3},
		"a word that is a minute old": {own: 2, peers: peers{1: {Rate: shareRate, HeardAt: long, ActiveAt: long}}, want: 1},
		"a silent home": {own: 2, peers: peers{
			1: {Rate: shareRate, HeardAt: began.Add(-demandFresh - 1), ActiveAt: began.Add(-demandFresh - 1), Unanswered: missedLimit},
		}, want: 1},
		"not told in time": {own: 2, set: func(_ *table.State, o *table.Organisation) {
			o.OverShareSince = began.Add(-untoldLimit - 1)
		}, want: 1.0 / 3},
		"no home":  {own: 2, set: func(s *table.State, _ *table.Organisation) { s.Fleet.Self.Leaving = true }, want: 1.0 / routers},
		"unlisted": {own: 2, set: func(_ *table.State, o *table.Organisation) { o.Name = table.Unlisted }, want: 1},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet()
			s := f.states[f.homes[0]]
			place.Membership{}.Step(s)
			o, u := s.OrganisationFor("paced")
			o.Demand = table.Demand{Rate: c.own * shareRate, At: began}
			o.Peers = map[jaywind.VM]*table.PeerDemand{}
			for i, p := range c.peers {
				o.Peers[f.homes[i]] = p
			}
			if c.set != nil {
				c.set(s, o)
			}
			got := share(s, o, u)
			t.Logf("%.3f", got)
			is.True(math.Abs(got-c.want) < 1e-9)
		})
	}
}

// TestCallsBetweenHomesAreBounded has all of many organisations ask for twice their limit at one router.
func TestCallsBetweenHomesAreBounded(t *testing.T) {
	is := is.New(t)
	const organisations, seconds = 200, 10
	f := newFleet()
	s := f.states[f.all[0]]
	for i := range organisations {
		name := jaywind.Organisation(fmt.Sprint("many", i))
		for _, other := range f.states {
			other.Rules.Organisations[name] = rule.Organisation{Name: name, Rate: 1, Burst: 2}
		}
	}
	for range seconds * int(time.Second/quotaTick) {
		f.now = f.now.Add(quotaTick)
		s.Now = f.now
		for i := range organisations {
			o, u := s.OrganisationFor(jaywind.Organisation(fmt.Sprint("many", i)))
			o.Demand = table.Demand{Rate: 2, At: f.now}
			noteDemand(s, o, u)
		}
		for _, vm := range f.all {
			f.step(vm, f.states[vm], 0)
		}
	}
	over := 0
	for i := range organisations {
		o, u := s.OrganisationFor(jaywind.Organisation(fmt.Sprint("many", i)))
		homes := homesOf(s, o)
		if isHomeOf(o, s.Self) && share(s, o, u) > 1/float64(len(homes)) && !toldAll(s, o) {
			over++
		}
	}
	t.Logf("%d calls with %d demands in %d s, %d organisations over an even share untold", f.calls, f.entries, seconds, over)
	is.True(f.calls <= seconds*int(time.Second/callPause))
	is.Equal(over, 0)
}

// TestPulsesOverAllHomes has callers ask in pulses that are longer apart than a home's word counts.
func TestPulsesOverAllHomes(t *testing.T) {
	is := is.New(t)
	const pulses, on, off = 10, time.Second, 5 * time.Second
	f := newFleet()
	rates := map[jaywind.VM]float64{}
	for _, vm := range f.homes {
		rates[vm] = 4 * shareRate
	}
	admitted := 0.0
	for range pulses {
		admitted += f.run(on, rates) * on.Seconds()
		f.run(off, nil)
	}
	limit := shareRate * pulses * (on + off).Seconds()
	t.Logf("%.0f admitted, the limit is %.0f and a burst of %d", admitted, limit, shareBurst)
	is.True(admitted <= limit+float64(len(f.homes))*shareBurst)
}

// TestRoutersThatAreNoHomes has callers ask for the whole limit at each router of the fleet.
func TestRoutersThatAreNoHomes(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	rates := map[jaywind.VM]float64{}
	for _, vm := range f.all {
		rates[vm] = shareRate
	}
	f.run(settled, rates)
	calls := f.calls
	got := f.run(30*time.Second, rates) / shareRate
	extra := float64(routers-len(f.homes)) / routers
	t.Logf("%.3f of the limit, %d calls in 30 s", got, f.calls-calls)
	is.True(got <= 1+extra+tolerance)
	is.True(got >= 1-tolerance)
	is.True(f.calls-calls <= 30*3*2) // homes only, one word a second to each other one
}
