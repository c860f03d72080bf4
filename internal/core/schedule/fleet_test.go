package schedule_test

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"jaywind"
	"jaywind/internal/core/schedule"
)

// policy is how the routers of a model choose engines.
type policy int

const (
	scheduled policy = iota // they ask the owner
	ownCalls                // the behaviour before the scheduler: the engine with the fewest calls of the router, and all are admitted
	oracle                  // the engine with the earliest true end, see placeByTruth
)

// modelRouter is a router with its open streams.
type modelRouter struct {
	vm      jaywind.VM
	live    []*stream
	samples []schedule.Sample
	next    time.Duration
	held    map[schedule.Key]int // memory that engines have assigned, in the answer to the last report
	silent  bool                 // it never reports
	drops   bool                 // it uses none of its grants
}

// lateReport is a report on its way.
type lateReport struct {
	at     time.Duration
	from   *modelRouter
	report schedule.Report
}

// replaceOwner starts an owner without state.
func (m *model) replaceOwner() {
	m.owner = &schedule.Scheduler{Capacity: schedule.Capacity{MemoryTokens: modelMemory, CopiesMemory: true}}
	m.setEndpoints()
}

func (m *model) setEndpoints() {
	var up []schedule.Endpoint
	for _, e := range m.engines {
		if e.up {
			up = append(up, schedule.Endpoint{Key: e.key, Address: e.ref.Address, Domain: jaywind.Domain(fmt.Sprint(e.domain)), Slots: m.slots})
		}
	}
	m.owner.SetEndpoints(up)
}

// place finds an engine for a stream.
func (m *model) place(s *stream) {
	switch {
	case m.policy == oracle:
		m.placeByTruth(s)
	case m.policy == ownCalls || m.now < m.unready:
		m.placeByOwnCalls(s)
	default:
		r := schedule.Request{
			ID: s.id, Router: s.router.vm, Organisation: s.organisation, Resumed: s.resumed, Priority: s.priority,
			Arrived: start.Add(s.arrived), Target: s.target, Left: s.arrived + s.deadline - m.now,
			Tokens: s.tokens(), Prefill: int(s.size()), Events: s.events,
		}
		m.answer(s, m.owner.Ask(r, m.time()))
	}
}

func (m *model) answer(s *stream, d schedule.Decision) {
	delete(m.waiting, s.id)
	switch d.Outcome {
	case schedule.Queued:
		s.ask, m.waiting[s.id] = m.now+reaskAfter, s
	case schedule.Granted:
		switch {
		case s.router.drops:
			m.finish(s)
		case !m.send(s, m.engineOf(d.Endpoint), m.engineOf(d.Standby)):
			s.ask = m.now + modelTick
		}
	default:
		m.finish(s)
		if back := m.now + cmp.Or(s.back, d.RetryAfter); back < s.caller.arrived+s.patience {
			again := *s
			again.arrived = back
			m.returns = append(m.returns, &again)
		}
	}
}

func (m *model) engineOf(k schedule.Key) *engine {
	if i := slices.IndexFunc(m.engines, func(e *engine) bool { return e.key == k }); i >= 0 {
		return m.engines[i]
	}
	return nil
}

// placeByOwnCalls is the behaviour before the scheduler. Where an owner is missing, a router keeps to its share of the bound.
func (m *model) placeByOwnCalls(s *stream) {
	calls, held := map[*engine]int{}, 0
	for _, o := range s.router.live {
		if o.at != nil {
			calls[o.at]++
			held += 2 * o.tokens()
		}
	}
	if share := m.bound() / float64(len(m.routers)); m.policy == scheduled && !s.resumed && float64(held+2*s.tokens()) > share {
		m.finish(s)
		return
	}
	order := slices.Clone(m.engines)
	m.random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	order = slices.DeleteFunc(order, func(e *engine) bool { return !e.up })
	slices.SortStableFunc(order, func(a, b *engine) int { return cmp.Compare(calls[a], calls[b]) })
	for _, e := range order[:min(ownTries, len(order))] {
		if m.send(s, e, nil) {
			return
		}
	}
	if s.resumed {
		s.ask = m.now + reaskAfter
		return
	}
	m.finish(s)
}

func (m *model) bound() float64 {
	n := 0
	for _, e := range m.engines {
		if e.up {
			n++
		}
	}
	return 0.9 * modelMemory * float64(n)
}

// placeByTruth chooses the engine with the earliest true end, and refuses a stream that would miss its target.
func (m *model) placeByTruth(s *stream) {
	var at *engine
	best, first := math.Inf(1), 0.0
	for _, e := range m.engines {
		reserved := float64(2 * s.tokens())
		ahead, n := s.size(), float64(len(e.runs)+len(e.prompts))
		for _, o := range slices.Concat(e.runs, e.prompts) {
			reserved += float64(2 * o.tokens())
			ahead += o.left
		}
		if !e.up || int(n) >= m.slots || reserved > 0.9*modelMemory {
			continue
		}
		wait := e.factor * ahead / prefillChunk * (m.stepMs + prefillStepMs + m.slotMs*n)
		own := e.factor * s.size() / prefillChunk * prefillStepMs
		if end := wait + e.factor*float64(s.output)*(m.stepMs+m.slotMs*n) + own*n; end < best {
			at, best, first = e, end, wait
		}
	}
	switch waited := m.now - s.arrived; {
	case at != nil && waited+time.Duration(first*1e6) <= s.target:
		m.send(s, at, nil)
	case waited < s.target:
		s.ask = m.now + modelTick
	default:
		m.finish(s)
	}
}

// nextStandby chooses a standby as a router does: by the summary of the owner, within the limit that the owner keeps to, or without
// knowledge of what others keep there.
func (m *model) nextStandby(s *stream) *engine {
	var best *engine
	for range 8 {
		e := m.engines[m.random.IntN(len(m.engines))]
		if !e.up || e.domain == s.at.domain {
			continue
		}
		if m.policy != scheduled {
			return e
		}
		if held := s.router.held[e.key]; float64(held+s.tokens()) <= 0.9*modelMemory && (best == nil || held < s.router.held[best.key]) {
			best = e
		}
	}
	return best
}

func (m *model) report(r *modelRouter) {
	r.next = m.now + m.interval()
	if m.policy != scheduled || r.silent {
		return
	}
	out := schedule.Report{Samples: r.samples}
	r.samples = nil
	for _, s := range r.live {
		if s.at == nil {
			continue
		}
		run := schedule.Run{Request: s.id, Organisation: s.organisation, Endpoint: s.at.key, Tokens: s.tokens(), Prefill: s.prefill, Begun: s.begun, Started: start.Add(s.sent)}
		if s.begun && m.now-s.last > schedule.StallTime {
			run.Begun, run.Prefill, run.Started = false, int(s.size()), start.Add(s.last)
		}
		if s.standby != nil {
			run.Standby = s.standby.key
		}
		out.Runs = append(out.Runs, run)
	}
	m.late = append(m.late, lateReport{at: m.now + m.delay, from: r, report: out})
}

// assigned returns the memory that engines have assigned according to the owner.
func (m *model) assigned() map[schedule.Key]int {
	if m.summed != m.now || m.summary == nil {
		m.summary, m.summed = map[schedule.Key]int{}, m.now
		for _, row := range m.owner.Summary(m.time()).Rows {
			m.summary[row.Endpoint] = row.Held
		}
	}
	return m.summary
}

// arrivals lets new callers and those that return arrive.
func (m *model) arrivals() {
	var now []*stream
	m.returns = slices.DeleteFunc(m.returns, func(s *stream) bool {
		if s.arrived <= m.now {
			now = append(now, s)
		}
		return s.arrived <= m.now
	})
	for i := range m.kinds {
		k := &m.kinds[i]
		for rate := k.rate(m.now); rate > 0 && m.arrive[i] <= m.now; {
			m.arrive[i] = max(m.arrive[i], m.now-modelTick) + time.Duration(m.demand.ExpFloat64()/rate*float64(time.Second))
			s := &stream{kind: k, length: float64(k.output), arrived: m.now}
			if k.tailed {
				s.length *= min(4, 0.426*math.Pow(1-m.demand.Float64(), -1/1.5)) // of mean 1 for this limit
			}
			now = append(now, s)
		}
	}
	for _, s := range now {
		s.first, s.end, s.ask, s.id = unset, unset, unset, jaywind.RequestID(fmt.Sprint("r", len(m.all)))
		s.organisation = cmp.Or(s.of, jaywind.Organisation(fmt.Sprint("o", len(m.all)%500)))
		s.caller = cmp.Or(s.caller, s)
		n := s.only
		if n < 0 {
			n = m.random.IntN(len(m.routers))
		}
		s.router = m.routers[n]
		s.router.live = append(s.router.live, s)
		m.all = append(m.all, s)
		m.place(s)
	}
}

// play runs a model until an end.
func (m *model) play(end time.Duration) *model {
	for ; m.now < end; m.now += modelTick {
		m.faults(m.now)
		m.arrivals()
		if m.now%(600*time.Millisecond) == 0 && m.noisy {
			for _, e := range m.engines {
				e.noise = 1
				if m.random.Float64() < 0.15 {
					e.noise = 2.5
				}
			}
		}
		for _, e := range m.engines {
			if e.up {
				m.step(e)
			}
		}
		reserved := 0
		for _, r := range m.routers {
			for i := len(r.live) - 1; i >= 0; i-- {
				s := r.live[i]
				switch {
				case m.now-s.arrived > s.deadline:
					m.finish(s)
					continue
				case s.ask <= m.now:
					s.ask = unset
					m.place(s)
				}
				if s.at != nil {
					reserved += 2 * s.tokens()
				}
			}
			if r.next <= m.now {
				m.report(r)
			}
		}
		for len(m.late) > 0 && m.late[0].at <= m.now {
			m.owner.Report(m.late[0].from.vm, m.late[0].report, m.time())
			m.late[0].from.held = m.assigned()
			m.late = m.late[1:]
		}
		for _, a := range m.owner.Dispatch(m.time()) {
			if s := m.waiting[a.Request]; s != nil {
				m.answer(s, a.Decision)
			}
		}
		m.worst = max(m.worst, float64(reserved)/max(1, m.bound()))
	}
	return m
}
