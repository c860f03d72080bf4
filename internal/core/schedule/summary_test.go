package schedule_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/internal/core/schedule"
)

// TestSummary checks what routers are told of the work at the endpoints.
func TestSummary(t *testing.T) {
	is := is.New(t)
	s := scheduler(endpoints("a", "b"))
	s.Report("vm1", schedule.Report{
		Runs:  []schedule.Run{run("1", 1, 2, 100), prefilling("2", 1, 50, 40)},
		Plain: []schedule.PlainSample{{Endpoint: 1, Calls: 3, Time: 60 * time.Millisecond, Rejected: 1, Open: 2}},
	}, start)
	s.Report("vm2", schedule.Report{
		Samples: []schedule.Sample{{Address: address(1), Event: 30 * time.Millisecond, Prefill: 100 * time.Millisecond, Tokens: 400}},
		Plain:   []schedule.PlainSample{{Endpoint: 1, Open: 3}},
	}, start.Add(300*time.Millisecond))
	got := s.Summary(start.Add(300 * time.Millisecond))
	is.Equal(got, schedule.Summary{
		Rows: []schedule.Row{
			{Endpoint: 1, Runs: 2, Held: 150, Prefill: 40, Factor: 1, Open: 5, MeanMs: 20, Rejections: 0.1},
			{Endpoint: 2, Held: 100, Factor: 1},
		},
		Bound: 1800, InUse: 300, Spread: 1, EventMs: 30, PromptMs: 0.25,
	})
	s.SetEndpoints(endpoints("a")) // the second one no longer accepts work
	got = s.Summary(start.Add(400 * time.Millisecond))
	is.Equal(len(got.Rows), 1)
	is.Equal(got.Bound, 900)
}

// TestKeyOf checks that incarnations of an endpoint have different keys.
func TestKeyOf(t *testing.T) {
	is := is.New(t)
	e := jaywind.EndpointRef{ID: "e", Incarnation: 1}
	next := jaywind.EndpointRef{ID: "e", Incarnation: 2}
	is.Equal(schedule.KeyOf(e), schedule.KeyOf(e))
	is.True(schedule.KeyOf(e) != schedule.KeyOf(next))
}

// TestOpenCalls guards against plain calls of a router that is lost, which would count as under way for ever.
func TestOpenCalls(t *testing.T) {
	is := is.New(t)
	s := scheduler(endpoints("a"))
	open := func(n int) schedule.Report {
		return schedule.Report{Plain: []schedule.PlainSample{{Endpoint: 1, Open: n}}}
	}
	s.Report("vm1", open(2), start)
	s.Report("vm2", open(3), start)
	s.Report("vm2", open(4), start.Add(2*time.Second))
	is.Equal(s.Summary(start.Add(2 * time.Second)).Rows[0].Open, 6)
	is.Equal(s.Summary(start.Add(3 * time.Second)).Rows[0].Open, 4)
	s.Report("vm2", schedule.Report{}, start.Add(3*time.Second))
	is.Equal(s.Summary(start.Add(3 * time.Second)).Rows[0].Open, 0)
}

// TestLearn guards against a new owner that takes engines of known speeds for others: the factors and the medians of the last summary hold
// from the start, and what the owner has seen itself counts more.
func TestLearn(t *testing.T) {
	is := is.New(t)
	all := endpoints("a", "b", "c", "d")
	addresses := map[schedule.Key]jaywind.Address{}
	for _, e := range all[:3] {
		addresses[e.Key] = e.Address
	}
	s := scheduler(all)
	s.Learn(schedule.Summary{
		EventMs: 40, PromptMs: 0.5,
		Rows: []schedule.Row{{Endpoint: 1, Factor: 1.7}, {Endpoint: 2, Factor: 0.7}, {Endpoint: 3, Factor: 1}, {Endpoint: 4, Factor: 9}},
	}, addresses, start)
	got := s.Summary(start)
	for i, want := range []float64{1.7, 0.7, 1, 1} {
		if f := got.Rows[i].Factor; f < want-0.01 || f > want+0.01 {
			t.Errorf("factor %.2f of engine %d, want %.2f", f, i+1, want)
		}
	}
	is.Equal(got.EventMs, 40.0)
	is.Equal(got.PromptMs, 0.5)

	s.Learn(schedule.Summary{EventMs: 40, Rows: []schedule.Row{{Endpoint: 2, Factor: 5}}}, addresses, start)
	is.True(s.Summary(start.Add(time.Second)).Rows[1].Factor < 1)
}
