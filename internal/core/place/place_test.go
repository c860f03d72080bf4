package place

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/internal/core/rule"
	"jaywind/internal/core/table"
)

const tick = 20 * time.Millisecond

var startTime = time.Unix(1e9, 0)

func addRequest(s *table.State, id string, prompt string) *table.Request {
	r := &table.Request{ID: jaywind.RequestID(id), Model: "heat", Prompt: prompt, Arrived: s.Now, Phase: table.PhaseReady}
	s.Requests[r.ID] = r
	s.Ready = append(s.Ready, r.ID)
	return r
}

// step runs Placement for a full tick and returns the attempts opened and the requests ended.
func step(s *table.State, now time.Time) (opens []table.OpenStream, ends []table.FinishRequest) {
	s.BeginTick(now, true, nil)
	Placement{}.Step(s)
	for _, c := range s.TakeCommands() {
		switch c := c.(type) {
		case table.OpenStream:
			opens = append(opens, c)
		case table.FinishRequest:
			ends = append(ends, c)
		}
	}
	return opens, ends
}

func TestEndpointsThatReceiveNoNewWork(t *testing.T) {
	fail := func(n int) func(s *table.State, e *table.Endpoint) {
		return func(s *table.State, e *table.Endpoint) {
			for range n {
				e.RecordFailure("v1", startTime, s.Random)
			}
		}
	}
	tests := map[string]struct {
		inject func(s *table.State, e *table.Endpoint)
		after  time.Duration // since the fault was injected
		want   bool          // whether the endpoint receives work
	}{
		"healthy":                   {inject: fail(0), want: true},
		"drained by rule":           {inject: func(s *table.State, e *table.Endpoint) { s.Rules.Drains[e.ID] = rule.Drain{ID: e.ID} }},
		"leaving by its own report": {inject: func(_ *table.State, e *table.Endpoint) { e.Leaving = true }},
		"two failures":              {inject: fail(2), want: true},
		"breaker open":              {inject: fail(3)},
		"breaker half-open":         {inject: fail(3), after: time.Second, want: true},
		"another version fails": {inject: func(s *table.State, e *table.Endpoint) {
			e.Versions = map[jaywind.Version]*table.Breaker{}
			for range 9 {
				e.RecordFailure("v0", startTime, s.Random)
			}
		}, want: true},
		"unreachable": {inject: func(s *table.State, e *table.Endpoint) {
			for range 3 {
				e.RecordUnreachable(startTime, s.Random)
			}
		}},
		"refused":              {inject: func(s *table.State, e *table.Endpoint) { e.RecordRefusal(startTime, s.Random) }},
		"refused a second ago": {inject: func(s *table.State, e *table.Endpoint) { e.RecordRefusal(startTime, s.Random) }, after: time.Second, want: true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newState(4, 2)
			s.Now = startTime
			c.inject(s, s.Endpoints["e1"])
			for i := range 100 {
				addRequest(s, fmt.Sprint(i), "")
			}
			opens, _ := step(s, startTime.Add(c.after))
			is.Equal(len(opens), 100)
			is.Equal(s.Endpoints["e1"].Inflight > 0, c.want)
		})
	}
}

func TestHalfOpenBreakerTakesOneTrial(t *testing.T) {
	is := is.New(t)
	s := newState(1, 1)
	e := s.Endpoints["e0"]
	for range 3 {
		e.RecordFailure("v1", startTime, s.Random)
	}
	s.Now = startTime.Add(time.Second)
	for i := range 10 {
		addRequest(s, fmt.Sprint(i), "")
	}
	opens, _ := step(s, s.Now)
	is.Equal(len(opens), 1)
	e.RecordSuccess("v1")
	opens, _ = step(s, s.Now.Add(time.Second-tick))
	is.Equal(len(opens), 9)
}

// TestFailingEndpointsAreRetriedWithBackoff bounds the attempts of a request that every endpoint refuses or fails at once.
func TestFailingEndpointsAreRetriedWithBackoff(t *testing.T) {
	tests := map[string]func(s *table.State, e *table.Endpoint){
		"refused": func(s *table.State, e *table.Endpoint) { e.RecordRefusal(s.Now, s.Random) },
		"failed":  func(s *table.State, e *table.Endpoint) { e.RecordFailure("v1", s.Now, s.Random) },
	}
	for name, inject := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newState(2, 2)
			s.Now = startTime
			r := addRequest(s, "r", "")
			attempts, ended := 0, time.Time{}
			for now := startTime; ended.IsZero() && now.Before(startTime.Add(time.Minute)); now = now.Add(tick) {
				opens, ends := step(s, now)
				if len(ends) > 0 {
					ended = now
					is.True(ends[0].RetryAfter > 0)
				}
				for _, o := range opens {
					attempts++
					inject(s, s.Endpoints[o.Endpoint])
					s.Endpoints[o.Endpoint].Inflight--
					r.Avoid = map[jaywind.EndpointID]bool{o.Endpoint: true}
					r.Phase = table.PhaseReady
					s.Ready = append(s.Ready, r.ID)
				}
			}
			t.Logf("%d attempts, given up after %v", attempts, ended.Sub(startTime))
			is.True(attempts <= 10)
			is.True(!ended.IsZero() && ended.Sub(startTime) <= 2*newRequestWait) // ended rather than kept waiting
		})
	}
}

func TestWindowWidensWhenNoEndpointIsUsable(t *testing.T) {
	is := is.New(t)
	s := newState(100, 4)
	s.Membership = table.Membership{Rank: 3, Members: 50}
	g := RingOf(s, "heat", "v1")
	for i := range g.Size {
		s.Endpoints[g.At(i)].Leaving = true
	}
	addRequest(s, "r", "")
	opens, _ := step(s, startTime)
	is.Equal(len(opens), 1)
}

func TestAffinityIsBounded(t *testing.T) {
	is := is.New(t)
	s := newState(8, 4)
	for i := range 80 {
		addRequest(s, fmt.Sprint(i), strings.Repeat("clause ", 100))
		opens, _ := step(s, startTime)
		if i == 1 { // the load is below the limit, so the second request goes to the same endpoint as the first
			is.Equal(s.Endpoints[opens[0].Endpoint].Inflight, 2)
		}
	}
	for _, e := range s.Endpoints {
		is.True(e.Inflight <= 14) // 1.25 times the average of 10, plus 1, rounded up
	}
}

func TestLoadEstimate(t *testing.T) {
	tests := map[string]struct {
		age  time.Duration // of both reports
		own  int           // requests started since at e0, which was reported idle
		want jaywind.EndpointID
	}{
		"fresh report":                          {want: "e0"},
		"own requests since the report":         {own: 9, want: "e1"},
		"report with reduced weight":            {age: 5 * time.Second, own: 3, want: "e1"},
		"stale report, only own requests count": {age: time.Minute, own: 1, want: "e1"},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newState(2, 2)
			s.BeginTick(startTime, false, []table.Event{
				table.LoadReported{Endpoint: "e0"}, table.LoadReported{Endpoint: "e1", Load: jaywind.Load{Running: 5}},
			})
			LoadReports{}.Step(s)
			s.Endpoints["e0"].Inflight = c.own
			s.Now = startTime.Add(c.age)
			l := estimateLoads(s, []*table.Endpoint{s.Endpoints["e0"], s.Endpoints["e1"]})
			is.Equal(l.estimate(s.Endpoints["e0"]) < l.estimate(s.Endpoints["e1"]), c.want == "e0")
		})
	}
}

func TestPollRateIsConstant(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{35, 940} {
		s := newState(n, 4)
		s.Membership = table.Membership{Members: 9}
		polls, seen := 0, map[jaywind.EndpointID]bool{}
		for now := startTime; now.Before(startTime.Add(10 * time.Second)); now = now.Add(tick) {
			s.BeginTick(now, true, nil)
			LoadPolls{}.Step(s)
			for _, c := range s.TakeCommands() {
				polls++
				seen[c.(table.PollLoad).Endpoint] = true
			}
		}
		is.True(polls <= 81 && polls >= 70)                  // 8 per second, at any fleet size
		is.Equal(len(seen), min(polls, len(s.Rings.Polled))) // all endpoints are polled, or as many as there were polls
	}
}

// addResume adds a request whose endpoint was lost at startTime after the given number of tokens.
func addResume(s *table.State, id string, tokens int) {
	r := addRequest(s, id, "")
	r.Version, r.Sent, r.BrokenAt, r.Tokens = "v1", true, startTime, make([]jaywind.Token, tokens)
}

func TestResumesAreOrderedAndThrottled(t *testing.T) {
	is := is.New(t)
	s := newState(2, 2)
	s.Now = startTime
	addRequest(s, "fresh", "")
	for _, tokens := range []int{1000, 3000, 2000, 2500} {
		addResume(s, fmt.Sprint(tokens), tokens)
	}
	opens, ends := step(s, startTime)
	var ids []jaywind.RequestID
	for _, o := range opens {
		ids = append(ids, o.Call.Request)
	}
	is.Equal(ids, []jaywind.RequestID{"3000", "2500", "1000", "fresh"}) // 2000 more tokens would exceed maxPrefillDelay at either endpoint
	is.True(opens[0].Endpoint != opens[1].Endpoint)                     // balanced by prefill
	is.True(opens[0].Call.Priority > opens[3].Call.Priority)            // engines see a higher priority for a resume
	is.Equal(len(ends), 0)
	opens, _ = step(s, startTime.Add(maxPrefillDelay))
	is.Equal(len(opens), 1) // the throttled one
}

func TestResumesThatCannotStartInTimeEndAtOnce(t *testing.T) {
	is := is.New(t)
	s := newState(2, 2)
	s.Now = startTime
	for i := range 100 {
		addResume(s, fmt.Sprint(i), 1000+i)
	}
	opens, ends := step(s, startTime)
	is.True(len(opens) > 0)
	is.True(len(ends) > 50) // two engines prefill 32,000 tokens within resumeStartLimit
	for _, f := range ends {
		is.Equal(f.Outcome, table.OutcomeFailed)
		is.True(f.RetryAfter >= minRetryAfter)
		for _, r := range s.Requests {
			is.True(f.Bookmark.Position < r.Position()) // the ones with the fewest generated tokens are ended
		}
	}
}

func TestRetryBudgets(t *testing.T) {
	tests := map[string]struct {
		key    table.RetryKey
		pinned bool
		ends   int
		opens  int
	}{
		"budgets left":                        {opens: 1},
		"organisation's budget spent":         {key: table.RetryKey{Organisation: table.Unlisted}, ends: 1},
		"endpoint's budget spent":             {key: table.RetryKey{Endpoint: "e0"}},
		"resume, organisation's budget spent": {key: table.RetryKey{Organisation: table.Unlisted}, pinned: true, opens: 1},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newState(1, 1)
			s.Now = startTime
			r := addRequest(s, "r", "")
			if c.pinned {
				r.Tokens, r.BrokenAt, r.Version = make([]jaywind.Token, 1), startTime, "v1"
			}
			r.Tries = 1
			for s.RetryBudgetFor(c.key).CanRetry() && c.key != (table.RetryKey{}) {
				s.RetryBudgetFor(c.key).RecordRetry()
			}
			opens, ends := step(s, startTime)
			is.Equal(len(opens), c.opens)
			is.Equal(len(ends), c.ends)
		})
	}
}

func TestWaitingRequestIsQueuedOnce(t *testing.T) {
	is := is.New(t)
	s := newState(1, 1)
	s.Endpoints["e0"].Leaving = true
	s.Now = startTime
	r := addRequest(s, "r", "")
	for i := range 20 { // the caller reconnects repeatedly
		step(s, startTime.Add(time.Duration(i)*tick))
		s.Ready = append(s.Ready, r.ID)
	}
	step(s, startTime.Add(20*tick))
	is.Equal(len(s.Waiting), 1)
}

// TestResumeWithoutAnEndpoint resumes a request while the only endpoint is leaving, until it accepts work again or for good.
func TestResumeWithoutAnEndpoint(t *testing.T) {
	const resumeTarget = 4 * time.Second // the stated target for output to continue after a loss
	tests := map[string]struct {
		tokens      int
		returnAfter time.Duration // when the endpoint accepts work again; 0 for never
		opens       int
		ends        int
	}{
		"endpoint never returns":             {tokens: 100, ends: 1},
		"returns in time":                    {tokens: 100, returnAfter: 3 * time.Second, opens: 1},
		"returns too late":                   {tokens: 100, returnAfter: 5 * time.Second, ends: 1},
		"returns too late for a long prefix": {tokens: table.PrefillRate * 3 / 2, returnAfter: 3 * time.Second, ends: 1},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newState(1, 1)
			addResume(s, "r", c.tokens)
			s.Ready = []jaywind.RequestID{"r"}
			opened, ended := 0, 0
			var last time.Duration
			for after := time.Duration(0); after <= 12*time.Second; after += tick {
				s.Endpoints["e0"].Leaving = c.returnAfter == 0 || after < c.returnAfter
				opens, ends := step(s, startTime.Add(after))
				opened += len(opens)
				ended += len(ends)
				if len(opens)+len(ends) > 0 {
					last = after
				}
			}
			t.Logf("%d opened, %d ended, after %v", opened, ended, last)
			is.Equal(opened, c.opens)
			is.Equal(ended, c.ends)
			is.True(last <= resumeTarget) // by then the request is resumed or ended
		})
	}
}
