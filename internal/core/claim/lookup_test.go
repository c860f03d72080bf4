package claim_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/internal/core/claim"
	"jaywind/internal/core/rule"
	"jaywind/internal/core/table"
)

const (
	lookupTick     = 20 * time.Millisecond
	lookupDeadline = 3 * time.Second
)

// lookups drives idempotent calls through one router before some endpoints.
type lookups struct {
	system  claim.Claim
	state   *table.State
	random  *rand.Rand
	now     time.Duration
	answer  func(l *lookups, e jaywind.EndpointID) (time.Duration, error) // below 0 for never
	replies []action
	began   map[jaywind.RequestID]time.Duration
	results map[table.Result]int
	took    []time.Duration
	sends   int
}

func newLookups(endpoints int) *lookups {
	l := &lookups{
		state: table.New(1), random: rand.New(rand.NewPCG(1, 2)),
		began: map[jaywind.RequestID]time.Duration{}, results: map[table.Result]int{},
	}
	text := ""
	for i := range endpoints {
		text += fmt.Sprintf("endpoint s%d kind=service service=quotes url=http://127.0.0.1:%d domain=a # test\n", i, i+1)
		id := jaywind.EndpointID(fmt.Sprint("s", i))
		l.state.Endpoints[id] = &table.Endpoint{ID: id}
	}
	l.state.Rules, _ = rule.Parse("test", text)
	return l
}

func (l *lookups) step(full bool, events ...table.Event) {
	l.state.BeginTick(epoch.Add(l.now), full, events)
	l.system.Step(l.state)
	for _, c := range l.state.TakeCommands() {
		switch c := c.(type) {
		case table.SendCall:
			l.sends++
			if after, err := l.answer(l, c.Endpoint); after >= 0 {
				e := table.ServiceReplied{Request: c.Request, Try: c.Try, Reply: jaywind.Reply{Status: 200}, Err: err}
				l.replies = append(l.replies, action{at: l.now + after, run: func() { l.step(false, e) }})
			}
		case table.Respond:
			l.results[c.Result]++
			l.took = append(l.took, l.now-l.began[c.Request])
		}
	}
}

// run makes calls at an even pace and waits for the last of them.
func (l *lookups) run(count int, pace time.Duration, organisation func(i int) jaywind.Organisation) {
	end := time.Duration(count)*pace + 2*lookupDeadline
	made := 0
	for ; l.now < end; l.now += time.Millisecond {
		for made < count && l.now >= time.Duration(made)*pace {
			id := jaywind.RequestID(fmt.Sprint(made))
			l.began[id] = l.now
			l.step(false, table.ServiceArrived{Request: table.CallRequest{
				ID: id, Service: "quotes", Organisation: organisation(made),
				HTTP: jaywind.ServiceRequest{Method: "GET", Path: "/quotes"}, Deadline: epoch.Add(l.now + lookupDeadline),
			}})
			made++
		}
		due := l.replies
		l.replies = nil
		for _, a := range due {
			if a.at > l.now {
				l.replies = append(l.replies, a)
				continue
			}
			a.run()
		}
		if l.now%lookupTick == 0 {
			l.step(true)
		}
	}
	slices.Sort(l.took)
}

func (l *lookups) quantile(q float64) time.Duration {
	return l.took[int(q*float64(len(l.took)-1))]
}

func oneOrganisation(int) jaywind.Organisation { return "puebla" }

// quick answers in 5 to 15 ms, and 1 in 100 times after half a second.
func quick(l *lookups, _ jaywind.EndpointID) (time.Duration, error) {
	if l.random.IntN(100) == 0 {
		return 500 * time.Millisecond, nil
	}
	return time.Duration(5+l.random.IntN(10)) * time.Millisecond, nil
}

func onlyFirst(fault func() (time.Duration, error)) func(*lookups, jaywind.EndpointID) (time.Duration, error) {
	return func(l *lookups, e jaywind.EndpointID) (time.Duration, error) {
		if e == "s0" {
			return fault()
		}
		return 10 * time.Millisecond, nil
	}
}

// TestLookups holds that a lookup is answered through the fault of one endpoint, and retries stay in the budget.
func TestLookups(t *testing.T) {
	const count = 500
	tests := map[string]struct {
		answer func(*lookups, jaywind.EndpointID) (time.Duration, error)
		whole  bool // every call is answered
	}{
		"one refuses":    {onlyFirst(func() (time.Duration, error) { return 0, jaywind.ErrNotSent }), true},
		"one cuts":       {onlyFirst(func() (time.Duration, error) { return 5 * time.Millisecond, errCut }), true},
		"one is silent":  {onlyFirst(func() (time.Duration, error) { return -1, nil }), true},
		"one is slow":    {onlyFirst(func() (time.Duration, error) { return 2 * time.Second, nil }), true},
		"some are slow":  {quick, true},
		"all are silent": {func(*lookups, jaywind.EndpointID) (time.Duration, error) { return -1, nil }, false},
		"all refuse":     {func(*lookups, jaywind.EndpointID) (time.Duration, error) { return 0, jaywind.ErrNotSent }, false},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := newLookups(3)
			l.answer = c.answer
			l.run(count, 10*time.Millisecond, oneOrganisation)
			t.Logf("p50 %v, p95 %v, p99 %v, most %v, %d sends", l.quantile(0.5), l.quantile(0.95), l.quantile(0.99), l.quantile(1), l.sends)
			is.Equal(len(l.took), count) // each call has one final answer
			is.True(!c.whole || l.results[table.ResultReply] == count)
			is.True(l.quantile(1) <= lookupDeadline+lookupTick)
			is.True(float64(l.sends-count) <= 0.1*count+10) // the retry budget
			is.Equal(len(l.state.Calls), 0)
		})
	}
}

// TestRetryBudgetIsEachOrganisations holds that one organisation's retries don't use up another's.
func TestRetryBudgetIsEachOrganisations(t *testing.T) {
	is := is.New(t)
	l := newLookups(2)
	l.answer = func(l *lookups, _ jaywind.EndpointID) (time.Duration, error) { return 0, errCut }
	l.run(100, time.Millisecond, oneOrganisation)
	for id := range l.state.Endpoints {
		delete(l.state.Retries, table.RetryKey{Endpoint: id})
	}
	before := l.sends
	l.answer = func(l *lookups, _ jaywind.EndpointID) (time.Duration, error) {
		if l.sends == before+1 {
			return 0, errCut
		}
		return 0, nil
	}
	l.now, l.began = 0, map[jaywind.RequestID]time.Duration{}
	l.run(1, time.Millisecond, func(int) jaywind.Organisation { return "lagos" })
	is.Equal(l.results[table.ResultReply], 1)
}

// BenchmarkLookup tells what a second endpoint that is asked early does to the tail of lookups, and what it costs.
func BenchmarkLookup(b *testing.B) {
	for _, patience := range []float64{1, 2, 4, 1e6} {
		b.Run(fmt.Sprint(patience), func(b *testing.B) {
			l := newLookups(3)
			l.system.Patience = patience
			l.answer = quick
			l.run(b.N, 2*time.Millisecond, oneOrganisation)
			b.ReportMetric(float64(l.quantile(0.5).Milliseconds()), "p50ms")
			b.ReportMetric(float64(l.quantile(0.95).Milliseconds()), "p95ms")
			b.ReportMetric(float64(l.quantile(0.99).Milliseconds()), "p99ms")
			b.ReportMetric(float64(l.quantile(0.999).Milliseconds()), "p99.9ms")
			b.ReportMetric(100*float64(l.sends-b.N)/float64(b.N), "extra%")
		})
	}
}
