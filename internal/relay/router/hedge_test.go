package router_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"

	"jaywind"
	"jaywind/internal/core/drain"
	"jaywind/internal/core/endpoint"
	"jaywind/internal/core/permit"
	"jaywind/internal/core/retry"
	"jaywind/internal/core/route"
	"jaywind/internal/relay/router"
	"jaywind/internal/standin/bubble"
)

// plainUpstream is an Upstream of plain servers. It records the calls of each.
type plainUpstream struct {
	fakeUpstream
	// answer returns after which time a server ends a call, and how.
	answer func(s jaywind.UpstreamRequest) (time.Duration, jaywind.Reply, error)

	panics jaywind.RequestID // the calls of this request panic

	mu     sync.Mutex
	calls  []plainCall
	starts map[jaywind.EndpointID]int
	open   map[jaywind.EndpointID]int
}

// plainCall is a call that a server has received.
type plainCall struct {
	request   jaywind.RequestID
	endpoint  jaywind.EndpointID
	startedAt time.Time
	cancelled time.Time // zero if it was not
}

func (u *plainUpstream) Do(ctx context.Context, s jaywind.UpstreamRequest) (jaywind.Reply, error) {
	if s.Request == u.panics {
		panic("index out of range")
	}
	u.mu.Lock()
	if u.starts == nil {
		u.starts, u.open = map[jaywind.EndpointID]int{}, map[jaywind.EndpointID]int{}
	}
	n := len(u.calls)
	u.calls = append(u.calls, plainCall{request: s.Request, endpoint: s.Endpoint.ID, startedAt: time.Now()})
	u.starts[s.Endpoint.ID]++
	u.open[s.Endpoint.ID]++
	took, reply, err := u.answer(s)
	u.mu.Unlock()
	defer func() {
		u.mu.Lock()
		u.open[s.Endpoint.ID]--
		u.mu.Unlock()
	}()
	select {
	case <-ctx.Done():
		u.mu.Lock()
		defer u.mu.Unlock()
		u.calls[n].cancelled = time.Now()
		return jaywind.Reply{}, fmt.Errorf("%w: connection closed", io.ErrUnexpectedEOF)
	case <-time.After(took):
		return reply, err
	}
}

// running returns the number of calls under way.
func (u *plainUpstream) running() (n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, open := range u.open {
		n += open
	}
	return n
}

// callsOfQ returns the calls of request "q".
func (u *plainUpstream) callsOfQ() (all []plainCall) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range u.calls {
		if c.request == "q" {
			all = append(all, c)
		}
	}
	return all
}

// outcome is a caller of plain calls, which counts the responses that it gets.
type outcome struct {
	caller
	replies []jaywind.Reply
	refused []router.Refusal
	aborted int
}

func (o *outcome) Reply(r jaywind.Reply)   { o.replies = append(o.replies, r) }
func (o *outcome) Refuse(f router.Refusal) { o.refused = append(o.refused, f) }
func (o *outcome) AbortStream()            { o.aborted++ }

func (o *outcome) responses() int { return len(o.replies) + len(o.refused) + o.aborted }

// hedgeTest is a router before four plain servers in four failure domains.
type hedgeTest struct {
	upstream *plainUpstream
	router   *router.Router
	metrics  metrics.Registry
	calls    drain.Calls
	random   *rand.Rand
	sent     int
}

const (
	usualTime  = 20 * time.Millisecond // at least, for an answer; up to 30 ms
	longPause  = time.Second
	plainLimit = 5 * time.Second // deadline of a caller
)

func newHedgeTest(share float64, kind route.Kind, attempts int) *hedgeTest {
	h := &hedgeTest{upstream: &plainUpstream{}, metrics: metrics.NewRegistry(), random: rand.New(rand.NewPCG(1, 2))}
	h.router = h.newRouter(share, kind, attempts)
	h.router.Calls = &h.calls
	h.upstream.answer = func(jaywind.UpstreamRequest) (time.Duration, jaywind.Reply, error) {
		return h.usual(), jaywind.Reply{Status: http.StatusOK}, nil
	}
	return h
}

func (h *hedgeTest) newRouter(share float64, kind route.Kind, attempts int) *router.Router {
	r := &router.Router{Self: "vm1", Upstream: h.upstream, Metrics: h.metrics, HedgeShare: share,
		RetryBudget: retry.Budget{Ratio: 0.8, Reserve: 150, Window: 10 * time.Second}}
	r.SetConfig(route.NewSet(1, []route.Route{{Name: "p", Host: "a", Prefix: "/", Kind: kind, MaxAttempts: attempts, Backends: []route.Backend{{Service: "desk", Weight: 1}}}},
		[]route.Service{{Name: "desk"}}, nil, route.Limits{}))
	for i, id := range []jaywind.EndpointID{"e1", "e2", "e3", "e4"} {
		r.UpdateEndpoint(endpoint.Entry{ID: id, Service: "desk", Address: jaywind.Address(id), Domain: jaywind.Domain(rune('a' + i)), Slots: 600})
	}
	return r
}

// usual returns the time that a healthy server takes.
func (h *hedgeTest) usual() time.Duration {
	return usualTime + time.Duration(h.random.Int64N(int64(usualTime/2)))
}

// answer changes the time and the outcome of the calls for which change returns true.
func (h *hedgeTest) answer(change func(s jaywind.UpstreamRequest, n int) (time.Duration, jaywind.Reply, error, bool)) {
	h.upstream.mu.Lock()
	defer h.upstream.mu.Unlock()
	seen := map[jaywind.RequestID]int{}
	h.upstream.answer = func(s jaywind.UpstreamRequest) (time.Duration, jaywind.Reply, error) {
		seen[s.Request]++
		if took, reply, err, changed := change(s, seen[s.Request]); changed {
			return took, reply, err
		}
		return h.usual(), jaywind.Reply{Status: http.StatusOK}, nil
	}
}

// serve serves a request and returns what its caller got, and after which time.
func (h *hedgeTest) serve(ctx context.Context, r *router.Router, id jaywind.RequestID) (*outcome, time.Duration) {
	o := &outcome{}
	start := time.Now()
	r.Serve(ctx, &router.Request{ID: id, Host: "a", Path: "/x", Arrived: start, Timeout: plainLimit}, o)
	return o, time.Since(start)
}

// load sends n requests to a router, four at once so that each server gets one, and returns the times that their callers waited. There
// are 20 requests per second.
func (h *hedgeTest) load(r *router.Router, n int) (times []time.Duration) {
	var group conc.WaitGroup
	times = make([]time.Duration, n)
	for i := range n {
		h.sent++
		id := jaywind.RequestID(fmt.Sprint("load", h.sent))
		group.Go(func() {
			o, took := h.serve(context.Background(), r, id)
			times[i] = took
			if o.responses() != 1 {
				panic(fmt.Sprintf("%d responses", o.responses()))
			}
		})
		if i%4 == 3 {
			time.Sleep(200 * time.Millisecond)
		}
	}
	group.Wait()
	return times
}

func (h *hedgeTest) count(name string) int64 {
	if c, known := h.metrics.Get(name).(metrics.Counter); known {
		return c.Count()
	}
	return 0
}

// extra returns the largest share of second attempts in a window of 10 s that ends with one.
func (u *plainUpstream) extra() (worst float64) {
	seen := map[jaywind.RequestID]bool{}
	var first, second []time.Time
	for _, c := range u.calls {
		if !seen[c.request] {
			seen[c.request] = true
			first = append(first, c.startedAt)
			continue
		}
		second = append(second, c.startedAt)
		worst = max(worst, float64(inWindow(second, c.startedAt))/float64(inWindow(first, c.startedAt)))
	}
	return worst
}

func inWindow(all []time.Time, now time.Time) (n int) {
	for _, at := range all {
		if now.Sub(at) < 10*time.Second {
			n++
		}
	}
	return n
}

// TestHedges guards against slow answers that nothing shortens, and against a storm of hedges: their share of the requests stays
// under the limit in each window of 10 s, whatever is slow. Hedges with share 0, of unsafe calls and of calls with a single attempt
// are not sent at all.
func TestHedges(t *testing.T) {
	slowServer := func(s jaywind.UpstreamRequest, _ int) (time.Duration, jaywind.Reply, error, bool) {
		return 150 * time.Millisecond, jaywind.Reply{Status: http.StatusOK}, nil, s.Endpoint.ID == "e2"
	}
	pauses := func(s jaywind.UpstreamRequest, n int) (time.Duration, jaywind.Reply, error, bool) {
		var i int
		_, _ = fmt.Sscanf(string(s.Request), "load%d", &i)
		return longPause, jaywind.Reply{Status: http.StatusOK}, nil, i%40 == 7 && n == 1
	}
	allSlow := func(jaywind.UpstreamRequest, int) (time.Duration, jaywind.Reply, error, bool) {
		return 400 * time.Millisecond, jaywind.Reply{Status: http.StatusOK}, nil, true
	}
	tests := map[string]struct {
		share    float64
		kind     route.Kind
		attempts int
		change   func(jaywind.UpstreamRequest, int) (time.Duration, jaywind.Reply, error, bool)
		late     [2]int // least and most requests of 600 that take longer than 100 ms
		hedges   bool   // at least one is sent
	}{
		"one server is slow, no hedges":  {0, route.KindSafe, 3, slowServer, [2]int{140, 150}, false},
		"one server is slow":             {0.2, route.KindSafe, 3, slowServer, [2]int{0, 75}, true},
		"pauses, no hedges":              {0, route.KindSafe, 3, pauses, [2]int{15, 15}, false},
		"pauses":                         {0.2, route.KindSafe, 3, pauses, [2]int{0, 1}, true},
		"all are slow":                   {0.1, route.KindSafe, 3, allSlow, [2]int{600, 600}, true},
		"unsafe calls":                   {0.2, route.KindUnsafe, 3, pauses, [2]int{15, 15}, false},
		"a single attempt is configured": {0.2, route.KindSafe, 1, pauses, [2]int{15, 15}, false},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				is := is.New(t)
				h := newHedgeTest(c.share, c.kind, c.attempts)
				h.load(h.router, 200)
				h.answer(c.change)
				late := 0
				for _, took := range h.load(h.router, 600) {
					if took > 100*time.Millisecond {
						late++
					}
				}
				h.calls.Wait(time.Minute)
				sent := h.count("hedge.sent")
				t.Logf("%d late, %d hedges, %d won, %d cancelled, largest share %.3f", late, sent, h.count("hedge.won"), h.count("hedge.cancelled"), h.upstream.extra())
				is.True(late >= c.late[0] && late <= c.late[1])
				is.Equal(sent > 0, c.hedges)
				is.Equal(len(h.upstream.calls)-800, int(sent)) // no other extra calls
				is.True(h.upstream.extra() <= c.share)
				is.Equal(h.upstream.running(), 0)
			})
		})
	}
}

// slowFirst makes the first attempt of request "q" take a time and end with an outcome, and the second one as well.
func slowFirst(first, second time.Duration, firstReply jaywind.Reply, firstErr error, secondReply jaywind.Reply, secondErr error) func(jaywind.UpstreamRequest, int) (time.Duration, jaywind.Reply, error, bool) {
	return func(s jaywind.UpstreamRequest, n int) (time.Duration, jaywind.Reply, error, bool) {
		switch {
		case s.Request != "q":
			return 0, jaywind.Reply{}, nil, false
		case n == 1:
			return first, firstReply, firstErr, true
		}
		return second, secondReply, secondErr, true
	}
}

// TestOutcomesOfBothAttempts guards against two answers to one call, an answer that is lost as the other attempt has failed, an
// attempt that goes on after the answer, and retries beyond maxAttempts.
func TestOutcomesOfBothAttempts(t *testing.T) {
	ok := func(body string) jaywind.Reply { return jaywind.Reply{Status: http.StatusOK, Body: []byte(body)} }
	failed := jaywind.Reply{Status: http.StatusInternalServerError}
	tests := map[string]struct {
		change   func(jaywind.UpstreamRequest, int) (time.Duration, jaywind.Reply, error, bool)
		attempts int
		body     string // of the answer
		status   int
		took     time.Duration // at most
		calls    int
	}{
		"first is slow":                {slowFirst(longPause, usualTime, ok("1"), nil, ok("2"), nil), 2, "2", 200, 60 * time.Millisecond, 2},
		"second is slower":             {slowFirst(50*time.Millisecond, longPause, ok("1"), nil, ok("2"), nil), 2, "1", 200, 50 * time.Millisecond, 2},
		"first breaks":                 {slowFirst(50*time.Millisecond, 100*time.Millisecond, ok(""), io.ErrUnexpectedEOF, ok("2"), nil), 2, "2", 200, 140 * time.Millisecond, 2},
		"first is not accepted":        {slowFirst(50*time.Millisecond, 100*time.Millisecond, ok(""), jaywind.ErrBusy, ok("2"), nil), 2, "2", 200, 140 * time.Millisecond, 2},
		"first answers with an error":  {slowFirst(50*time.Millisecond, 100*time.Millisecond, failed, nil, ok("2"), nil), 2, "2", 200, 140 * time.Millisecond, 2},
		"second breaks":                {slowFirst(200*time.Millisecond, 5*time.Millisecond, ok("1"), nil, ok(""), io.ErrUnexpectedEOF), 2, "1", 200, 200 * time.Millisecond, 2},
		"second is not accepted":       {slowFirst(200*time.Millisecond, 5*time.Millisecond, ok("1"), nil, ok(""), jaywind.ErrBusy), 2, "1", 200, 200 * time.Millisecond, 2},
		"second is limited":            {slowFirst(200*time.Millisecond, 5*time.Millisecond, ok("1"), nil, ok(""), jaywind.ErrLimited), 2, "1", 200, 200 * time.Millisecond, 2},
		"both fail, no attempt left":   {slowFirst(50*time.Millisecond, 100*time.Millisecond, failed, nil, ok(""), io.ErrUnexpectedEOF), 2, "", 500, 140 * time.Millisecond, 2},
		"both fail, a third is made":   {slowFirst(50*time.Millisecond, usualTime, failed, nil, failed, nil), 4, "", 500, 140 * time.Millisecond, 4},
		"both break, no attempt left":  {slowFirst(50*time.Millisecond, 100*time.Millisecond, ok(""), io.ErrUnexpectedEOF, ok(""), io.ErrUnexpectedEOF), 2, "", 0, 140 * time.Millisecond, 2},
		"first answers before a hedge": {slowFirst(usualTime, longPause, ok("1"), nil, ok("2"), nil), 2, "1", 200, usualTime, 1},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				is := is.New(t)
				h := newHedgeTest(0.2, route.KindSafe, c.attempts)
				h.load(h.router, 200)
				hedges := h.count("hedge.sent")
				h.answer(c.change)
				o, took := h.serve(context.Background(), h.router, "q")
				answeredAt := time.Now()
				h.calls.Wait(time.Minute)
				calls := h.upstream.callsOfQ()
				t.Logf("answer after %v, %d calls, attempts ended %v later", took, len(calls), time.Since(answeredAt))
				is.Equal(len(calls), c.calls)
				is.Equal(h.count("hedge.sent")-hedges, int64(min(1, c.calls-1)))
				is.Equal(o.responses(), 1)
				if c.status == 0 {
					is.Equal(o.refused[0].Reason, router.ReasonAnswerLost)
				} else {
					is.Equal(o.replies[0].Status, c.status)
					is.Equal(string(o.replies[0].Body), c.body)
				}
				is.True(took <= c.took)
				is.True(time.Since(answeredAt) < 500*time.Millisecond) // the work of the other attempt has ended
				is.Equal(h.upstream.running(), 0)
				for i, a := range calls {
					for _, b := range calls[:i] {
						is.True(a.endpoint != b.endpoint)
					}
				}
			})
		})
	}
}

// TestCancelledAttemptIsNoFailure guards against an endpoint that gets no more calls as an attempt there was cancelled, and against
// slots, permits and attempts that stay counted. The endpoints have a single slot each, so one that stays counted is noticed.
func TestCancelledAttemptIsNoFailure(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHedgeTest(0.2, route.KindSafe, 3)
		permits := &countedPermits{}
		h.router.Permits = permits
		for i, id := range []jaywind.EndpointID{"e1", "e2", "e3", "e4"} {
			h.router.UpdateEndpoint(endpoint.Entry{ID: id, Service: "desk", Address: jaywind.Address(id), Domain: jaywind.Domain(rune('a' + i)), Slots: 1})
		}
		h.load(h.router, 400)
		won := h.count("hedge.won")
		const hedged = 8
		for i := range hedged {
			for _, id := range []jaywind.EndpointID{"e1", "e2", "e3", "e4"} {
				h.router.ObserveEndpoint(jaywind.EndpointNotice{Endpoint: jaywind.EndpointRef{ID: id, Address: jaywind.Address(id)}, Brittle: true})
			}
			h.answer(func(s jaywind.UpstreamRequest, n int) (time.Duration, jaywind.Reply, error, bool) {
				return longPause, jaywind.Reply{Status: http.StatusOK}, nil, s.Request == "q" && n == 1
			})
			o, _ := h.serve(context.Background(), h.router, "q")
			is.Equal(len(o.replies), 1)
			calls := h.upstream.callsOfQ()
			slow := calls[len(calls)-2].endpoint
			before := h.upstream.starts[slow]
			h.load(h.router, 40)
			is.True(h.upstream.starts[slow] > before) // the endpoint still gets calls
			is.Equal(h.count("hedge.won")-won, int64(i+1))
		}
		h.calls.Wait(time.Minute)
		is.Equal(permits.held, 0)
		is.True(permits.taken >= hedged*2)
		is.Equal(permits.rejected, 0)
		is.Equal(h.upstream.running(), 0)
	})
}

// countedPermits grants each permit and counts those that are held.
type countedPermits struct {
	mu                    sync.Mutex
	held, taken, rejected int
}

func (p *countedPermits) Take(context.Context, jaywind.EndpointRef, permit.Question) (release func(bool), retryAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held++
	p.taken++
	return func(rejected bool) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.held--
		if rejected {
			p.rejected++
		}
	}, time.Time{}
}

// TestCallerLeavesDuringHedge guards against attempts that go on after their caller has left.
func TestCallerLeavesDuringHedge(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHedgeTest(0.2, route.KindSafe, 3)
		h.load(h.router, 200)
		ok := jaywind.Reply{Status: http.StatusOK}
		h.answer(slowFirst(longPause, longPause, ok, nil, ok, nil))
		ctx, leave := context.WithCancel(context.Background())
		time.AfterFunc(100*time.Millisecond, leave)
		o, took := h.serve(ctx, h.router, "q")
		is.Equal(took, 100*time.Millisecond)
		is.Equal(o.aborted, 1)
		is.Equal(o.responses(), 1)
		calls := h.upstream.callsOfQ()
		is.Equal(len(calls), 2)
		for _, a := range calls {
			is.True(!a.cancelled.IsZero())
		}
		is.Equal(h.upstream.running(), 0)
		starts := [4]int{}
		for i, a := range calls {
			starts[i] = h.upstream.starts[a.endpoint]
		}
		h.load(h.router, 40)
		for i, a := range calls {
			is.True(h.upstream.starts[a.endpoint] > starts[i]) // leaving is no failure of the endpoints
		}
	})
}

// TestAnswersAtOnce guards against two answers to a caller when both attempts end at the same moment.
func TestAnswersAtOnce(t *testing.T) {
	for i := range 100 { // which attempt is first depends on the scheduling of goroutines
		bubble.Test(t, func(t *testing.T) {
			is := is.New(t)
			h := newHedgeTest(0.2, route.KindSafe, 3)
			h.load(h.router, 100)
			endAt := time.Now().Add(200 * time.Millisecond)
			h.answer(func(s jaywind.UpstreamRequest, n int) (time.Duration, jaywind.Reply, error, bool) {
				return time.Until(endAt), jaywind.Reply{Status: http.StatusOK, Body: []byte(fmt.Sprint(n))}, nil, s.Request == "q"
			})
			o, _ := h.serve(context.Background(), h.router, "q")
			h.calls.Wait(time.Minute)
			is.Equal(len(h.upstream.callsOfQ()), 2)
			is.Equal(len(o.replies), 1)
			is.Equal(o.responses(), 1)
			is.Equal(h.upstream.running(), 0)
		})
		if t.Failed() {
			t.Fatalf("repetition %d", i)
		}
	}
}

// TestDeniedHedges guards against hedges that spend what failures need: while less than half of the retries is left, or while requests
// of the service are refused; and against hedges in the failure domain of the first attempt.
func TestDeniedHedges(t *testing.T) {
	tests := map[string]struct {
		prepare func(h *hedgeTest)
		denied  string
	}{
		"allowed": {prepare: func(*hedgeTest) {}},
		"few retries": {func(h *hedgeTest) {
			for h.router.LendRetry("desk") { // to other routers, up to 0.7 of the budget
			}
		}, "retries"},
		"a request was refused": {func(h *hedgeTest) {
			h.answer(func(jaywind.UpstreamRequest, int) (time.Duration, jaywind.Reply, error, bool) {
				return 0, jaywind.Reply{}, jaywind.ErrBusy, true
			})
			_, _ = h.serve(context.Background(), h.router, "busy")
		}, "no_room"},
		"one failure domain": {func(h *hedgeTest) {
			for _, id := range []jaywind.EndpointID{"e1", "e2", "e3", "e4"} {
				h.router.UpdateEndpoint(endpoint.Entry{ID: id, Service: "desk", Address: jaywind.Address(id), Domain: "a", Slots: 600})
			}
		}, "no_endpoint"},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				is := is.New(t)
				h := newHedgeTest(0.2, route.KindSafe, 5)
				h.load(h.router, 200)
				c.prepare(h)
				before := h.count("hedge.sent")
				ok := jaywind.Reply{Status: http.StatusOK}
				h.answer(slowFirst(longPause, usualTime, ok, nil, ok, nil))
				_, took := h.serve(context.Background(), h.router, "q")
				h.calls.Wait(time.Minute)
				is.Equal(h.count("hedge.sent")-before == 1, c.denied == "")
				is.Equal(took < longPause, c.denied == "")
				if c.denied != "" {
					is.True(h.count("hedge.denied."+c.denied) > 0)
				}
			})
		})
	}
}

// TestFleetHedgesAtOnce guards against hedges of many routers that load the other endpoints more than the operator allows: one
// of four endpoints becomes slow, and all of its calls at 300 routers are hedged at once.
func TestFleetHedgesAtOnce(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		const routers, share = 300, 0.05
		h := newHedgeTest(share, route.KindSafe, 3)
		fleet := make([]*router.Router, routers)
		for i := range fleet {
			fleet[i] = h.newRouter(share, route.KindSafe, 3)
			fleet[i].Calls = &h.calls
			fleet[i].SetPartition(i, routers)
		}
		send := func(rounds int, gap time.Duration) {
			var group conc.WaitGroup
			for range rounds {
				for i, r := range fleet {
					h.sent++
					id := jaywind.RequestID(fmt.Sprint("load", h.sent))
					group.Go(func() {
						time.Sleep(gap * time.Duration(i) / routers)
						_, _ = h.serve(context.Background(), r, id)
					})
				}
				time.Sleep(gap)
			}
			group.Wait()
		}
		send(30, 500*time.Millisecond)
		h.answer(func(s jaywind.UpstreamRequest, _ int) (time.Duration, jaywind.Reply, error, bool) {
			return 2 * time.Second, jaywind.Reply{Status: http.StatusOK}, nil, s.Endpoint.ID == "e2"
		})
		send(20, 500*time.Millisecond)
		h.calls.Wait(time.Minute)
		t.Logf("%d requests, %d hedges, %d won, largest share %.4f", h.sent, h.count("hedge.sent"), h.count("hedge.won"), h.upstream.extra())
		is.True(h.count("hedge.won") > 0) // some of the routers at the slow endpoint had a turn
		is.True(h.upstream.extra() <= share)
		is.Equal(h.upstream.running(), 0)
	})
}

// TestPanicInAnAttempt guards against a caller that waits without end, and a panic that is lost, when an attempt that might be hedged
// panics.
func TestPanicInAnAttempt(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHedgeTest(0.2, route.KindSafe, 3)
		h.load(h.router, 200)
		h.upstream.panics = "q"
		defer func() { is.True(recover() != nil) }() // as without hedges; the server ends the request
		_, _ = h.serve(context.Background(), h.router, "q")
	})
}
