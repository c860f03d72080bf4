package schedule

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"jaywind"
)

const (
	maxQueue       = 4096                   // requests that wait, so that the memory of an owner stays bounded
	pollGrace      = 600 * time.Millisecond // after which a waiting request that was not asked for again has left
	urgentReserve  = 0.1                    // of the bound, which requests of other priorities than the most urgent leave free
	urgentMemory   = 10 * time.Second       // for which a priority counts as the most urgent after a request of it; runs take as long under load
	largeShare     = 0.5                    // of the work in progress; an organisation that has more goes behind the others
	minRetryAfter  = 500 * time.Millisecond
	maxRetryAfter  = 15 * time.Second
	retrySpread    = 0.25            // of the time after which callers may return, over which they do
	usefulShare    = 0.8             // of the expected time of a run that has to be left before the deadline
	maxLateWait    = 2 * time.Second // that a request waits which can't meet its latency target any more
	priorGrantFill = 0.7             // part of the prefill capacity at which requests are expected to be granted before it is measured
)

// Request asks for an engine for a run.
type Request struct {
	ID           jaywind.RequestID
	Router       jaywind.VM
	Organisation jaywind.Organisation
	Resumed      bool // part of the answer has reached the caller
	Priority     int  // of its route or organisation; 0 is the most urgent
	First        bool // its route is the most urgent of several, so that it only needs room at an engine
	Arrived      time.Time
	Target       time.Duration // for the time to the first event; 0 for none
	Left         time.Duration // until the deadline
	Tokens       int           // memory of the run at its end
	Prefill      int           // tokens to process before the first event
	Events       int           // expected number of events
	Exclude      []Key         // endpoints that may not run it
}

// Outcome says how the scheduler answers a request.
type Outcome int

// The outcomes.
const (
	Granted Outcome = iota
	Queued          // it waits for its turn
	Refused         // it would wait for too long
	TooLate         // its deadline leaves no time for it
)

// Decision is the answer to a request.
type Decision struct {
	Outcome    Outcome
	Endpoint   Key
	Standby    Key           // 0 for none
	RetryAfter time.Duration // of a refused request, until there is expected to be room
	Ahead      int           // requests that wait before it
	Expected   time.Duration // wait that was expected
	Bound      int           // tokens that runs and their copies may take together
	InUse      int           // tokens that they take
}

// Assignment is a grant for a request that has waited.
type Assignment struct {
	Request jaywind.RequestID
	Decision
}

// waiting is a request in the queue.
type waiting struct {
	Request
	startBy time.Time // after which it can't meet its target, or its deadline if it is late
	late    bool      // it can't meet its latency target
	seen    time.Time // when its router last asked

	oversized bool // it may need more memory than an engine has
}

// Ask grants a request, adds it to the queue or refuses it. A request that is in the queue keeps its place.
func (s *Scheduler) Ask(r Request, now time.Time) Decision {
	s.init()
	s.expire(now)
	if d, granted := s.takeReady(r.ID); granted {
		return d
	}
	if i := s.find(r.ID); i >= 0 {
		s.queue[i].seen = now
		return s.review(i, now)
	}
	if r.Priority <= s.urgent || now.Sub(s.urgentAt) >= urgentMemory {
		s.urgent, s.urgentAt = r.Priority, now
	}
	w := s.newWaiting(r, now)
	if w == nil {
		return s.decision(TooLate, 0)
	}
	s.enqueue(w)
	s.grant(now)
	if d, granted := s.takeReady(r.ID); granted {
		return d
	}
	i := s.find(r.ID)
	if len(s.queue) > maxQueue {
		return s.refuse(i, now)
	}
	return s.review(i, now)
}

// newWaiting returns the entry of a request for the queue, or nil if its deadline leaves no time for its run.
func (s *Scheduler) newWaiting(r Request, now time.Time) *waiting {
	prefillTime := milliseconds(s.speeds.bestPrefillMs(r.Prefill))
	runTime := prefillTime + milliseconds(s.speeds.bestEventMs()*float64(r.Events))
	if !r.Resumed && r.Left < time.Duration(usefulShare*float64(runTime)) {
		return nil
	}
	w := &waiting{Request: r, seen: now, oversized: r.Tokens > s.maxTokens()}
	w.Tokens = min(r.Tokens, s.maxTokens())
	last := now.Add(r.Left - time.Duration(usefulShare*float64(runTime)))
	onTime := r.Arrived.Add(r.Target - prefillTime)
	switch {
	case r.Resumed:
		w.startBy = now.Add(r.Left)
	case r.Target > 0 && onTime.After(now):
		w.startBy = earlier(onTime, last)
	default:
		w.late = r.Target > 0
		w.startBy = earlier(now.Add(maxLateWait), last)
	}
	return w
}

// review decides whether a request in the queue goes on waiting.
func (s *Scheduler) review(i int, now time.Time) Decision {
	w := s.queue[i]
	ahead := s.ahead(i)
	expected := s.expectedWait(ahead, now)
	if !w.Resumed && now.Add(expected).After(w.startBy) {
		return s.refuse(i, now)
	}
	d := s.decision(Queued, ahead)
	d.Expected = expected
	return d
}

// refuse removes a request from the queue.
func (s *Scheduler) refuse(i int, now time.Time) Decision {
	ahead := s.ahead(i)
	d := s.decision(Refused, ahead)
	d.Expected = s.expectedWait(ahead, now)
	left := max(0, s.queue[i].startBy.Sub(now))
	d.RetryAfter = min(maxRetryAfter, max(minRetryAfter, s.expectedWait(len(s.queue), now)-left))
	d.RetryAfter += time.Duration(rand.Int64N(int64(retrySpread * float64(d.RetryAfter))))
	s.queue = slices.Delete(s.queue, i, i+1)
	return d
}

func (s *Scheduler) decision(o Outcome, ahead int) Decision {
	return Decision{Outcome: o, Ahead: ahead, Bound: s.bound(), InUse: s.inUse()}
}

// Leave removes a request from the queue whose caller has left.
func (s *Scheduler) Leave(id jaywind.RequestID) {
	s.takeReady(id)
	if i := s.find(id); i >= 0 {
		s.queue = slices.Delete(s.queue, i, i+1)
	}
}

// Release drops a grant that its router will not use. It does nothing once a report has confirmed the grant.
func (s *Scheduler) Release(id jaywind.RequestID) {
	if g, granted := s.grants[id]; granted {
		s.remove(g.run)
		delete(s.grants, id)
	}
}

// Waiting returns the number of requests in the queue.
func (s *Scheduler) Waiting() int { return len(s.queue) }

func (s *Scheduler) find(id jaywind.RequestID) int {
	return slices.IndexFunc(s.queue, func(w *waiting) bool { return w.ID == id })
}

// enqueue inserts a request according to the order in which requests are granted.
func (s *Scheduler) enqueue(w *waiting) {
	i, _ := slices.BinarySearchFunc(s.queue, w, compare)
	s.queue = slices.Insert(s.queue, i, w)
}

// compare orders waiting requests: resumed ones, then by priority, those that can meet their target, and arrival.
func compare(a, b *waiting) int {
	return cmp.Or(bools(b.Resumed, a.Resumed), cmp.Compare(a.Priority, b.Priority), bools(a.late, b.late), a.Arrived.Compare(b.Arrived), cmp.Compare(a.ID, b.ID))
}

// bools orders false before true.
func bools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// takeReady returns the grant of a request that was made while another one was asked for.
func (s *Scheduler) takeReady(id jaywind.RequestID) (Decision, bool) {
	i := slices.IndexFunc(s.ready, func(a Assignment) bool { return a.Request == id })
	if i < 0 {
		return Decision{}, false
	}
	d := s.ready[i].Decision
	s.ready = slices.Delete(s.ready, i, i+1)
	return d, true
}

// Dispatch grants the requests whose turn has come and for which there is room. It also returns those that were granted while others
// were asked for.
func (s *Scheduler) Dispatch(now time.Time) []Assignment {
	s.init()
	s.expire(now)
	s.grant(now)
	all := s.ready
	s.ready = nil
	return all
}

// grant grants the requests whose turn has come and for which there is room.
func (s *Scheduler) grant(now time.Time) {
	s.queue = slices.DeleteFunc(s.queue, func(w *waiting) bool { return now.Sub(w.seen) > pollGrace })
	for n := 0; ; n++ {
		w, at, standby := s.next(now)
		if w == nil {
			s.rate.record(n, len(s.queue) > 0, now)
			return
		}
		s.ready = append(s.ready, s.assign(w, at, standby, now))
	}
}

// next returns the first request that can be granted, and where. A request for which there is no room keeps those after it waiting,
// unless it is only kept from engines that may not run it, or needs an empty engine, as all others would wait until one is empty.
func (s *Scheduler) next(now time.Time) (w *waiting, at, standby *Endpoint) {
	for _, w := range s.inTurn() {
		if !w.Resumed && !w.First && s.inUse()+s.need(w.Tokens) > s.boundFor(w, now) {
			if w.oversized {
				continue
			}
			return nil, nil, nil
		}
		if at, standby := s.place(&w.Request, now); at != nil {
			return w, at, standby
		}
		free := w.Request
		free.Exclude = nil
		if at, _ := s.place(&free, now); at == nil && !w.oversized {
			return nil, nil, nil
		}
	}
	return nil, nil, nil
}

// large returns the organisation that has most of the work in progress. It goes over all organisations only after the one with the
// largest part has lost a run, as it is called for each request and there may be tens of thousands of organisations.
func (s *Scheduler) large() (o jaywind.Organisation, found bool) {
	isLarge := func() bool { return float64(s.work[s.top]) > largeShare*float64(s.tokens) }
	if s.topStale && !isLarge() {
		s.topStale = false
		for o, tokens := range s.work {
			if tokens > s.work[s.top] {
				s.top = o
			}
		}
	}
	return s.top, isLarge()
}

// compareInTurn orders waiting requests as compare does, but those of a large organisation behind those of others that can meet their
// target as they can.
func compareInTurn(a, b *waiting, large jaywind.Organisation) int {
	return cmp.Or(bools(b.Resumed, a.Resumed), cmp.Compare(a.Priority, b.Priority), bools(a.late, b.late),
		bools(a.Organisation == large, b.Organisation == large), compare(a, b))
}

// inTurn returns the queue in the order in which requests are granted.
func (s *Scheduler) inTurn() []*waiting {
	large, found := s.large()
	if !found || len(s.queue) < 2 {
		return s.queue
	}
	ordered := slices.Clone(s.queue)
	slices.SortFunc(ordered, func(a, b *waiting) int { return compareInTurn(a, b, large) })
	return ordered
}

// ahead returns the number of requests that are granted before the i-th of the queue.
func (s *Scheduler) ahead(i int) (n int) {
	large, found := s.large()
	if !found {
		return i
	}
	for _, w := range s.queue {
		if compareInTurn(w, s.queue[i], large) < 0 {
			n++
		}
	}
	return n
}

// assign grants a request.
func (s *Scheduler) assign(w *waiting, at, standby *Endpoint, now time.Time) Assignment {
	s.Leave(w.ID)
	run := Run{
		Request: w.ID, Organisation: w.Organisation, Endpoint: at.Key, Tokens: w.Tokens, Prefill: w.Prefill, Started: now,
	}
	s.rate.grants++
	s.loadOf(at.Key).assigned = s.rate.grants
	if standby != nil {
		run.Standby = standby.Key
		s.loadOf(standby.Key).assigned = s.rate.grants
	}
	if g, again := s.grants[w.ID]; again {
		s.remove(g.run)
	}
	s.add(run)
	s.grants[w.ID] = grant{run: run, router: w.Router, until: now.Add(grantTTL)}
	d := s.decision(Granted, 0)
	d.Endpoint, d.Standby = run.Endpoint, run.Standby
	return Assignment{Request: w.ID, Decision: d}
}

// maxTokens returns the memory that is reserved for one run at most. A run whose maximum output exceeds the memory of an engine seldom
// uses all of it, and can run nowhere else.
func (s *Scheduler) maxTokens() int { return int(maxFill * float64(s.Capacity.MemoryTokens)) }

// need returns the memory that a run takes with its copy.
func (s *Scheduler) need(tokens int) int {
	if s.Capacity.CopiesMemory {
		return 2 * tokens
	}
	return tokens
}

// inUse returns the memory that all runs take, with one copy of each.
func (s *Scheduler) inUse() int { return s.need(s.tokens) }

// bound returns the memory that runs and their copies may take together: it follows the number of engines that accept work.
func (s *Scheduler) bound() int {
	return int(maxFill * float64(s.Capacity.MemoryTokens) * float64(len(s.endpoints)))
}

// boundFor returns the memory that runs and their copies may take together once a request is granted. Bulk requests that take all of it at
// the same time would keep urgent ones waiting until their runs end, which is longer than an urgent request may wait.
func (s *Scheduler) boundFor(w *waiting, now time.Time) int {
	if w.Priority > s.urgent && now.Sub(s.urgentAt) < urgentMemory {
		return int((1 - urgentReserve) * float64(s.bound()))
	}
	return s.bound()
}

// expectedWait returns how long a request with i others before it is expected to wait.
func (s *Scheduler) expectedWait(i int, now time.Time) time.Duration {
	prior := 0.0
	if n := len(s.queue); n > 0 {
		total := 0
		for _, w := range s.queue {
			total += w.Prefill
		}
		each := s.speeds.bestPrefillMs(total/n) / 1000
		prior = priorGrantFill * float64(len(s.endpoints)) / max(each, 0.001)
	}
	rate := s.rate.perSecond(prior, now)
	if rate <= 0 {
		return maxRetryAfter
	}
	return min(time.Duration(float64(i+1)/rate*float64(time.Second)), time.Hour)
}

func milliseconds(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
