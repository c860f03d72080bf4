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
	testRate   = 20 // rate limit of the organisation, requests a second
	testBurst  = 40 // burst limit of the organisation, requests
	routers    = 9
	tickPeriod = 20 * time.Millisecond
	settleTime = 5 * time.Second // time after a change within which the limit may be exceeded
	tolerance  = 0.1             // fraction of the limit; demands may be a second old
)

// fleet simulates routers that exchange demands, in virtual time.
type fleet struct {
	states   map[jaywind.VM]*table.State
	homes    []jaywind.VM // homes of the organisation, highest rank first
	all      []jaywind.VM
	isolated map[jaywind.VM]bool // can't exchange messages with any router
	now      time.Time
	random   *rand.Rand
	inbox    map[jaywind.VM][]table.Event
	calls    int
	entries  int
}

func newFleet() *fleet {
	f := &fleet{
		states:   map[jaywind.VM]*table.State{},
		isolated: map[jaywind.VM]bool{},
		now:      began,
		random:   rand.New(rand.NewPCG(3, 3)),
		inbox:    map[jaywind.VM][]table.Event{},
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
		o.Rate, o.Burst = testRate, testBurst
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

// removeMember stops a router and removes it from the membership of all others.
func (f *fleet) removeMember(vm jaywind.VM) {
	delete(f.states, vm)
	for _, s := range f.states {
		s.Fleet.Remove(vm)
	}
}

// run simulates arrivals at a rate for each router and returns the total rate of admitted requests.
func (f *fleet) run(d time.Duration, rates map[jaywind.VM]float64) float64 {
	admitted := 0
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(tickPeriod)
		for _, vm := range f.all {
			if s := f.states[vm]; s != nil {
				admitted += f.step(vm, s, f.arrivals(rates[vm]))
			}
		}
	}
	return float64(admitted) / d.Seconds()
}

// arrivals draws the number of requests in one tick.
func (f *fleet) arrivals(rate float64) int {
	n := 0
	for due := rate * tickPeriod.Seconds(); due > 0; due-- {
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
	enqueue(s, "paced", arrivals)
	s.BeginTick(f.now, true, events)
	place.Membership{}.Step(s)
	Quota{}.Step(s)
	Admit{}.Step(s)
	for _, c := range s.TakeCommands() {
		f.deliver(vm, c)
	}
	started := len(s.Ready)
	s.Ready = nil
	return started
}

// deliver hands a call to its target, which answers at its next tick.
func (f *fleet) deliver(from jaywind.VM, c table.Command) {
	switch c := c.(type) {
	case table.SendDemands:
		f.calls++
		f.entries += len(c.Demands)
		if f.states[c.VM] == nil || f.isolated[from] || f.isolated[c.VM] {
			f.inbox[from] = append(f.inbox[from], table.DemandsReplied{From: c.VM, Sent: c.Demands, Err: errors.New("no answer")})
			return
		}
		f.inbox[c.VM] = append(f.inbox[c.VM], table.DemandsReceived{ReplyTo: uint64(slices.Index(f.all, from)), From: from, Demands: c.Demands})
	case table.ReplyDemands:
		to := f.all[c.ReplyTo]
		f.inbox[to] = append(f.inbox[to], table.DemandsReplied{From: from, Sent: c.Demands, Demands: c.Demands})
	}
}

// TestHomesShareTheLimit offers a multiple of the limit at some homes, before and after a change of load.
func TestHomesShareTheLimit(t *testing.T) {
	tests := map[string]struct {
		before, after [3]float64 // offered load at each home, relative to the limit
	}{
		"one home":                {[3]float64{3, 0, 0}, [3]float64{3, 0, 0}},
		"two homes":               {[3]float64{1.5, 1.5, 0}, [3]float64{1.5, 1.5, 0}},
		"three homes":             {[3]float64{1, 1, 1}, [3]float64{1, 1, 1}},
		"uneven":                  {[3]float64{2, 0.6, 0.2}, [3]float64{2, 0.6, 0.2}},
		"all within the limit":    {[3]float64{0.6, 0.2, 0.1}, [3]float64{0.6, 0.2, 0.1}},
		"shift to another home":   {[3]float64{2, 0, 0}, [3]float64{0, 0, 2}},
		"shift to all homes":      {[3]float64{2, 0, 0}, [3]float64{0.7, 0.7, 0.7}},
		"shift from all homes":    {[3]float64{0.7, 0.7, 0.7}, [3]float64{0, 2, 0}},
		"load after an idle time": {[3]float64{0, 0, 0}, [3]float64{1, 1, 1}},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet()
			for _, asked := range [][3]float64{c.before, c.after} {
				rates := map[jaywind.VM]float64{}
				total := 0.0
				for i, share := range asked {
					rates[f.homes[i]] = share * testRate
					total += share
				}
				admitted := f.run(settleTime, rates) * settleTime.Seconds()
				got := f.run(30*time.Second, rates) / testRate
				t.Logf("asked %v: admitted %.0f in the first %v, then %.3f of the limit", asked, admitted, settleTime, got)
				is.True(admitted <= testRate*settleTime.Seconds()+3*testBurst+testRate) // the bursts, and one second before the demands are exchanged
				is.True(got <= 1+tolerance)
				is.True(got >= min(1, total)-tolerance)
			}
		})
	}
}

// TestLimitDuringFaults offers the whole limit at each of three homes, of which one or all fail.
func TestLimitDuringFaults(t *testing.T) {
	tests := map[string]struct {
		fault func(f *fleet)
		most  float64 // highest admitted rate during the fault, relative to the limit
	}{
		"a home dies":                     {func(f *fleet) { f.removeMember(f.homes[0]) }, 1},
		"a home is cut off, not yet dead": {func(f *fleet) { f.isolated[f.homes[0]] = true }, 2},
		"all homes are cut from each other": {func(f *fleet) {
			f.isolated[f.homes[0]], f.isolated[f.homes[1]], f.isolated[f.homes[2]] = true, true, true
		}, 3},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet()
			rates := map[jaywind.VM]float64{}
			for _, vm := range f.homes {
				rates[vm] = testRate
			}
			f.run(settleTime, rates)
			c.fault(f)
			during := f.run(settleTime, rates) / testRate
			got := f.run(20*time.Second, rates) / testRate
			clear(f.isolated)
			f.run(settleTime, rates)
			after := f.run(20*time.Second, rates) / testRate
			t.Logf("%.3f of the limit in the first %v, then %.3f, and %.3f after it", during, settleTime, got, after)
			is.True(got <= c.most+tolerance)
			is.True(got >= 1-tolerance) // the remaining homes use the whole limit
			is.True(after <= 1+tolerance)
			is.True(after >= 1-tolerance)
		})
	}
}

func TestShare(t *testing.T) {
	long := began.Add(-2 * reservationTTL)
	fresh := func(rate float64) *table.PeerDemand {
		return &table.PeerDemand{Rate: rate, HeardAt: began, ActiveAt: began}
	}
	type peers map[int]*table.PeerDemand // by index in fleet.homes
	tests := map[string]struct {
		own   float64 // demand at the first home, relative to the limit
		peers peers
		set   func(s *table.State, o *table.Organisation)
		want  float64
	}{
		"nothing heard, nothing asked":     {own: 1, want: 1},
		"others ask for nothing":           {own: 1, peers: peers{1: fresh(0), 2: fresh(0)}, want: 1},
		"another home asks for as much":    {own: 2, peers: peers{1: fresh(2 * testRate)}, want: 0.5},
		"another home has a small demand":  {own: 2, peers: peers{1: fresh(0.2 * testRate)}, want: 0.8},
		"a small demand here":              {own: 0.1, peers: peers{1: fresh(2 * testRate)}, want: 1.0 / 3},
		"unused rate is divided by demand": {own: 0.6, peers: peers{1: fresh(0.2 * testRate)}, want: 0.75},
		"demand has expired": {own: 2, peers: peers{
			1: {Rate: testRate, HeardAt: began.Add(-demandTTL - 1), ActiveAt: began.Add(-demandTTL - 1)},
		}, want: 2.0 / 3},
		"demand and reservation have expired": {own: 2, peers: peers{1: {Rate: testRate, HeardAt: long, ActiveAt: long}}, want: 1},
		"an unreachable home": {own: 2, peers: peers{
			1: {Rate: testRate, HeardAt: began.Add(-demandTTL - 1), ActiveAt: began.Add(-demandTTL - 1), Unanswered: maxMissedCalls},
		}, want: 1},
		"demand not reported in time": {own: 2, set: func(_ *table.State, o *table.Organisation) {
			o.OverShareSince = began.Add(-maxUnreportedTime - 1)
		}, want: 1.0 / 3},
		"not a home": {own: 2, set: func(s *table.State, _ *table.Organisation) { s.Fleet.Self.Leaving = true }, want: 1.0 / routers},
		"unlisted":   {own: 2, set: func(_ *table.State, o *table.Organisation) { o.Name = table.Unlisted }, want: 1},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet()
			s := f.states[f.homes[0]]
			place.Membership{}.Step(s)
			o, u := s.OrganisationFor("paced")
			o.Demand = table.Demand{Rate: c.own * testRate, At: began}
			o.Peers = map[jaywind.VM]*table.PeerDemand{}
			for i, p := range c.peers {
				o.Peers[f.homes[i]] = p
			}
			if c.set != nil {
				c.set(s, o)
			}
			got := limitShare(s, o, u)
			t.Logf("%.3f", got)
			is.True(math.Abs(got-c.want) < 1e-9)
		})
	}
}

// TestCallsBetweenHomesAreBounded gives 200 organisations a demand of twice their limit at one router.
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
	for range seconds * int(time.Second/tickPeriod) {
		f.now = f.now.Add(tickPeriod)
		s.Now = f.now
		for i := range organisations {
			o, u := s.OrganisationFor(jaywind.Organisation(fmt.Sprint("many", i)))
			o.Demand = table.Demand{Rate: 2, At: f.now}
			recordDemand(s, o, u)
		}
		for _, vm := range f.all {
			f.step(vm, f.states[vm], 0)
		}
	}
	over := 0
	for i := range organisations {
		o, u := s.OrganisationFor(jaywind.Organisation(fmt.Sprint("many", i)))
		homes := homesOf(s, o)
		if isHomeOf(o, s.Self) && limitShare(s, o, u) > 1/float64(len(homes)) && !reportedToAllHomes(s, o) {
			over++
		}
	}
	t.Logf("%d calls with %d demands in %d s, %d organisations over an even share without reporting it", f.calls, f.entries, seconds, over)
	is.True(f.calls <= seconds*int(time.Second/callInterval))
	is.Equal(over, 0)
}

// TestPulsesOverAllHomes offers load in pulses whose pauses are longer than demandTTL, so that each
// pulse starts without valid demands of the other homes.
func TestPulsesOverAllHomes(t *testing.T) {
	is := is.New(t)
	const pulses, on, off = 10, time.Second, 5 * time.Second
	f := newFleet()
	rates := map[jaywind.VM]float64{}
	for _, vm := range f.homes {
		rates[vm] = 4 * testRate
	}
	admitted := 0.0
	for range pulses {
		admitted += f.run(on, rates) * on.Seconds()
		f.run(off, nil)
	}
	limit := testRate * pulses * (on + off).Seconds()
	t.Logf("%.0f admitted, the limit is %.0f and a burst of %d", admitted, limit, testBurst)
	is.True(admitted <= limit+float64(len(f.homes))*testBurst)
}

// TestRoutersThatAreNoHomes offers the whole limit at each router of the fleet.
func TestRoutersThatAreNoHomes(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	rates := map[jaywind.VM]float64{}
	for _, vm := range f.all {
		rates[vm] = testRate
	}
	f.run(settleTime, rates)
	calls := f.calls
	got := f.run(30*time.Second, rates) / testRate
	extra := float64(routers-len(f.homes)) / routers
	t.Logf("%.3f of the limit, %d calls in 30 s", got, f.calls-calls)
	is.True(got <= 1+extra+tolerance)
	is.True(got >= 1-tolerance)
	is.True(f.calls-calls <= 30*3*2) // only homes call: each calls two others once a second
}
