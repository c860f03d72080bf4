package schedule_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"jaywind"
	"jaywind/internal/core/schedule"
)

// The engines of the model, as measured on the deployments of docs/HARDLOAD.md.
const (
	modelTick     = 10 * time.Millisecond
	modelMemory   = 55000 // tokens of an engine
	prefillChunk  = 125.0 // prompt tokens that a step processes
	prefillStepMs = 25.0  // by which they make it longer
	reaskAfter    = 400 * time.Millisecond
	wakeAfter     = 20 * time.Millisecond
	ownTries      = 4 // engines that a router tries which decides for itself
	modelSeed     = 7
	unset         = time.Duration(math.MaxInt64)
)

// kind is a kind of streams.
type kind struct {
	priority               int
	target, deadline       time.Duration
	prompt, output, events int                            // prompt tokens, mean output tokens, and events of a stream
	tailed                 bool                           // a Pareto distribution of the output, up to four times the mean
	rate                   func(at time.Duration) float64 // streams a second
	only                   int                            // the only router that is asked; -1 for all
	of                     jaywind.Organisation           // all are of it; of many if empty
	back                   time.Duration                  // after which a refused caller returns; 0 for when it is told
	patience               time.Duration                  // for which a refused caller returns
}

// stream is a stream of a model, and its run.
type stream struct {
	*kind
	id                             jaywind.RequestID
	router                         *modelRouter
	organisation                   jaywind.Organisation
	length, left, done             float64 // output, prompt tokens still to prefill, output so far
	at, standby                    *engine
	copied, begun, resumed         bool // begun: the run has had an event
	arrived, sent, first, end, ask time.Duration
	prefill                        int           // tokens of the present run's prompt
	last                           time.Duration // last event
	caller                         *stream       // the first try of the caller
	gaps                           []float64     // ms between events at the present engine
}

func (s *stream) size() float64 { return float64(s.prompt) + s.done }
func (s *stream) tokens() int {
	if s.tailed {
		return s.prompt + 4*s.output
	}
	return s.prompt + s.output
}
func (s *stream) good() bool {
	return s.first < unset && s.first-s.arrived <= s.target && s.end < unset && s.end-s.arrived <= s.deadline
}

// engine is a model of an engine: each of its runs produces a token a step, and it prefills one prompt after the other.
type engine struct {
	ref           jaywind.EndpointRef
	key           schedule.Key
	domain        int
	factor, noise float64
	up            bool
	runs, prompts []*stream // the oldest first
	started       bool      // the first prompt has memory
	copies        []*stream
	used          float64
}

// model is a fleet of routers before the engines of one service.
type model struct {
	policy            policy
	stepMs, slotMs    float64
	slots             int
	delay             time.Duration           // of reports
	noisy             bool                    // an engine takes 2.5 times as long in 15% of the moments of 600 ms
	faults            func(now time.Duration) // called each tick
	random            *rand.Rand
	demand            *rand.Rand // of arrivals, so that all policies have the same ones
	now               time.Duration
	kinds             []kind
	arrive            []time.Duration // next one of each kind
	returns           []*stream       // refused callers that come back at their time of arrival
	late              []lateReport
	engines           []*engine
	routers           []*modelRouter
	all               []*stream
	owner             *schedule.Scheduler
	waiting           map[jaywind.RequestID]*stream
	summary           map[schedule.Key]int // memory that engines have assigned, in the last summary
	summed            time.Duration        // when it was made
	unready           time.Duration        // until which the owner doesn't answer
	preempted, rework int
	worst             float64 // largest share of the bound that runs and copies had reserved
}

func (m *model) time() time.Time { return start.Add(m.now) }

func (m *model) interval() time.Duration {
	return max(500*time.Millisecond, time.Duration(len(m.routers))*6*time.Millisecond)
}

func newModel(p policy, routers, engines int, kinds ...kind) *model {
	m := &model{policy: p, stepMs: 5.95, slotMs: 0.0445, slots: 48, kinds: kinds}
	m.random = rand.New(rand.NewPCG(modelSeed, uint64(routers))) //nolint:gosec // the same seed must give the same run
	m.demand = rand.New(rand.NewPCG(uint64(routers), modelSeed)) //nolint:gosec // the same seed must give the same run
	m.faults = func(time.Duration) {}
	for i := range engines {
		e := &engine{domain: i % 3, factor: 1, noise: 1}
		e.ref = jaywind.EndpointRef{ID: jaywind.EndpointID(fmt.Sprint("e", i)), Address: jaywind.Address(fmt.Sprint("a", i))}
		m.engines = append(m.engines, e)
	}
	for i := range routers {
		m.routers = append(m.routers, &modelRouter{vm: jaywind.VM(fmt.Sprint("vm", i))})
		m.routers[i].next = time.Duration(m.random.Int64N(int64(m.interval())))
	}
	m.arrive = make([]time.Duration, len(kinds))
	m.waiting = map[jaywind.RequestID]*stream{}
	m.replaceOwner()
	for _, e := range m.engines {
		m.start(e)
	}
	return m
}

func (m *model) start(e *engine) {
	e.ref.Incarnation++
	e.up, e.key = true, schedule.KeyOf(e.ref)
	m.setEndpoints()
}

// crash ends engines with all their runs and copies.
func (m *model) crash(which func(e *engine) bool) {
	var lost []*stream
	for _, e := range m.engines {
		if !e.up || !which(e) {
			continue
		}
		for _, s := range e.copies {
			s.copied, s.standby = false, nil
		}
		lost = append(lost, e.runs...)
		lost = append(lost, e.prompts...)
		e.up, e.started, e.runs, e.prompts, e.copies = false, false, nil, nil, nil
	}
	m.setEndpoints()
	for _, s := range lost {
		m.wake(s.router)
		s.at, s.gaps, s.resumed = nil, nil, s.first < unset
		if s.copied && s.standby.up {
			e := s.standby
			m.dropCopy(s)
			e.runs, s.at, s.sent, s.last, s.prefill = append(e.runs, s), e, m.now, m.now, 0
			continue
		}
		m.dropCopy(s)
		m.place(s)
	}
}

func (m *model) dropCopy(s *stream) {
	if s.copied {
		s.standby.copies = without(s.standby.copies, s)
	}
	s.copied, s.standby = false, nil
}

func without(all []*stream, s *stream) []*stream {
	return slices.DeleteFunc(all, func(o *stream) bool { return o == s })
}

func (m *model) wake(r *modelRouter) { r.next = min(r.next, m.now+wakeAfter) }

// send starts the run of a stream at an engine; an engine without a free slot rejects it.
func (m *model) send(s *stream, e, standby *engine) bool {
	if !e.up || len(e.runs)+len(e.prompts) >= m.slots {
		return false
	}
	if s.done > 0 {
		m.rework += int(s.size())
	}
	s.at, s.standby, s.sent, s.begun, s.ask = e, standby, m.now, false, unset
	s.left, s.prefill, s.gaps = s.size(), int(s.size()), nil
	e.prompts = append(e.prompts, s)
	m.wake(s.router)
	return true
}

// finish ends a stream, however it has gone.
func (m *model) finish(s *stream) {
	if s.at != nil {
		if n := len(s.gaps); n >= 8 {
			slices.Sort(s.gaps)
			s.addSample(time.Duration(s.gaps[n/4] * float64(time.Millisecond)))
		}
		s.at.runs = without(s.at.runs, s)
		s.at.dropPrompt(s)
	}
	m.dropCopy(s)
	s.router.live = without(s.router.live, s)
	s.at = nil
	delete(m.waiting, s.id)
	m.owner.Leave(s.id)
	m.wake(s.router)
}

func (e *engine) dropPrompt(s *stream) {
	if len(e.prompts) > 0 && e.prompts[0] == s {
		e.started = false
	}
	e.prompts = without(e.prompts, s)
}

func (s *stream) addSample(event time.Duration) {
	s.router.samples = append(s.router.samples, schedule.Sample{Address: s.at.ref.Address, Event: event})
}

// step lets an engine work for a tick.
func (m *model) step(e *engine) {
	e.used = 0
	for _, s := range e.runs {
		e.used += s.size()
	}
	for _, s := range e.copies {
		e.used += s.size()
	}
	n := float64(len(e.runs))
	if len(e.prompts) > 0 {
		s := e.prompts[0]
		e.started = e.started || e.used+s.size() <= modelMemory
		if e.started {
			e.used, n = e.used+s.size(), n+1
		}
	}
	for e.used > modelMemory && len(e.runs) > 0 { // the newest run is preempted, and prefilled again
		s := e.runs[len(e.runs)-1]
		e.runs, e.used = e.runs[:len(e.runs)-1], e.used-s.size()
		s.left, m.rework, m.preempted = s.size(), m.rework+int(s.size()), m.preempted+1
		at := min(len(e.prompts), 1)
		e.prompts = slices.Insert(e.prompts, at, s)
	}
	stepMs := m.stepMs + m.slotMs*n
	if e.started {
		stepMs += prefillStepMs
	}
	stepMs *= e.factor * e.noise
	steps := float64(modelTick) / float64(time.Millisecond) / stepMs
	var ended []*stream
	for _, s := range e.runs {
		per := float64(s.output) / float64(s.events)
		before := math.Floor(s.done / per)
		s.done += steps
		if math.Floor(s.done/per) > before {
			m.event(s, per*stepMs)
		}
		if s.done >= s.length {
			s.end = m.now
			ended = append(ended, s)
		}
	}
	for _, s := range ended {
		m.finish(s)
	}
	if !e.started || len(e.prompts) == 0 {
		return
	}
	s := e.prompts[0]
	if s.left -= prefillChunk * steps; s.left <= 0 {
		e.runs, e.prompts, e.started = append(e.runs, s), e.prompts[1:], false
	}
}

// event is called for each event of a stream, after a time since its last one.
func (m *model) event(s *stream, gapMs float64) {
	s.gaps = append(s.gaps, gapMs)
	s.first, s.last = min(s.first, m.now), m.now
	if !s.begun {
		s.begun = true
		if s.prefill > 0 {
			s.router.samples = append(s.router.samples, schedule.Sample{Address: s.at.ref.Address, Prefill: m.now - s.sent, Tokens: s.prefill})
		}
		m.wake(s.router)
	}
	if s.standby == nil {
		s.standby = m.nextStandby(s)
	}
	if e := s.standby; e != nil && !s.copied && e.up && e.used+s.size() <= modelMemory {
		s.copied, e.copies, e.used = true, append(e.copies, s), e.used+s.size()
	}
}
