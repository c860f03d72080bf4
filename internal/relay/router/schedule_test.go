package router_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"jaywind"
	"jaywind/internal/core/endpoint"
	"jaywind/internal/core/retry"
	"jaywind/internal/core/rollout"
	"jaywind/internal/core/route"
	"jaywind/internal/core/schedule"
	"jaywind/internal/relay/router"
	"jaywind/internal/standin/bubble"
)

var errNoOwner = errors.New("no owner is ready")

// fakeScheduler is a Scheduler whose answers are made by a function, which is told the number of the question, from 1.
type fakeScheduler struct {
	answer func(ctx context.Context, n int, q schedule.Request) (schedule.Decision, error)

	mu    sync.Mutex
	asked []schedule.Request
	woken int
}

func (f *fakeScheduler) Ask(ctx context.Context, _ jaywind.ServiceName, q schedule.Request) (schedule.Decision, error) {
	f.mu.Lock()
	f.asked = append(f.asked, q)
	n := len(f.asked)
	f.mu.Unlock()
	return f.answer(ctx, n, q)
}

func (f *fakeScheduler) Wake(jaywind.ServiceName) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.woken++
}

func (f *fakeScheduler) questions() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.asked)
}

// engineKey returns the key of an engine of a scheduleTest.
func engineKey(id jaywind.EndpointID) schedule.Key {
	return schedule.KeyOf(jaywind.EndpointRef{ID: id, Address: jaywind.Address(id)})
}

func grant(at, standby jaywind.EndpointID) (schedule.Decision, error) {
	d := schedule.Decision{Outcome: schedule.Granted, Endpoint: engineKey(at)}
	if standby != "" {
		d.Standby = engineKey(standby)
	}
	return d, nil
}

// grantFree grants the first of some engines that the request does not exclude, and keeps it waiting if there is none.
func grantFree(free ...jaywind.EndpointID) func(context.Context, int, schedule.Request) (schedule.Decision, error) {
	return func(ctx context.Context, _ int, q schedule.Request) (schedule.Decision, error) {
		for _, id := range free {
			if !slices.Contains(q.Exclude, engineKey(id)) {
				return grant(id, "")
			}
		}
		<-ctx.Done()
		return schedule.Decision{}, ctx.Err()
	}
}

// pacedStream is a stream whose events come after pauses.
type pacedStream struct {
	fakeStream
	pause  func(id int64) time.Duration // before an event
	once   sync.Once
	closed chan struct{}
}

func (e *pacedStream) Next(limit time.Duration) (jaywind.Event, error) {
	if e.next <= e.last {
		select {
		case <-e.closed:
			return jaywind.Event{}, io.ErrUnexpectedEOF
		case <-time.After(e.pause(e.next)):
		}
	}
	return e.fakeStream.Next(limit)
}

func (e *pacedStream) Close() error {
	e.once.Do(func() { close(e.closed) })
	return nil
}

func newPacedStream(s jaywind.UpstreamRequest, last int64, pause func(id int64) time.Duration) jaywind.EventStream {
	return &pacedStream{fakeStream: fakeStream{next: s.LastEventID + 1, last: last}, pause: pause, closed: make(chan struct{})}
}

const (
	testPrompt = 800 // tokens
	testOutput = 200 // tokens
	testStride = 5   // tokens per event
)

// scheduleTest is a router with an urgent route and one for bulk at a service of four engines, two in each of two failure domains.
type scheduleTest struct {
	upstream  *scriptedUpstream
	scheduler *fakeScheduler
	router    *router.Router
}

// newScheduleTest returns a test whose streams have six events and are granted e1, with a standby at e2.
func newScheduleTest(copies bool) *scheduleTest {
	s := &scheduleTest{upstream: &scriptedUpstream{}, scheduler: &fakeScheduler{}}
	s.upstream.open = func(q jaywind.UpstreamRequest) (jaywind.EventStream, error) {
		return &fakeStream{next: q.LastEventID + 1, last: 6}, nil
	}
	s.scheduler.answer = func(context.Context, int, schedule.Request) (schedule.Decision, error) { return grant("e1", "e2") }
	s.router = &router.Router{Self: "vm1", Upstream: s.upstream, Scheduler: s.scheduler, Scheduling: router.Scheduling{Priorities: true, Uneven: 1.5},
		RetryBudget: retry.Budget{Ratio: 1, Reserve: 100, Window: 10 * time.Second}}
	s.configure(1, 2, copies)
	for i, id := range []jaywind.EndpointID{"e1", "e2", "e3", "e4"} {
		s.router.UpdateEndpoint(engineEntry(id, jaywind.Domain(rune('a'+i%2))))
	}
	return s
}

func engineEntry(id jaywind.EndpointID, d jaywind.Domain) endpoint.Entry {
	return endpoint.Entry{ID: id, Service: "pool", Address: jaywind.Address(id), Domain: d, Slots: 16}
}

// configure puts a configuration in force in which the route for bulk has a priority; the urgent one has 0.
func (s *scheduleTest) configure(version uint64, bulk int, copies bool) {
	newRoute := func(name jaywind.Route, priority int) route.Route {
		return route.Route{Name: name, Host: "a", Prefix: "/" + string(name) + "/", Kind: route.KindStream, Resume: true, MaxAttempts: 5, Priority: priority,
			LatencyTarget: 4 * time.Second, EventTimeout: time.Second, AllowAnonymous: true, Backends: []route.Backend{{Service: "pool", Weight: 1}}}
	}
	s.router.SetConfig(route.NewSet(version, []route.Route{newRoute("urgent", 0), newRoute("bulk", bulk)},
		[]route.Service{{Name: "pool", Engine: &route.Engine{Slots: 16, MemoryTokens: 55000, CopiesMemory: copies, TokensPerEvent: testStride}}},
		&route.Keys{
			"k0": {Organisation: "org0"}, "k1": {Organisation: "org1", Priority: 1, HasPriority: true},
			"first": {Organisation: "first", Priority: 0, HasPriority: true}, "last": {Organisation: "last", Priority: 9, HasPriority: true},
		}, route.Limits{}))
}

// request returns a request of the route for bulk.
func (s *scheduleTest) request(id jaywind.RequestID) *router.Request {
	return &router.Request{ID: id, Host: "a", Path: "/bulk/x", Arrived: time.Now(), Timeout: 8 * time.Second, PromptTokens: testPrompt, MaxTokens: testOutput, APIKey: "k0"}
}

func (s *scheduleTest) serve(id jaywind.RequestID) *outcome {
	o := &outcome{caller: caller{reads: 1000}}
	s.router.Serve(context.Background(), s.request(id), o)
	return o
}

func (s *scheduleTest) report() schedule.Report { return s.router.Report("pool", time.Now()) }

// TestGrant guards against a stream that runs elsewhere than the owner has assigned it, and against a question that says less than the
// owner needs.
func TestGrant(t *testing.T) {
	is := is.New(t)
	s := newScheduleTest(true)
	s.scheduler.answer = func(context.Context, int, schedule.Request) (schedule.Decision, error) { return grant("e3", "e2") }
	o := s.serve("q")
	is.Equal(o.events, 6)
	is.Equal(len(s.upstream.sent), 1)
	sent := s.upstream.sent[0]
	is.Equal(sent.Endpoint.ID, jaywind.EndpointID("e3"))
	is.Equal(sent.Standby, jaywind.Address("e2"))
	is.True(!sent.First && !sent.Urgent)
	is.Equal(s.scheduler.questions(), 1)
	q := s.scheduler.asked[0]
	is.Equal(q.ID, jaywind.RequestID("q"))
	is.Equal(q.Router, jaywind.VM("vm1"))
	is.Equal(q.Organisation, jaywind.Organisation("org0"))
	is.True(!q.Resumed && !q.First)
	is.Equal(q.Tokens, testPrompt+testOutput)
	is.Equal(q.Prefill, testPrompt)
	is.Equal(q.Events, testOutput/testStride)
	is.Equal(q.Target, 4*time.Second)
	is.True(q.Left > 7*time.Second && q.Left <= 8*time.Second)
	is.Equal(len(q.Exclude), 0)
	is.True(s.scheduler.woken >= 2) // at the start and at the end
}

// TestRefusal guards against a refusal without the time after which there is room, or of a request that was sent.
func TestRefusal(t *testing.T) {
	for name, outcome := range map[string]schedule.Outcome{"no room": schedule.Refused, "too late": schedule.TooLate} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newScheduleTest(true)
			s.scheduler.answer = func(context.Context, int, schedule.Request) (schedule.Decision, error) {
				return schedule.Decision{Outcome: outcome, RetryAfter: 3 * time.Second}, nil
			}
			o := s.serve("q")
			is.Equal(o.refused, []router.Refusal{{Reason: router.ReasonNoRoom, RetryAfter: 3 * time.Second}})
			is.Equal(o.responses(), 1)
			is.Equal(len(s.upstream.sent), 0)
			is.Equal(len(s.report().Runs), 0)
		})
	}
}

// TestNoRefusalAfterRun guards against a refusal, which says that the request has not run, of a stream that may have.
func TestNoRefusalAfterRun(t *testing.T) {
	tests := map[string]struct {
		first   func() (jaywind.EventStream, error) // attempt; nil for none before the refusals
		resumed bool
		from    int64 // event that the caller has
	}{
		"has begun":          {first: func() (jaywind.EventStream, error) { return &brokenStream{next: 1, last: 3}, nil }},
		"may have run":       {first: func() (jaywind.EventStream, error) { return nil, io.ErrUnexpectedEOF }},
		"caller reconnected": {resumed: true, from: 3},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newScheduleTest(false)
				s.upstream.open = func(q jaywind.UpstreamRequest) (jaywind.EventStream, error) {
					if c.first != nil && len(s.upstream.sent) == 1 {
						return c.first()
					}
					return &fakeStream{next: q.LastEventID + 1, last: 6}, nil
				}
				s.scheduler.answer = func(_ context.Context, n int, q schedule.Request) (schedule.Decision, error) {
					switch {
					case c.first != nil && n == 1:
						return grant("e1", "")
					case !q.Resumed:
						return schedule.Decision{}, errors.New("the question is of a new run")
					case n < 5:
						return schedule.Decision{Outcome: schedule.Refused, RetryAfter: time.Second}, nil
					}
					return grant("e2", "")
				}
				q := s.request("q")
				q.Resumed, q.LastEventID = c.resumed, c.from
				o := &outcome{caller: caller{reads: 6}}
				s.router.Serve(context.Background(), q, o)
				is.Equal(o.responses(), 0)
				is.Equal(o.events, 6-int(c.from))
				is.Equal(s.scheduler.questions(), 5)
				is.Equal(s.upstream.sent[len(s.upstream.sent)-1].Endpoint.ID, jaywind.EndpointID("e2"))
			})
		})
	}
}

// TestNoOwner guards against streams that are not served while no owner answers, and against routers that then together place more than
// the engines hold.
func TestNoOwner(t *testing.T) {
	tests := map[string]struct {
		bound   int // tokens
		routers int
		age     time.Duration // of the bound
		copies  bool
		served  int // of four streams at the same time
	}{
		"no bound is known":                   {0, 1, 0, true, 4},
		"the bound is too old":                {1000, 1, 11 * time.Second, true, 4},
		"all are in the bound":                {6000, 1, 0, true, 4}, // 1.5 times it
		"three are":                           {5000, 1, 0, true, 3},
		"part of two routers":                 {10000, 2, 0, true, 3},
		"two at least":                        {100, 1, 0, true, 2},
		"without copies, half of it suffices": {3000, 1, 0, false, 4},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newScheduleTest(c.copies)
				s.upstream.open = func(q jaywind.UpstreamRequest) (jaywind.EventStream, error) {
					return newPacedStream(q, 6, func(int64) time.Duration { return 100 * time.Millisecond }), nil
				}
				s.scheduler.answer = func(context.Context, int, schedule.Request) (schedule.Decision, error) {
					return schedule.Decision{}, errNoOwner
				}
				s.router.SetPartition(0, c.routers)
				s.router.ApplySummary("pool", schedule.Summary{Bound: c.bound}, time.Now().Add(-c.age))
				var group conc.WaitGroup
				outcomes := make([]*outcome, 4)
				for i := range outcomes {
					group.Go(func() { outcomes[i] = s.serve(jaywind.RequestID(fmt.Sprint("q", i))) })
					time.Sleep(10 * time.Millisecond)
				}
				group.Wait()
				served := 0
				for _, o := range outcomes {
					if o.events == 6 {
						served++
						continue
					}
					is.Equal(len(o.refused), 1)
					is.Equal(o.refused[0].Reason, router.ReasonNoRoom)
					is.True(o.refused[0].RetryAfter > 0)
				}
				is.Equal(served, c.served)
				is.Equal(len(s.upstream.sent), c.served)
			})
		})
	}
}

// TestNoOwnerAfterLoss guards against a stream that has begun and is refused, because its router has no part of the bound left.
func TestNoOwnerAfterLoss(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newScheduleTest(false)
		opened := map[jaywind.RequestID]int{}
		s.upstream.open = func(q jaywind.UpstreamRequest) (jaywind.EventStream, error) {
			s.upstream.mu.Lock()
			defer s.upstream.mu.Unlock()
			if opened[q.Request]++; opened[q.Request] == 1 {
				return &brokenStream{next: 1, last: 3}, nil
			}
			return newPacedStream(q, 6, func(int64) time.Duration { return 100 * time.Millisecond }), nil
		}
		s.scheduler.answer = func(_ context.Context, _ int, q schedule.Request) (schedule.Decision, error) {
			if !q.Resumed {
				return grant(map[jaywind.RequestID]jaywind.EndpointID{"q0": "e1", "q1": "e2", "q2": "e3", "q3": "e4"}[q.ID], "")
			}
			s.router.ApplySummary("pool", schedule.Summary{Bound: 1}, time.Now())
			return schedule.Decision{}, errNoOwner
		}
		var group conc.WaitGroup
		for i := range 4 {
			group.Go(func() {
				o := s.serve(jaywind.RequestID(fmt.Sprint("q", i)))
				is.Equal(o.events, 6)
				is.Equal(o.responses(), 0)
			})
		}
		group.Wait()
	})
}

// TestCopyIsNotAskedFor guards against a stream that waits for the owner although a copy of its memory is ready.
func TestCopyIsNotAskedFor(t *testing.T) {
	is := is.New(t)
	s := newScheduleTest(true)
	s.upstream.open = func(q jaywind.UpstreamRequest) (jaywind.EventStream, error) {
		if len(s.upstream.sent) == 1 {
			return &brokenStream{next: 1, last: 3}, nil
		}
		is.Equal(len(s.report().Runs), 1) // the run at the standby
		return &fakeStream{next: q.LastEventID + 1, last: 6}, nil
	}
	o := s.serve("q")
	is.Equal(o.events, 6)
	is.Equal(s.scheduler.questions(), 1)
	is.Equal(s.upstream.sent[1].Endpoint.ID, jaywind.EndpointID("e2"))
	is.Equal(s.upstream.sent[1].Copy.Name, "q")
	is.True(s.upstream.sent[1].Urgent)
}

// TestReportOfRuns guards against an owner that counts runs which have ended or does not know of present ones, and against engines that
// count as prefilling although their streams have events, or the reverse.
func TestReportOfRuns(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newScheduleTest(true)
		s.upstream.open = func(q jaywind.UpstreamRequest) (jaywind.EventStream, error) {
			return newPacedStream(q, 6, func(id int64) time.Duration {
				if id == 4 {
					return 2 * time.Second
				}
				return 100 * time.Millisecond
			}), nil
		}
		begun := time.Now()
		var group conc.WaitGroup
		group.Go(func() { is.Equal(s.serve("q").events, 6) })
		run := func(begun bool, started time.Time, prefill int) []schedule.Run {
			return []schedule.Run{{Request: "q", Organisation: "org0", Endpoint: engineKey("e1"), Standby: engineKey("e2"), Tokens: testPrompt + testOutput,
				Prefill: prefill, Begun: begun, Started: started}}
		}
		time.Sleep(50 * time.Millisecond)
		is.Equal(s.report().Runs, run(false, begun, testPrompt)) // in its prefill
		time.Sleep(100 * time.Millisecond)
		is.Equal(s.report().Runs, run(true, begun, testPrompt))
		time.Sleep(450 * time.Millisecond) // the third event came after 300 ms
		is.Equal(s.report().Runs, run(true, begun, testPrompt))
		time.Sleep(300 * time.Millisecond)
		is.Equal(s.report().Runs, run(false, begun.Add(300*time.Millisecond), testPrompt+3*testStride)) // probably preempted
		time.Sleep(1450 * time.Millisecond)
		is.Equal(s.report().Runs, run(true, begun, testPrompt)) // it goes on
		group.Wait()
		is.Equal(len(s.report().Runs), 0)
		is.Equal(s.scheduler.woken, 3) // start, first event, end
	})
}

// TestReportAtFirstEvent guards against a run that is reported as stalled when its first event comes, while it is written to the caller.
func TestReportAtFirstEvent(t *testing.T) {
	is := is.New(t)
	s := newScheduleTest(true)
	var reported schedule.Report
	who := &hookedCaller{caller: caller{reads: 6}, at: 1, hook: func() {
		if reported.Runs == nil {
			reported = s.report()
		}
	}}
	s.router.Serve(context.Background(), s.request("q"), who)
	is.Equal(len(reported.Runs), 1)
	is.True(reported.Runs[0].Begun)
	is.True(!reported.Runs[0].Started.IsZero())
}

// TestReportOfSpeed guards against speeds that depend on single long pauses, that are reported twice, or that count a prompt as processed
// which the engine had cached.
func TestReportOfSpeed(t *testing.T) {
	tests := map[string]struct {
		events  int64
		cached  bool
		prefill bool
		speed   bool
	}{
		"too few times": {16, false, true, false},
		"enough":        {17, false, true, true},
		"cached prompt": {17, true, false, true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newScheduleTest(true)
				s.upstream.open = func(q jaywind.UpstreamRequest) (jaywind.EventStream, error) {
					return newPacedStream(q, c.events, func(id int64) time.Duration {
						switch {
						case id == 1:
							return 400 * time.Millisecond
						case id%2 == 0:
							return 300 * time.Millisecond
						case id == 3:
							return 10 * time.Millisecond
						}
						return 30 * time.Millisecond
					}), nil
				}
				q := s.request("q")
				q.Resumed = c.cached
				s.router.Serve(context.Background(), q, &caller{reads: 100})
				var want []schedule.Sample
				if c.prefill {
					want = append(want, schedule.Sample{Address: "e1", Prefill: 400 * time.Millisecond, Tokens: testPrompt})
				}
				if c.speed {
					want = append(want, schedule.Sample{Address: "e1", Event: 30 * time.Millisecond})
				}
				is.Equal(s.report().Samples, want)
				is.Equal(len(s.report().Samples), 0)
			})
		})
	}
}

// TestReportOfFailures guards against failures that the owner does not hear of, or hears of twice.
func TestReportOfFailures(t *testing.T) {
	tests := map[string]struct {
		err  error // of the first attempt
		want []schedule.Failure
	}{
		"broken":           {io.ErrUnexpectedEOF, []schedule.Failure{{Endpoint: engineKey("e1")}}},
		"not reached":      {jaywind.ErrNotSent, []schedule.Failure{{Endpoint: engineKey("e1"), Absent: true}}},
		"replaced":         {jaywind.ErrEndpointReplaced, []schedule.Failure{{Endpoint: engineKey("e1"), Absent: true}}},
		"turned away":      {jaywind.ErrBusy, nil},
		"lost by a router": {jaywind.ErrRelayLost, nil},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newScheduleTest(false)
			s.upstream.open = func(q jaywind.UpstreamRequest) (jaywind.EventStream, error) {
				if len(s.upstream.sent) == 1 {
					return nil, c.err
				}
				return &fakeStream{next: 1, last: 6}, nil
			}
			s.scheduler.answer = grantFree("e1", "e2")
			is.Equal(s.serve("q").events, 6)
			is.Equal(s.report().Failed, c.want)
			is.Equal(len(s.report().Failed), 0)
		})
	}
}

// TestStandbyFollowsSummary guards against copies at engines that are slow or whose memory other routers use, and against a choice that
// follows a summary which is no longer true.
func TestStandbyFollowsSummary(t *testing.T) {
	tests := map[string]struct {
		row   schedule.Row // of the engine that is chosen without a summary
		age   time.Duration
		same  bool
		alone bool // the runs of the service are not scheduled
	}{
		"little memory in use":  {schedule.Row{Held: 0, Factor: 1}, 0, true, false},
		"memory in use":         {schedule.Row{Held: 30000, Factor: 1}, 0, false, false},
		"no memory left":        {schedule.Row{Held: 49000, Factor: 1}, 0, false, false},
		"slow":                  {schedule.Row{Factor: 1.5}, 0, false, false},
		"memory, old summary":   {schedule.Row{Held: 49000, Factor: 1}, 3 * time.Second, true, false},
		"slow, old summary":     {schedule.Row{Factor: 1.5}, 3 * time.Second, true, false},
		"memory, valid summary": {schedule.Row{Held: 49000, Factor: 1}, 2900 * time.Millisecond, false, false},
		"memory, not scheduled": {schedule.Row{Held: 49000, Factor: 1}, 0, true, true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newScheduleTest(true)
				s.router.Scheduling.Priorities = !c.alone
				s.scheduler.answer = func(context.Context, int, schedule.Request) (schedule.Decision, error) { return grant("e1", "") }
				s.serve("q1")
				first := s.upstream.sent[0].Standby
				is.True(first == "e2" || first == "e4") // in the other failure domain
				c.row.Endpoint = engineKey(jaywind.EndpointID(first))
				s.router.ApplySummary("pool", schedule.Summary{Rows: []schedule.Row{c.row}, Bound: 99000}, time.Now().Add(-c.age))
				s.serve("q2")
				second := s.upstream.sent[1].Standby
				is.True(second == "e2" || second == "e4")
				is.Equal(second == first, c.same)
				s.router.ApplySummary("pool", schedule.Summary{Bound: 99000}, time.Now()) // the engine is not in it
				s.serve("q3")
				is.Equal(s.upstream.sent[2].Standby, first)
			})
		})
	}
}

// TestServiceIsScheduled guards against a service that is scheduled against its settings, or is not although its engines differ.
func TestServiceIsScheduled(t *testing.T) {
	tests := map[string]struct {
		scheduling router.Scheduling
		bulk       int       // priority of the second route
		spreads    []float64 // of summaries
		want       bool
	}{
		"priorities":                           {router.Scheduling{Priorities: true, Uneven: 1.5}, 2, nil, true},
		"one priority":                         {router.Scheduling{Priorities: true, Uneven: 1.5}, 0, nil, false},
		"priorities are off":                   {router.Scheduling{Uneven: 1.5}, 2, nil, false},
		"all is off":                           {router.Scheduling{}, 2, []float64{3}, false},
		"uneven":                               {router.Scheduling{Uneven: 1.5}, 0, []float64{1.5}, true},
		"nearly uneven":                        {router.Scheduling{Uneven: 1.5}, 0, []float64{1.49}, false},
		"still uneven enough":                  {router.Scheduling{Uneven: 1.5}, 0, []float64{1.6, 1.25}, true},
		"even again":                           {router.Scheduling{Uneven: 1.5}, 0, []float64{1.6, 1.19}, false},
		"even again, then nearly uneven":       {router.Scheduling{Uneven: 1.5}, 0, []float64{1.6, 1.1, 1.4}, false},
		"uneven, speeds don't matter":          {router.Scheduling{Priorities: true}, 0, []float64{3}, false},
		"priorities, though engines are alike": {router.Scheduling{Priorities: true, Uneven: 1.5}, 2, []float64{1}, true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newScheduleTest(true)
			s.router.Scheduling = c.scheduling
			s.configure(2, c.bulk, true)
			for _, spread := range c.spreads {
				s.router.ApplySummary("pool", schedule.Summary{Spread: spread, Bound: 99000}, time.Now())
			}
			is.Equal(s.serve("q").events, 6)
			is.Equal(s.scheduler.questions() == 1, c.want)
			is.Equal(s.scheduler.woken > 0, c.want)
			services := s.router.Services()
			if c.scheduling == (router.Scheduling{}) {
				is.Equal(len(services), 0)
				return
			}
			is.Equal(len(services), 1)
			is.Equal(services[0].Active, c.want)
			is.Equal(services[0].Capacity, schedule.Capacity{MemoryTokens: 55000, CopiesMemory: true})
		})
	}
}

// TestPriority guards against an organisation whose own priority does not count before that of the route, or that takes the place of
// urgent requests because of its route.
func TestPriority(t *testing.T) {
	type caller struct{ path, key string }
	order := []caller{ // the most urgent first
		{"/urgent/x", "first"}, {"/bulk/x", "first"}, {"/urgent/x", "k1"}, {"/bulk/x", "k1"}, {"/bulk/x", "k0"}, {"/urgent/x", "last"}, {"/bulk/x", "last"},
	}
	is := is.New(t)
	s := newScheduleTest(true)
	for _, c := range append(order, caller{"/urgent/x", "k0"}) {
		q := s.request("q")
		q.Path, q.APIKey = c.path, c.key
		s.router.Serve(context.Background(), q, &outcome{})
	}
	asked := s.scheduler.asked
	is.Equal(len(asked), len(order)+1)
	for i := range order[1:] {
		is.True(asked[i].Priority < asked[i+1].Priority)
	}
	is.Equal(asked[len(order)].Priority, asked[0].Priority) // an urgent route, and no priority of the organisation
	for i, q := range asked {
		is.Equal(q.First, i == 0 || i == len(order))
		is.Equal(s.upstream.sent[i].First, q.First)
	}
}

// TestUnusableGrant guards against a run at an engine that its router does not know, or that has left or failed while the request waited.
func TestUnusableGrant(t *testing.T) {
	tests := map[string]struct {
		change func(s *scheduleTest) // while the first question waits
		at     jaywind.EndpointID    // of the first grant
		asks   int
	}{
		"unknown": {func(*scheduleTest) {}, "e9", 1},
		"removed": {func(s *scheduleTest) { s.router.RemoveEndpoint("e1", false) }, "e1", 1},
		"is leaving": {func(s *scheduleTest) {
			e := engineEntry("e1", "a")
			e.Leaving = true
			s.router.UpdateEndpoint(e)
		}, "e1", 2},
		"has failed": {func(s *scheduleTest) {
			s.router.RecordFailures("pool", []schedule.Failure{{Endpoint: engineKey("e1")}})
		}, "e1", 2},
		"not in the registry": {func(s *scheduleTest) { s.router.RemoveEndpoint("e1", true) }, "e1", 2},
		"version is rolled back": {func(s *scheduleTest) {
			e := engineEntry("e1", "a")
			e.Version = "v2"
			s.router.UpdateEndpoint(e)
			s.router.StartRollout(rollout.Order{Service: "pool", Target: "v2", Duration: time.Minute, ReceivedAt: time.Now()}, rollout.Bounds{})
			s.router.SetRolloutState("pool", rollout.State{Target: "v2", Phase: rollout.PhaseRolledBack})
		}, "e1", 2},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newScheduleTest(true)
			s.scheduler.answer = func(_ context.Context, n int, q schedule.Request) (schedule.Decision, error) {
				if n == 1 {
					c.change(s)
					return grant(c.at, "")
				}
				is.Equal(q.Exclude, []schedule.Key{engineKey("e1")})
				return grant("e2", "")
			}
			is.Equal(s.serve("q").events, 6)
			is.Equal(s.scheduler.questions(), c.asks)
			is.Equal(len(s.upstream.sent), 1)
			is.True(s.upstream.sent[0].Endpoint.ID != c.at)
		})
	}
}

// TestUnusableGrantsEnd guards against a stream that asks without end, because its owner always assigns an engine that it excludes.
func TestUnusableGrantsEnd(t *testing.T) {
	is := is.New(t)
	s := newScheduleTest(true)
	s.router.RemoveEndpoint("e1", true)
	is.Equal(s.serve("q").events, 6)
	is.Equal(s.scheduler.questions(), 2)
	is.True(s.upstream.sent[0].Endpoint.ID != "e1")
}

// TestAllExcluded guards against a stream that waits for its owner until its deadline, because its router excludes all engines, or
// some that are back soon: the owner keeps what a request excludes when it is first asked.
func TestAllExcluded(t *testing.T) {
	tests := map[string]struct {
		failed []jaywind.EndpointID // reported by other routers when the stream is lost
		free   []jaywind.EndpointID // the owner has room there
		within time.Duration
	}{
		"all":                       {[]jaywind.EndpointID{"e2", "e3", "e4"}, []jaywind.EndpointID{"e1", "e2", "e3", "e4"}, time.Second},
		"the one that is free":      {[]jaywind.EndpointID{"e2"}, []jaywind.EndpointID{"e1", "e2"}, 2 * time.Second},
		"not the one that is free":  {[]jaywind.EndpointID{"e2", "e4"}, []jaywind.EndpointID{"e1", "e3"}, 100 * time.Millisecond},
		"the one that it ran at is": {nil, []jaywind.EndpointID{"e1", "e4"}, 100 * time.Millisecond},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newScheduleTest(false)
				s.scheduler.answer = grantFree(c.free...)
				s.upstream.open = func(q jaywind.UpstreamRequest) (jaywind.EventStream, error) {
					if len(s.upstream.sent) > 1 {
						return &fakeStream{next: q.LastEventID + 1, last: 6}, nil
					}
					for _, id := range c.failed {
						s.router.RecordFailures("pool", []schedule.Failure{{Endpoint: engineKey(id)}})
					}
					return &brokenStream{next: 1, last: 3}, nil
				}
				begun := time.Now()
				o := s.serve("q")
				is.Equal(o.events, 6)
				is.Equal(o.responses(), 0)
				is.True(time.Since(begun) <= c.within)
			})
		})
	}
}

// TestEmptyTable guards against a stream that waits although its router knows no engine, or that is refused as if it had no room.
func TestEmptyTable(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newScheduleTest(true)
		for _, id := range []jaywind.EndpointID{"e1", "e2", "e3", "e4"} {
			s.router.RemoveEndpoint(id, false)
		}
		s.scheduler.answer = grantFree("e1")
		begun := time.Now()
		o := s.serve("q")
		is.Equal(len(o.refused), 1)
		is.Equal(o.refused[0].Reason, router.ReasonBusy)
		is.Equal(time.Since(begun), time.Duration(0))
		is.Equal(len(s.router.Endpoints("pool", time.Now())), 0)
		is.Equal(len(s.router.Endpoints("unknown", time.Now())), 0)
	})
}

// TestUsedLimits guards against a stream that goes on and on from engine to engine whose limits are used up.
func TestUsedLimits(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newScheduleTest(false)
		s.upstream.open = func(jaywind.UpstreamRequest) (jaywind.EventStream, error) {
			if len(s.upstream.sent) > 100 {
				return &fakeStream{next: 1, last: 6}, nil
			}
			return nil, jaywind.ErrLimited
		}
		s.scheduler.answer = grantFree("e1", "e2", "e3", "e4")
		o := s.serve("q")
		is.Equal(len(o.refused), 1)
		is.True(len(s.upstream.sent) <= 17) // as without a scheduler
	})
}

// TestCallerLeavesQueue guards against a question that goes on after its caller has left or its deadline has passed.
func TestCallerLeavesQueue(t *testing.T) {
	for name, leaves := range map[string]bool{"caller leaves": true, "deadline passes": false} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newScheduleTest(true)
				s.scheduler.answer = grantFree()
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				if leaves {
					time.AfterFunc(time.Second, cancel)
				}
				begun, o := time.Now(), &outcome{}
				s.router.Serve(ctx, s.request("q"), o)
				is.Equal(o.responses(), 1)
				is.Equal(len(s.upstream.sent), 0)
				is.Equal(len(s.report().Runs), 0)
				if leaves {
					is.Equal(o.aborted, 1)
					is.Equal(time.Since(begun), time.Second)
					return
				}
				is.Equal(o.refused[0].Reason, router.ReasonNotSent)
				is.True(time.Since(begun) <= 8*time.Second)
			})
		})
	}
}

// TestRunsAreReleased guards against slots that stay taken, or are given back twice, after the end of runs that the owner has assigned.
func TestRunsAreReleased(t *testing.T) {
	is := is.New(t)
	s := newScheduleTest(true)
	for _, id := range []jaywind.EndpointID{"e2", "e3", "e4"} {
		e := engineEntry(id, "b")
		e.Slots = 0
		s.router.UpdateEndpoint(e)
	}
	e := engineEntry("e1", "a")
	e.Slots = 1
	s.router.UpdateEndpoint(e)
	s.scheduler.answer = func(context.Context, int, schedule.Request) (schedule.Decision, error) { return grant("e1", "e2") }
	s.serve("q1")                                                                             // whole
	s.router.Serve(context.Background(), s.request("q2"), &outcome{caller: caller{reads: 3}}) // its caller leaves
	open := s.upstream.open
	s.upstream.open = func(q jaywind.UpstreamRequest) (jaywind.EventStream, error) {
		if q.Request == "q3" && q.Endpoint.ID == "e1" {
			return &brokenStream{next: 1, last: 3}, nil // goes on at e2
		}
		return open(q)
	}
	s.serve("q3")
	is.Equal(len(s.report().Runs), 0)
	s.router.UpdateEndpoint(engineEntry("e9", "z")) // of which nothing failed
	s.router.RemoveEndpoint("e9", false)
	s.scheduler.answer = func(context.Context, int, schedule.Request) (schedule.Decision, error) {
		return schedule.Decision{}, errNoOwner
	}
	s.upstream.sent = nil
	time.Sleep(350 * time.Millisecond) // until e1 is tried again after the loss
	var inner *outcome
	s.upstream.open = func(q jaywind.UpstreamRequest) (jaywind.EventStream, error) {
		if q.Request == "q4" { // e1 is full now
			inner = s.serve("q5")
		}
		return open(q)
	}
	is.Equal(s.serve("q4").events, 6)
	is.Equal(inner.events, 6)
	is.Equal(s.upstream.sent[0].Endpoint.ID, jaywind.EndpointID("e1"))
	is.True(s.upstream.sent[1].Endpoint.ID != "e1")
}

// TestScheduleInParallel guards against races between streams, reports, summaries, failures and changes of the table.
func TestScheduleInParallel(t *testing.T) {
	is := is.New(t)
	s := newScheduleTest(true)
	s.upstream.open = func(q jaywind.UpstreamRequest) (jaywind.EventStream, error) {
		if q.Endpoint.ID == "e1" && q.LastEventID == 0 {
			return &brokenStream{next: 1, last: 30}, nil
		}
		return newPacedStream(q, 60, func(int64) time.Duration { return 100 * time.Microsecond }), nil
	}
	s.scheduler.answer = func(_ context.Context, n int, _ schedule.Request) (schedule.Decision, error) {
		switch n % 4 {
		case 0:
			return schedule.Decision{}, errNoOwner
		case 1:
			return grant("e1", "e2")
		case 2:
			return grant("e3", "")
		}
		return grant("e2", "e3")
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group, beside conc.WaitGroup
	beside.Go(func() {
		for i := 0; ctx.Err() == nil; i++ {
			now := time.Now()
			s.report()
			s.router.Services()
			s.router.ApplySummary("pool", schedule.Summary{Rows: []schedule.Row{{Endpoint: engineKey("e2"), Held: i % 50000, Factor: 1}}, Bound: 200000, Spread: float64(i % 3)}, now)
			s.router.Endpoints("pool", now)
			if i%50 == 0 {
				s.router.RecordFailures("pool", []schedule.Failure{{Endpoint: engineKey("e4"), Absent: true}})
				s.router.RemoveEndpoint("e4", false)
				s.router.UpdateEndpoint(engineEntry("e4", "b"))
			}
			time.Sleep(100 * time.Microsecond)
		}
	})
	for i := range 16 {
		group.Go(func() {
			for k := range 5 {
				o := s.serve(jaywind.RequestID(fmt.Sprint("q", i, "-", k)))
				is.True(o.events == 60 || len(o.refused) == 1 && o.events == 0)
			}
		})
	}
	group.Wait()
	cancel()
	beside.Wait()
	is.Equal(len(s.report().Runs), 0)
}
