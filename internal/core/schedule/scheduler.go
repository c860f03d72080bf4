package schedule

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"jaywind"
)

const (
	reportTTL    = 2500 * time.Millisecond // for which a report counts; longer than two report intervals of the largest fleet
	grantTTL     = time.Second             // after which a grant that no report has confirmed ends
	maxFill      = 0.9                     // fraction of the memory of engines that new runs and their copies may take
	maxPrefills  = 1                       // prompts that an engine prefills at the same time, as more would only delay each other
	prefillGrace = 3                       // times the expected time of the prefills of an engine, after which they no longer keep others from it
	minPrefill   = time.Second             // for which a run without an event counts as prefilling at least
)

// StallTime is the time without an event after which routers report a run as not begun, with all its tokens so far to prefill: its engine
// has preempted it for lack of memory. It is three times the longest usual pause, a step of 31 ms beside a prefill for each of 5 tokens.
const StallTime = 500 * time.Millisecond

// Key identifies an incarnation of an endpoint in the messages of the scheduler.
type Key uint64

// KeyOf returns the key of an incarnation.
func KeyOf(e jaywind.EndpointRef) Key {
	h := xxhash.New()
	_, _ = h.WriteString(string(e.ID))
	_, _ = h.WriteString("/")
	_, _ = h.WriteString(strconv.FormatInt(e.Incarnation, 10))
	return Key(h.Sum64())
}

// Endpoint is an endpoint that accepts work.
type Endpoint struct {
	Key     Key
	Address jaywind.Address
	Domain  jaywind.Domain
	Slots   int // runs that it can process concurrently
}

// Capacity is what all engines of a service have in common.
type Capacity struct {
	MemoryTokens int  // memory of an engine, in tokens
	CopiesMemory bool // runs keep a copy of their memory at another engine
}

// Run is a run of a router at an engine.
type Run struct {
	Request      jaywind.RequestID
	Organisation jaywind.Organisation
	Endpoint     Key
	Standby      Key       // engine that keeps a copy of the run's memory; 0 for none
	Tokens       int       // memory of the run at its end
	Prefill      int       // prompt tokens that the engine has to process before the first event
	Begun        bool      // the run has had its first event, and none is missing for StallTime
	Started      time.Time // when the router sent it, or its last event if it has stalled
}

// Report is all that a router says of its work at a service.
type Report struct {
	Runs    []Run
	Samples []Sample
	Plain   []PlainSample
	Failed  []Failure // since the last report; the owner applies them to its table of endpoints
}

// Failure is a sign that an endpoint has failed.
type Failure struct {
	Endpoint Key
	Absent   bool // it does not accept connections any more, or another endpoint has its address
}

// Scheduler assigns runs to the engines of one service. Set Capacity before use.
type Scheduler struct {
	Capacity Capacity

	endpoints []Endpoint // that accept work
	index     map[Key]int
	loads     map[Key]*load
	reports   map[jaywind.VM]report
	grants    map[jaywind.RequestID]grant
	work      map[jaywind.Organisation]int // tokens of the runs of each organisation
	top       jaywind.Organisation         // with the largest part of the work
	topStale  bool                         // runs of it have ended since
	tokens    int                          // of all runs
	queue     []*waiting
	ready     []Assignment // grants that Dispatch has not returned yet
	rate      rateMeter
	urgent    int       // the most urgent priority that was asked for lately
	urgentAt  time.Time // when it was asked for last
	speeds    Speeds
	plain     plainStats
}

// load is the work of all routers at one engine.
type load struct {
	runs     int
	held     int                       // tokens of runs
	copies   int                       // tokens of copies
	assigned uint64                    // number of the last grant that named the engine, to take turns
	prefills map[jaywind.RequestID]Run // runs without an event
}

// report is the last report of a router.
type report struct {
	at   time.Time
	runs []Run
}

// grant is an assignment that its router has not reported yet.
type grant struct {
	run    Run
	router jaywind.VM
	until  time.Time
}

func (s *Scheduler) init() {
	if s.loads == nil {
		s.loads = map[Key]*load{}
		s.reports = map[jaywind.VM]report{}
		s.grants = map[jaywind.RequestID]grant{}
		s.work = map[jaywind.Organisation]int{}
	}
}

// SetEndpoints sets the endpoints of the service that accept work.
func (s *Scheduler) SetEndpoints(all []Endpoint) {
	s.init()
	s.endpoints = all
	s.index = make(map[Key]int, len(all))
	for i, e := range all {
		s.index[e.Key] = i
	}
	for k, l := range s.loads {
		if _, accepts := s.index[k]; !accepts && l.runs == 0 && l.copies == 0 {
			delete(s.loads, k)
		}
	}
}

// Report records the report of a router, which replaces its last one.
func (s *Scheduler) Report(from jaywind.VM, r Report, now time.Time) {
	s.init()
	for _, run := range s.reports[from].runs {
		s.remove(run)
	}
	r.Runs = slices.Clone(r.Runs)
	for i, run := range r.Runs {
		run.Tokens = min(run.Tokens, s.Capacity.MemoryTokens)
		r.Runs[i] = run
		if g, granted := s.grants[run.Request]; granted {
			s.remove(g.run)
			delete(s.grants, run.Request)
		}
		s.add(run)
	}
	s.reports[from] = report{at: now, runs: r.Runs}
	for _, sample := range r.Samples {
		s.speeds.Add(sample, now)
	}
	s.plain.add(from, r.Plain, now)
	s.expire(now)
}

// add counts a run at its engine and at its standby.
func (s *Scheduler) add(r Run) {
	l := s.loadOf(r.Endpoint)
	l.runs++
	l.held += r.Tokens
	if !r.Begun && r.Prefill > 0 {
		l.prefills[r.Request] = r
	}
	if r.Standby != 0 {
		s.loadOf(r.Standby).copies += r.Tokens
	}
	s.work[r.Organisation] += r.Tokens
	if s.work[r.Organisation] > s.work[s.top] {
		s.top = r.Organisation
	}
	s.tokens += r.Tokens
}

// remove undoes add.
func (s *Scheduler) remove(r Run) {
	l := s.loadOf(r.Endpoint)
	l.runs--
	l.held -= r.Tokens
	delete(l.prefills, r.Request)
	if r.Standby != 0 {
		s.loadOf(r.Standby).copies -= r.Tokens
	}
	s.work[r.Organisation] -= r.Tokens
	s.topStale = s.topStale || r.Organisation == s.top
	if s.work[r.Organisation] <= 0 {
		delete(s.work, r.Organisation)
	}
	s.tokens -= r.Tokens
}

func (s *Scheduler) loadOf(k Key) *load {
	l := s.loads[k]
	if l == nil {
		l = &load{prefills: map[jaywind.RequestID]Run{}}
		s.loads[k] = l
	}
	return l
}

// expire ends old reports and grants.
func (s *Scheduler) expire(now time.Time) {
	for vm, r := range s.reports {
		if now.Sub(r.at) < reportTTL {
			continue
		}
		for _, run := range r.runs {
			s.remove(run)
		}
		delete(s.reports, vm)
		s.plain.forget(vm)
	}
	for id, g := range s.grants {
		if now.Before(g.until) {
			continue
		}
		s.remove(g.run)
		delete(s.grants, id)
		s.takeReady(id)
	}
}

// Reporters returns the number of routers whose reports count.
func (s *Scheduler) Reporters() int { return len(s.reports) }

// Runs returns the number of runs that are reported or granted.
func (s *Scheduler) Runs() (n int) {
	for _, l := range s.loads {
		n += l.runs
	}
	return n
}
