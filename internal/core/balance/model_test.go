package balance_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"jaywind"
	"jaywind/internal/core/balance"
	"jaywind/internal/core/endpoint"
	"jaywind/internal/core/route"
	"jaywind/internal/core/schedule"
)

var epoch, service = time.Unix(1000, 0), &route.Service{Name: "desk"}

// server works on as many calls as it has slots, keeps some more in its queue and rejects the others at once.
type server struct {
	ref     jaywind.EndpointRef
	busy    int
	pending time.Duration // work of the calls that it has
	waiting []job
}

// job is a call at a server.
type job struct {
	took time.Duration
	done func(balance.Outcome)
}

func (s *server) key() schedule.Key { return schedule.KeyOf(s.ref) }

type event struct {
	at time.Duration
	do func()
}

type model struct {
	load
	random    *rand.Rand
	now       time.Duration
	events    []event // by time
	servers   []*server
	owner     schedule.Scheduler
	tables    []*endpoint.Table
	balancers []*balance.Balancer
	results   []*callResult
}

func (m *model) time() time.Time { return epoch.Add(m.now) }

func (m *model) schedule(d time.Duration, do func()) {
	e := event{m.now + d, do}
	at, _ := slices.BinarySearchFunc(m.events, e, func(x, y event) int { return cmp.Compare(x.at, y.at) })
	m.events = slices.Insert(m.events, at, e)
}

// play returns the model after a load, with its calls in the order of their arrivals.
func play(l load, seed uint64) *model {
	m := &model{load: l, random: rand.New(rand.NewPCG(seed, 1))}
	for i := range l.servers {
		m.servers = append(m.servers, &server{ref: jaywind.EndpointRef{ID: jaywind.EndpointID(fmt.Sprint("s", i)), Address: jaywind.Address(fmt.Sprint(i))}})
	}
	for i := range l.routers {
		t := &endpoint.Table{}
		for _, s := range m.servers {
			t.Set(endpoint.Entry{ID: s.ref.ID, Service: service.Name, Address: s.ref.Address, Slots: l.slots})
		}
		t.SetPartition(i, l.routers)
		m.tables = append(m.tables, t)
		m.balancers = append(m.balancers, &balance.Balancer{Routers: l.routers, Random: m.random.Float64})
		if !l.noSummaries && !m.old(i) {
			m.schedule(time.Duration(m.random.Float64()*float64(l.interval())), func() { m.report(i) })
		}
	}
	m.schedule(0, m.arrive)
	for len(m.events) > 0 {
		e := m.events[0]
		m.events, m.now = m.events[1:], e.at
		e.do()
	}
	return m
}

func (m *model) report(i int) {
	if m.now > m.length || m.noSummaryFrom > 0 && m.now >= m.noSummaryFrom {
		return
	}
	var accepting []schedule.Endpoint
	for k, s := range m.servers {
		if !m.isDown(k) {
			accepting = append(accepting, schedule.Endpoint{Key: s.key(), Slots: m.slots})
		}
	}
	m.owner.SetEndpoints(accepting)
	m.owner.Report(jaywind.VM(fmt.Sprint(i)), schedule.Report{Plain: m.balancers[i].Samples()}, m.time())
	m.balancers[i].Apply(m.owner.Summary(m.time()), m.time())
	m.schedule(m.interval(), func() { m.report(i) })
}

func (m *model) arrive() {
	if m.now >= m.length {
		return
	}
	m.schedule(time.Duration(m.random.ExpFloat64()/m.perSecond*float64(time.Second)), m.arrive)
	r := &callResult{at: m.now, unsafe: m.random.Float64() < m.unsafe}
	m.results = append(m.results, r)
	i := m.routerOf()
	for k, s := range m.servers {
		m.tables[i].Get(s.ref.ID).Leaving = m.isDown(k)
	}
	all, _ := m.candidates(m.tables[i].Eligible(service, endpoint.Requirements{}, m.time()))
	if !m.old(i) && m.balancers[i].Arrive(all, r.kind(), m.time()) {
		m.refuse(i, r, all)
		return
	}
	m.send(i, r, endpoint.Requirements{})
}

// candidates returns endpoints as the balancer knows them, and the numbers of their servers.
func (m *model) candidates(all []*endpoint.Endpoint) (out []balance.Candidate, numbers []int) {
	for _, e := range all {
		k := slices.IndexFunc(m.servers, func(s *server) bool { return s.ref.ID == e.ID })
		out, numbers = append(out, balance.Candidate{Key: m.servers[k].key(), Slots: m.slots}), append(numbers, k)
	}
	return out, numbers
}

// send sends a call as the router does, except for budgets.
func (m *model) send(i int, r *callResult, n endpoint.Requirements) {
	t, b, now := m.tables[i], m.balancers[i], m.time()
	all, numbers := m.candidates(t.Eligible(service, n, now))
	choice, k := balance.Choice{Key: all[0].Key}, numbers[0]
	if !m.old(i) {
		if !slices.ContainsFunc(numbers, func(k int) bool { return !slices.Contains(r.rejectedAt, k) }) {
			m.refuse(i, r, all)
			return
		}
		if b.Spread(all, now) >= uneven || b.Rejecting(all, now) {
			choice = b.Choose(all, r.kind(), now)
			k = numbers[choice.Index]
		}
	}
	call, row := b.Start(choice, now), t.Get(m.servers[k].ref.ID)
	t.StartCall(row, n)
	r.servers = append(r.servers, k)
	m.offer(k, func(o balance.Outcome) {
		t.FinishCall(row, n)
		b.End(call, o, m.time())
		n.Avoid = append(n.Avoid, row.ID)
		if o == balance.Rejected {
			r.rejectedAt = append(r.rejectedAt, k)
		}
		switch {
		case o == balance.Answered:
			r.answered, r.took = true, m.now-r.at
		case len(r.servers) < maxSends && (o == balance.Rejected || !r.unsafe):
			m.send(i, r, n)
		case o == balance.Rejected:
			m.refuse(i, r, all)
		}
	})
}

// offer gives a call to a server; done is told the outcome.
func (m *model) offer(k int, done func(balance.Outcome)) {
	s := m.servers[k]
	draw := func(f func(int, time.Duration) float64) bool { return f != nil && m.random.Float64() < f(k, m.now) }
	switch {
	case draw(m.reject), len(s.waiting) >= m.queue:
		m.schedule(time.Millisecond, func() { done(balance.Rejected) })
	case draw(m.fail):
		m.schedule(time.Millisecond, func() { done(balance.Failed) })
	default:
		took := time.Duration(math.Exp(workSigma*m.random.NormFloat64()-workSigma*workSigma/2) * float64(workMean))
		s.pending += took
		s.waiting = append(s.waiting, job{took, done})
		m.work(k)
	}
}

// work starts the calls for which a server has slots.
func (m *model) work(k int) {
	s := m.servers[k]
	for s.busy < m.slots && len(s.waiting) > 0 {
		j := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.busy++
		m.schedule(time.Duration(float64(j.took)*m.slowness(k)), func() {
			s.busy--
			s.pending -= j.took
			j.done(balance.Answered)
			m.work(k)
		})
	}
}
