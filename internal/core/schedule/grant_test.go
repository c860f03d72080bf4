package schedule

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind"
)

// oneEngine returns a scheduler of a service with one engine that processes one run, and the time.
func oneEngine() (*Scheduler, time.Time) {
	s := &Scheduler{Capacity: Capacity{MemoryTokens: 10000}}
	s.SetEndpoints([]Endpoint{{Key: 1, Address: "http://e1", Domain: "a", Slots: 1}})
	return s, time.Unix(1000, 0)
}

func requestOf(id jaywind.RequestID, now time.Time) Request {
	return Request{ID: id, Router: "vm1", Arrived: now, Target: 10 * time.Second, Left: time.Minute, Tokens: 1000, Prefill: 500, Events: 10}
}

// TestGrantWithinAsk guards against a grant that nobody is told of: Ask grants whatever has its turn, not only its own request.
func TestGrantWithinAsk(t *testing.T) {
	is := is.New(t)
	s, now := oneEngine()
	is.Equal(s.Ask(requestOf("a", now), now).Outcome, Granted)
	is.Equal(s.Ask(requestOf("b", now), now).Outcome, Queued)
	s.Report("vm1", Report{Runs: []Run{{Request: "a", Endpoint: 1, Tokens: 1000, Begun: true, Started: now}}}, now)
	s.Report("vm1", Report{}, now) // "a" has ended
	is.Equal(s.Ask(requestOf("c", now.Add(time.Millisecond)), now).Outcome, Queued)
	all := s.Dispatch(now)
	is.Equal(len(all), 1)
	is.Equal(all[0].Request, jaywind.RequestID("b"))
	is.Equal(len(s.Dispatch(now)), 0)
}

// TestDispatchAfterExpiry guards against requests that wait for the memory of a grant or of a report that has ended, while nobody reports.
func TestDispatchAfterExpiry(t *testing.T) {
	is := is.New(t)
	s, now := oneEngine()
	is.Equal(s.Ask(requestOf("a", now), now).Outcome, Granted)
	now = now.Add(grantTTL - 100*time.Millisecond)
	is.Equal(s.Ask(requestOf("b", now), now).Outcome, Queued)
	is.Equal(len(s.Dispatch(now)), 0)
	is.Equal(len(s.Dispatch(now.Add(100*time.Millisecond))), 1)
}

// TestRelease guards against memory that stays assigned to a request whose caller has left, and against the end of a run that is under way.
func TestRelease(t *testing.T) {
	is := is.New(t)
	s, now := oneEngine()
	s.Release("unknown")
	is.Equal(s.Ask(requestOf("a", now), now).Outcome, Granted)
	s.Release("a")
	is.Equal(s.Runs(), 0)
	is.Equal(s.Ask(requestOf("b", now), now).Outcome, Granted)
	s.Report("vm1", Report{Runs: []Run{{Request: "b", Endpoint: 1, Tokens: 1000, Started: now}}}, now)
	s.Release("b")
	is.Equal(s.Runs(), 1)
}

// TestOpenCallsOfLostRouter guards against calls that stay open forever because their router is gone.
func TestOpenCallsOfLostRouter(t *testing.T) {
	is := is.New(t)
	s, now := oneEngine()
	s.Report("vm1", Report{Plain: []PlainSample{{Endpoint: 1, Open: 3}}}, now)
	is.Equal(s.Summary(now).Rows[0].Open, 3)
	is.Equal(s.Summary(now.Add(reportTTL)).Rows[0].Open, 0)
}
