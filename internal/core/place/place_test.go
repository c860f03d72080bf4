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

var began = time.Unix(1e9, 0)

func add(s *table.State, id string, prompt string) *table.Request {
	r := &table.Request{ID: jaywind.RequestID(id), Model: "heat", Prompt: prompt, Arrived: s.Now, Phase: table.PhaseReady}
	s.Requests[r.ID] = r
	s.Ready = append(s.Ready, r.ID)
	return r
}

// step runs a full tick and returns the attempts opened and the requests ended.
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
				e.RecordFailure("v1", began, s.Random)
			}
		}
	}
	tests := map[string]struct {
		strike func(s *table.State, e *table.Endpoint)
		after  time.Duration // from the strike
		want   bool          // whether the endpoint receives work
	}{
		"healthy":             {strike: fail(0), want: true},
		"drained by rule":     {strike: func(s *table.State, e *table.Endpoint) { s.Rules.Drains[e.ID] = rule.Drain{ID: e.ID} }},
		"leaving by own word": {strike: func(_ *table.State, e *table.Endpoint) { e.Leaving = true }},
		"two failures":        {strike: fail(2), want: true},
		"breaker open":        {strike: fail(3)},
		"breaker half-open":   {strike: fail(3), after: time.Second, want: true},
		"another version fails": {strike: func(s *table.State, e *table.Endpoint) {
			e.Versions = map[jaywind.Version]*table.Breaker{}
			for range 9 {
				e.RecordFailure("v0", began, s.Random)
			}
		}, want: true},
		"unreachable": {strike: func(s *table.State, e *table.Endpoint) {
			for range 3 {
				e.RecordUnreachable(began, s.Random)
			}
		}},
		"refused":                 {strike: func(s *table.State, e *table.Endpoint) { e.RecordRefusal(began, s.Random) }},
		"refused a second before": {strike: func(s *table.State, e *table.Endpoint) { e.RecordRefusal(began, s.Random) }, after: time.Second, want: true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newState(4, 2)
			s.Now = began
			c.strike(s, s.Endpoints["e1"])
			for i := range 100 {
				add(s, fmt.Sprint(i), "")
			}
			opens, _ := step(s, began.Add(c.after))
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
		e.RecordFailure("v1", began, s.Random)
	}
	s.Now = began.Add(time.Second)
	for i := range 10 {
		add(s, fmt.Sprint(i), "")
	}
	opens, _ := step(s, s.Now)
	is.Equal(len(opens), 1)
	e.RecordSuccess("v1")
	opens, _ = step(s, s.Now.Add(time.Second-tick))
	is.Equal(len(opens), 9)
}

// TestFailingEndpointsAreNotSpunOn counts the attempts of a request that every endpoint refuses or drops at once.
func TestFailingEndpointsAreNotSpunOn(t *testing.T) {
	tests := map[string]func(s *table.State, e *table.Endpoint){
		"refused": func(s *table.State, e *table.Endpoint) { e.RecordRefusal(s.Now, s.Random) },
		"failed":  func(s *table.State, e *table.Endpoint) { e.RecordFailure("v1", s.Now, s.Random) },
	}
	for name, strike := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newState(2, 2)
			s.Now = began
			r := add(s, "r", "")
			attempts, ended := 0, time.Time{}
			for now := began; ended.IsZero() && now.Before(began.Add(time.Minute)); now = now.Add(tick) {
				opens, ends := step(s, now)
				if len(ends) > 0 {
					ended = now
					is.True(ends[0].RetryAfter > 0)
				}
				for _, o := range opens {
					attempts++
					strike(s, s.Endpoints[o.Endpoint])
					s.Endpoints[o.Endpoint].Inflight--
					r.Avoid = map[jaywind.EndpointID]bool{o.Endpoint: true}
					r.Phase = table.PhaseReady
					s.Ready = append(s.Ready, r.ID)
				}
			}
			t.Logf("%d attempts, given up after %v", attempts, ended.Sub(began))
			is.True(attempts <= 10)
			is.True(!ended.IsZero() && ended.Sub(began) <= 2*freshWait) // given up, and not held
		})
	}
}

func TestWindowWidensWhenNothingInItIsUsable(t *testing.T) {
	is := is.New(t)
	s := newState(100, 4)
	s.Membership = table.Membership{Rank: 3, Members: 50}
	g := RingOf(s, "heat", "v1")
	for i := range g.Size {
		s.Endpoints[g.At(i)].Leaving = true
	}
	add(s, "r", "")
	opens, _ := step(s, began)
	is.Equal(len(opens), 1)
}

func TestAffinityIsBounded(t *testing.T) {
	is := is.New(t)
	s := newState(8, 4)
	for i := range 80 {
		add(s, fmt.Sprint(i), strings.Repeat("clause ", 100))
		opens, _ := step(s, began)
		if i == 1 { // nothing else is loaded, so the second goes where the first went
			is.Equal(s.Endpoints[opens[0].Endpoint].Inflight, 2)
		}
	}
	for _, e := range s.Endpoints {
		is.True(e.Inflight <= 14) // the average of 10, a quarter and the slack of one
	}
}

func TestLoadEstimate(t *testing.T) {
	tests := map[string]struct {
		age  time.Duration // of both reports
		own  int           // started since at the one that was reported idle
		want jaywind.EndpointID
	}{
		"fresh report":                {want: "e0"},
		"own work since the report":   {own: 9, want: "e1"},
		"report of half a life":       {age: 5 * time.Second, own: 3, want: "e1"},
		"stale report, own work only": {age: time.Minute, own: 1, want: "e1"},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newState(2, 2)
			s.BeginTick(began, false, []table.Event{
				table.LoadReported{Endpoint: "e0"}, table.LoadReported{Endpoint: "e1", Load: jaywind.Load{Running: 5}},
			})
			LoadReports{}.Step(s)
			s.Endpoints["e0"].Inflight = c.own
			s.Now = began.Add(c.age)
			l := loadsOf(s, []*table.Endpoint{s.Endpoints["e0"], s.Endpoints["e1"]})
			is.Equal(l.of(s.Endpoints["e0"]) < l.of(s.Endpoints["e1"]), c.want == "e0")
		})
	}
}

func TestPollsAreConstant(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{35, 940} {
		s := newState(n, 4)
		s.Membership = table.Membership{Members: 9}
		polls, seen := 0, map[jaywind.EndpointID]bool{}
		for now := began; now.Before(began.Add(10 * time.Second)); now = now.Add(tick) {
			s.BeginTick(now, true, nil)
			LoadPolls{}.Step(s)
			for _, c := range s.TakeCommands() {
				polls++
				seen[c.(table.PollLoad).Endpoint] = true
			}
		}
		is.True(polls <= 81 && polls >= 70)                  // 8 a second, at any size
		is.Equal(len(seen), min(polls, len(s.Rings.Polled))) // each in its turn
	}
}

// resume adds a generation whose endpoint was lost when the test began.
func resume(s *table.State, id string, tokens int) {
	r := add(s, id, "")
	r.Version, r.Sent, r.BrokenAt, r.Tokens = "v1", true, began, make([]jaywind.Token, tokens)
}

func TestResumesGoByUrgencyAndPace(t *testing.T) {
	is := is.New(t)
	s := newState(2, 2)
	s.Now = began
	add(s, "fresh", "")
	for _, tokens := range []int{1000, 3000, 2000, 2500} {
		resume(s, fmt.Sprint(tokens), tokens)
	}
	opens, ends := step(s, began)
	var ids []jaywind.RequestID
	for _, o := range opens {
		ids = append(ids, o.Call.Request)
	}
	is.Equal(ids, []jaywind.RequestID{"3000", "2500", "1000", "fresh"}) // 2000 more would make either wait half a second
	is.True(opens[0].Endpoint != opens[1].Endpoint)                     // spread by prefill
	is.True(opens[0].Call.Priority > opens[3].Call.Priority)            // engines hear that it is a resume
	is.Equal(len(ends), 0)
	opens, _ = step(s, began.Add(paceLimit))
	is.Equal(len(opens), 1) // the paced one
}

func TestResumesThatWouldComeTooLateEndAtOnce(t *testing.T) {
	is := is.New(t)
	s := newState(2, 2)
	s.Now = began
	for i := range 100 {
		resume(s, fmt.Sprint(i), 1000+i)
	}
	opens, ends := step(s, began)
	is.True(len(opens) > 0)
	is.True(len(ends) > 50) // two engines prefill 32,000 tokens in the time to start
	for _, f := range ends {
		is.Equal(f.Outcome, table.OutcomeFailed)
		is.True(f.RetryAfter >= returnAfter)
		for _, r := range s.Requests {
			is.True(f.Bookmark.Position < r.Position()) // those with the least sunk work
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
		"left":                         {opens: 1},
		"organisation's spent":         {key: table.RetryKey{Organisation: table.Unlisted}, ends: 1},
		"endpoint's spent":             {key: table.RetryKey{Endpoint: "e0"}},
		"resume, organisation's spent": {key: table.RetryKey{Organisation: table.Unlisted}, pinned: true, opens: 1},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newState(1, 1)
			s.Now = began
			r := add(s, "r", "")
			if c.pinned {
				r.Tokens, r.BrokenAt, r.Version = make([]jaywind.Token, 1), began, "v1"
			}
			r.Tries = 1
			for s.RetryBudgetFor(c.key).CanRetry() && c.key != (table.RetryKey{}) {
				s.RetryBudgetFor(c.key).RecordRetry()
			}
			opens, ends := step(s, began)
			is.Equal(len(opens), c.opens)
			is.Equal(len(ends), c.ends)
		})
	}
}

func TestWaitingRequestIsKeptOnce(t *testing.T) {
	is := is.New(t)
	s := newState(1, 1)
	s.Endpoints["e0"].Leaving = true
	s.Now = began
	r := add(s, "r", "")
	for i := range 20 { // the caller comes back again and again
		step(s, began.Add(time.Duration(i)*tick))
		s.Ready = append(s.Ready, r.ID)
	}
	step(s, began.Add(20*tick))
	is.Equal(len(s.Waiting), 1)
}

// TestResumeWithoutAnEndpoint has the only endpoint leave when it is lost, and perhaps come back.
func TestResumeWithoutAnEndpoint(t *testing.T) {
	const goesOnWithin = 4 * time.Second // the stated target, after a loss
	tests := map[string]struct {
		tokens int
		back   time.Duration // when the endpoint accepts work again; never when 0
		opens  int
		ends   int
	}{
		"never back":                      {tokens: 100, ends: 1},
		"back in time":                    {tokens: 100, back: 3 * time.Second, opens: 1},
		"back too late":                   {tokens: 100, back: 5 * time.Second, ends: 1},
		"back too late for a long prefix": {tokens: table.PrefillRate * 3 / 2, back: 3 * time.Second, ends: 1},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newState(1, 1)
			resume(s, "r", c.tokens)
			s.Ready = []jaywind.RequestID{"r"}
			opened, ended := 0, 0
			var last time.Duration
			for after := time.Duration(0); after <= 12*time.Second; after += tick {
				s.Endpoints["e0"].Leaving = c.back == 0 || after < c.back
				opens, ends := step(s, began.Add(after))
				opened += len(opens)
				ended += len(ends)
				if len(opens)+len(ends) > 0 {
					last = after
				}
			}
			t.Logf("%d opened, %d ended, after %v", opened, ended, last)
			is.Equal(opened, c.opens)
			is.Equal(ended, c.ends)
			is.True(last <= goesOnWithin) // the caller hears tokens or the final word
		})
	}
}
