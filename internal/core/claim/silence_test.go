package claim_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/internal/core/table"
)

// TestLateAnswerCountsForItsEndpoint fails if the answer to an earlier attempt closes the circuit breaker of another endpoint.
func TestLateAnswerCountsForItsEndpoint(t *testing.T) {
	is := is.New(t)
	l := newLookups(2)
	l.answer = func(_ *lookups, e jaywind.EndpointID) (time.Duration, error) {
		if e == "s0" {
			return 600 * time.Millisecond, nil // after the call was sent to s1 as well
		}
		return -1, nil
	}
	l.state.Endpoints["s0"].Failures = 1
	l.state.Endpoints["s1"].Failures = 1
	l.run(1, time.Millisecond, sameOrganisation)
	is.Equal(l.sends, 2)
	is.Equal(l.results[table.ResultReply], 1)
	is.Equal(l.state.Endpoints["s0"].Failures, 0)
	is.Equal(l.state.Endpoints["s1"].Failures, 1)
	is.Equal(l.state.Endpoints["s0"].Inflight, 0)
	is.Equal(l.state.Endpoints["s1"].Inflight, 0)
}

// TestSilentEndpointsAreWaitedFor fails if a call is ended while an endpoint that it was sent to may still answer in time.
func TestSilentEndpointsAreWaitedFor(t *testing.T) {
	const (
		pause = 1200 * time.Millisecond // of an endpoint, which then answers
		never = -1
		slack = 250 * time.Millisecond
	)
	silent := func(after time.Duration) func(*lookups, jaywind.EndpointID) (time.Duration, error) {
		return func(*lookups, jaywind.EndpointID) (time.Duration, error) { return after, nil }
	}
	spendBudget := func(l *lookups) {
		l.state.Retries[table.RetryKey{Organisation: "puebla"}] = &table.RetryBudget{Spent: 10}
	}
	tests := map[string]struct {
		endpoints int
		prepare   func(l *lookups)
		answer    func(*lookups, jaywind.EndpointID) (time.Duration, error)
		want      table.Result
		after     time.Duration // when the call is answered
		sends     int
	}{
		"one endpoint":    {endpoints: 1, answer: silent(pause), want: table.ResultReply, after: pause, sends: 1},
		"two endpoints":   {endpoints: 2, answer: silent(pause), want: table.ResultReply, after: pause, sends: 2},
		"no attempt left": {endpoints: 9, answer: silent(pause), want: table.ResultReply, after: pause, sends: 3},
		"no retry left":   {endpoints: 9, prepare: spendBudget, answer: silent(pause), want: table.ResultReply, after: pause, sends: 1},
		"another refuses": {endpoints: 2, answer: func(_ *lookups, e jaywind.EndpointID) (time.Duration, error) {
			if e == "s1" {
				return 0, jaywind.ErrNotSent
			}
			return pause, nil
		}, want: table.ResultReply, after: pause, sends: 2},
		"the first breaks off": {endpoints: 2, answer: func(_ *lookups, e jaywind.EndpointID) (time.Duration, error) {
			if e == "s0" {
				return pause, errConnectionLost
			}
			return pause, nil
		}, want: table.ResultReply, after: pause + 300*time.Millisecond, sends: 2},
		"all break off": {endpoints: 2, answer: func(*lookups, jaywind.EndpointID) (time.Duration, error) {
			return pause, errConnectionLost
		}, want: table.ResultFailed, after: pause + 300*time.Millisecond, sends: 2},
		"another one comes": {endpoints: 2, prepare: func(l *lookups) {
			l.state.Endpoints["s1"].Leaving = true
			l.replies = append(l.replies, action{at: pause, run: func() { l.state.Endpoints["s1"].Leaving = false }})
		}, answer: func(_ *lookups, e jaywind.EndpointID) (time.Duration, error) {
			if e == "s1" {
				return 0, nil
			}
			return never, nil
		}, want: table.ResultReply, after: pause, sends: 2},
		"never answers": {endpoints: 2, answer: silent(never), want: table.ResultFailed, after: lookupDeadline, sends: 2},
		"refuses": {endpoints: 1, answer: func(*lookups, jaywind.EndpointID) (time.Duration, error) {
			return 0, jaywind.ErrNotSent
		}, want: table.ResultFailed, sends: 1},
		"can't be served": {endpoints: 1, prepare: func(l *lookups) { l.state.Endpoints["s0"].Leaving = true }, want: table.ResultNotRun},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := newLookups(c.endpoints)
			l.answer = c.answer
			if c.prepare != nil {
				c.prepare(l)
			}
			l.run(1, time.Millisecond, sameOrganisation)
			t.Logf("%v after %v, %d sends", l.results, l.took, l.sends)
			is.Equal(l.results, map[table.Result]int{c.want: 1})
			is.Equal(l.sends, c.sends)
			is.True(l.took[0] >= c.after && l.took[0] <= c.after+slack)
			is.Equal(len(l.state.Calls), 0)
			for _, e := range l.state.Endpoints {
				is.Equal(e.Inflight, 0)
			}
		})
	}
}

// TestAttemptsEndWithTheirCaller fails if an attempt stays open at its endpoint after the caller of the call has gone.
func TestAttemptsEndWithTheirCaller(t *testing.T) {
	is := is.New(t)
	l := newLookups(2)
	l.answer = func(*lookups, jaywind.EndpointID) (time.Duration, error) { return -1, nil }
	l.replies = []action{{at: time.Second, run: func() { l.step(false, table.ServiceCallerGone{Request: "0"}) }}}
	l.run(1, time.Millisecond, sameOrganisation)
	is.Equal(l.sends, 2)
	is.Equal(len(l.state.Calls), 0)
	is.Equal(l.state.Endpoints["s0"].Inflight, 0)
	is.Equal(l.state.Endpoints["s1"].Inflight, 0)
}
