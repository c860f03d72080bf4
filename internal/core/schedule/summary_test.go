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
