package router

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"jaywind"
	"jaywind/internal/core/balance"
	"jaywind/internal/core/endpoint"
	"jaywind/internal/core/retry"
	"jaywind/internal/core/rollout"
	"jaywind/internal/core/route"
	"jaywind/internal/core/schedule"
	"jaywind/internal/standin/bubble"
)

// plainUpstream answers each plain call with what do returns, and notes where it was sent.
type plainUpstream struct {
	jaywind.Upstream
	do   func(at jaywind.EndpointID) (jaywind.Reply, error)
	sent []jaywind.EndpointID
}

func (u *plainUpstream) Do(_ context.Context, q jaywind.UpstreamRequest) (jaywind.Reply, error) {
	u.sent = append(u.sent, q.Endpoint.ID)
	return u.do(q.Endpoint.ID)
}

func answer(jaywind.EndpointID) (jaywind.Reply, error) {
	return jaywind.Reply{Status: http.StatusOK}, nil
}
func rejectAll(jaywind.EndpointID) (jaywind.Reply, error) { return jaywind.Reply{}, jaywind.ErrBusy }

// outcomeWriter notes how a call ended.
type outcomeWriter struct {
	ResponseWriter
	status  int
	refusal Refusal
}

func (w *outcomeWriter) Reply(r jaywind.Reply) { w.status = r.Status }
func (w *outcomeWriter) Refuse(f Refusal)      { w.refusal = f }
func (w *outcomeWriter) AbortStream()          {}

// newPlainRouter returns a router with a safe and an unsafe route to a service with some endpoints s0, s1, ...
func newPlainRouter(u jaywind.Upstream, endpoints int) *Router {
	r := &Router{Self: "vm1", Upstream: u, BalanceUneven: 1.5, Metrics: metrics.NewRegistry(), RetryBudget: retry.Budget{Ratio: 1, Reserve: 1000, Window: 10 * time.Second}}
	backends := []route.Backend{{Service: "desk", Weight: 1}}
	r.SetConfig(route.NewSet(1, []route.Route{
		{Name: "read", Host: "a", Prefix: "/read/", Kind: route.KindSafe, MaxAttempts: 3, Backends: backends},
		{Name: "buy", Host: "a", Prefix: "/buy/", Kind: route.KindUnsafe, MaxAttempts: 3, Backends: backends},
	}, []route.Service{{Name: "desk"}}, nil, route.Limits{}))
	for i := range endpoints {
		id := jaywind.EndpointID(fmt.Sprint("s", i))
		r.UpdateEndpoint(endpoint.Entry{ID: id, Service: "desk", Address: jaywind.Address(id), Slots: 6})
	}
	return r
}

func keyOf(id jaywind.EndpointID) schedule.Key { return schedule.KeyOf(jaywind.EndpointRef{ID: id}) }

func (r *Router) serveTest(path string) *outcomeWriter {
	w := &outcomeWriter{}
	r.Serve(context.Background(), &Request{ID: "q", Host: "a", Path: path, Arrived: time.Now(), Timeout: 5 * time.Second}, w)
	return w
}

// TestRejectedCallIsNotRepeated: a service has shrunk to few endpoints, which reject a call. The test fails if the call is sent again to
// an endpoint that has rejected it, or if its caller is told another reason or no time. Without balancing the choice stays as it was.
func TestRejectedCallIsNotRepeated(t *testing.T) {
	tests := map[string]struct {
		endpoints int
		uneven    float64
		sends     int
		reason    Reason
	}{
		"one endpoint":       {1, 1.5, 1, ReasonRejecting},
		"three endpoints":    {3, 1.5, 3, ReasonRejecting},
		"without balancing":  {1, 0, maxNotRun + 1, ReasonBusy},
		"more than attempts": {9, 1.5, maxNotRun + 1, ReasonBusy},
	}
	for name, c := range tests {
		for _, path := range []string{"/read/x", "/buy/x"} {
			t.Run(name+path, func(t *testing.T) {
				is := is.New(t)
				u := &plainUpstream{do: rejectAll}
				r := newPlainRouter(u, c.endpoints)
				r.BalanceUneven = c.uneven
				w := r.serveTest(path)
				is.Equal(len(u.sent), c.sends)
				is.Equal(w.refusal.Reason, c.reason)
				is.True(w.refusal.RetryAfter > 0)
				if c.uneven > 0 {
					slices.Sort(u.sent)
					is.Equal(len(slices.Compact(u.sent)), c.sends) // each endpoint once
				}
			})
		}
	}
}

// TestRejectionWithSpentBudget fails if a call that all endpoints reject takes a retry from the budget which others need.
func TestRejectionWithSpentBudget(t *testing.T) {
	is := is.New(t)
	u := &plainUpstream{do: rejectAll}
	r := newPlainRouter(u, 1)
	r.RetryBudget = retry.Budget{Window: time.Second} // allows no retry
	is.Equal(r.serveTest("/read/x").refusal.Reason, ReasonRejecting)
	is.Equal(r.Metrics.Get("repeats.over_budget").(metrics.Counter).Count(), int64(0))
}

// TestUnsafeCallAfterLoss fails if balancing sends an unsafe call again after its answer was lost, as it may have run.
func TestUnsafeCallAfterLoss(t *testing.T) {
	is := is.New(t)
	u := &plainUpstream{do: func(jaywind.EndpointID) (jaywind.Reply, error) { return jaywind.Reply{}, io.ErrUnexpectedEOF }}
	r := newPlainRouter(u, 3)
	r.applyPlainSummary("desk", schedule.Summary{Rows: []schedule.Row{{Endpoint: keyOf("s0"), MeanMs: 240}, {Endpoint: keyOf("s1"), MeanMs: 30}, {Endpoint: keyOf("s2"), MeanMs: 30}}}, time.Now())
	w := r.serveTest("/buy/x")
	is.Equal(len(u.sent), 1)
	is.Equal(w.refusal.Reason, ReasonAnswerLost)
}

// TestSlowEndpointIsAvoided fails if a router goes on to send calls to an endpoint that takes eight times as long for all routers, or if it
// chooses differently while the endpoints are alike, or while balancing is off.
func TestSlowEndpointIsAvoided(t *testing.T) {
	tests := map[string]struct {
		meanMs float64
		uneven float64
		avoid  bool
	}{
		"eight times slower": {240, 1.5, true},
		"alike":              {35, 1.5, false},
		"off":                {240, 0, false},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				is := is.New(t)
				u := &plainUpstream{do: answer}
				r := newPlainRouter(u, 3)
				r.BalanceUneven = c.uneven
				r.serveTest("/read/x")
				usual := u.sent[0]
				for range 300 {
					rows := []schedule.Row{{Endpoint: keyOf("s0"), MeanMs: 30}, {Endpoint: keyOf("s1"), MeanMs: 30}, {Endpoint: keyOf("s2"), MeanMs: 30}}
					for i := range rows {
						if rows[i].Endpoint == keyOf(usual) {
							rows[i].MeanMs = c.meanMs
						}
					}
					r.applyPlainSummary("desk", schedule.Summary{Rows: rows}, time.Now())
					r.serveTest("/buy/x")
					time.Sleep(10 * time.Millisecond)
				}
				there := 0
				for _, id := range u.sent[1:] {
					if id == usual {
						there++
					}
				}
				if c.avoid {
					is.True(there < 300/20) // an unsafe call is a probe only while there are no safe ones
				} else {
					is.Equal(there, 300)
				}
			})
		})
	}
}

// TestShedding: the endpoint of a service can serve four fifths of the calls. The test fails if unsafe calls are refused at arrival while safe
// ones are sent, or if calls are still refused a second after the rejections have ended.
func TestShedding(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		u := &plainUpstream{do: answer}
		r := newPlainRouter(u, 1)
		refused := map[string]int{}
		play := func(capacity int) { // calls that the service serves of 50
			clear(refused)
			before := len(u.sent)
			for i := range 400 {
				if i%50 == 0 {
					sent := len(u.sent) - before
					before = len(u.sent)
					rejections := float64(max(0, sent-capacity)) / float64(max(1, sent))
					r.applyPlainSummary("desk", schedule.Summary{Rows: []schedule.Row{{Endpoint: keyOf("s0"), MeanMs: 150, Open: 30, Rejections: rejections}}}, time.Now())
				}
				path := []string{"/read/x", "/buy/x"}[i%2]
				if w := r.serveTest(path); w.refusal.Reason == ReasonRejecting {
					refused[path]++
					is.True(w.refusal.RetryAfter >= 50*time.Millisecond && w.refusal.RetryAfter < time.Second)
				}
				time.Sleep(10 * time.Millisecond)
			}
		}
		play(40)
		is.True(refused["/read/x"] > 40) // a fifth of all calls, from half of them
		is.Equal(refused["/buy/x"], 0)
		is.Equal(r.Metrics.Get("plain.shed").(metrics.Counter).Count(), int64(refused["/read/x"]))
		play(50)
		first := refused["/read/x"]
		is.True(first < 40) // of 200 in 4 s
		play(50)
		is.Equal(refused["/read/x"], 0)
	})
}

// TestRejectionInRollout: a roll-out binds a call to the new version, whose only endpoint rejects it. The test fails if the call goes to
// the old version instead.
func TestRejectionInRollout(t *testing.T) {
	is := is.New(t)
	u := &plainUpstream{do: rejectAll}
	r := newPlainRouter(u, 2)
	r.UpdateEndpoint(endpoint.Entry{ID: "s2", Service: "desk", Address: "s2", Slots: 6, Version: "v2"})
	r.StartRollout(rollout.Order{Service: "desk", Target: "v2", Duration: time.Minute, ReceivedAt: time.Now()}, rollout.Bounds{})
	r.SetRolloutState("desk", rollout.State{Target: "v2", Phase: rollout.PhaseDone})
	w := r.serveTest("/read/x")
	is.Equal(u.sent, []jaywind.EndpointID{"s2"})
	is.Equal(w.refusal.Reason, ReasonRejecting)
}

// TestPlainSamples fails if a report misses a call of this router, counts one twice, or counts one as open that has ended, also by a panic.
func TestPlainSamples(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		u := &plainUpstream{do: func(jaywind.EndpointID) (jaywind.Reply, error) {
			time.Sleep(30 * time.Millisecond)
			return jaywind.Reply{Status: http.StatusOK}, nil
		}}
		r := newPlainRouter(u, 1)
		r.serveTest("/read/x")
		r.serveTest("/buy/x")
		is.Equal(r.plainSamples("desk"), []schedule.PlainSample{{Endpoint: keyOf("s0"), Calls: 2, Time: 60 * time.Millisecond}})
		is.Equal(len(r.plainSamples("desk")), 0)
		u.do = func(jaywind.EndpointID) (jaywind.Reply, error) { panic("index out of range") }
		func() {
			defer func() { is.True(recover() != nil) }()
			r.serveTest("/buy/x")
		}()
		is.Equal(len(r.plainSamples("desk")), 0)
	})
}

// TestOutcomes fails if an error of the connection counts as a rejection, or a rejection as a failure.
func TestOutcomes(t *testing.T) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	late, cancelLate := context.WithTimeout(context.Background(), 0)
	defer cancelLate()
	tests := map[string]struct {
		ctx    context.Context
		status int
		err    error
		want   balance.Outcome
	}{
		"answered":      {context.Background(), 200, nil, balance.Answered},
		"not found":     {context.Background(), 404, nil, balance.Answered},
		"server error":  {context.Background(), 500, nil, balance.Failed},
		"rejected":      {context.Background(), 0, jaywind.ErrBusy, balance.Rejected},
		"no connection": {context.Background(), 0, jaywind.ErrNotSent, balance.NotSent},
		"limited":       {context.Background(), 0, jaywind.ErrLimited, balance.NotSent},
		"relay lost":    {context.Background(), 0, jaywind.ErrRelayLost, balance.NotSent},
		"broken":        {context.Background(), 0, io.ErrUnexpectedEOF, balance.Failed},
		"caller left":   {ended, 0, io.ErrUnexpectedEOF, balance.Abandoned},
		"deadline":      {late, 0, io.ErrUnexpectedEOF, balance.TimedOut},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(outcomeOf(c.ctx, jaywind.Reply{Status: c.status}, c.err), c.want)
		})
	}
}
