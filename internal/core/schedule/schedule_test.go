package schedule_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/internal/core/schedule"
)

var start = time.Unix(1000, 0)

// endpoints returns engines with keys from 1 on, of 4 slots, in the given failure domains.
func endpoints(domains ...string) (all []schedule.Endpoint) {
	for i, d := range domains {
		all = append(all, schedule.Endpoint{Key: schedule.Key(i + 1), Address: address(i + 1), Domain: jaywind.Domain(d), Slots: 4})
	}
	return all
}

func address(i int) jaywind.Address { return jaywind.Address(fmt.Sprint("a", i)) }

func scheduler(all []schedule.Endpoint) *schedule.Scheduler {
	s := &schedule.Scheduler{Capacity: schedule.Capacity{MemoryTokens: 1000, CopiesMemory: true}}
	s.SetEndpoints(all)
	return s
}

// run is a run that has had its first event.
func run(id string, at, standby, tokens int) schedule.Run {
	return schedule.Run{Request: jaywind.RequestID(id), Organisation: jaywind.Organisation("of " + id), Endpoint: schedule.Key(at), Standby: schedule.Key(standby), Tokens: tokens, Begun: true, Started: start}
}

// prefilling is a run that was sent to an engine at the start and has had no event.
func prefilling(id string, at, tokens, prompt int) schedule.Run {
	r := run(id, at, 0, tokens)
	r.Begun, r.Prefill = false, prompt
	return r
}

// request is a request that arrives at the start.
func request(id string, change func(r *schedule.Request)) schedule.Request {
	r := schedule.Request{
		ID: jaywind.RequestID(id), Router: "vm1", Organisation: jaywind.Organisation("of " + id), Arrived: start,
		Target: 10 * time.Second, Left: 25 * time.Second, Tokens: 100, Prefill: 40, Events: 10,
	}
	if change != nil {
		change(&r)
	}
	return r
}

// TestOrder checks in which order waiting requests are granted, against urgent and resumed work that waits behind other work.
func TestOrder(t *testing.T) {
	type change = func(r *schedule.Request)
	bulk := func(r *schedule.Request) { r.Priority = 2 }
	late := func(r *schedule.Request) { r.Arrived = start.Add(-11 * time.Second) }
	of := func(o jaywind.Organisation) change { return func(r *schedule.Request) { r.Organisation = o } }
	at := func(ms int) change {
		return func(r *schedule.Request) { r.Arrived = start.Add(time.Duration(ms-100) * time.Millisecond) }
	}
	both := func(all ...change) change {
		return func(r *schedule.Request) {
			for _, c := range all {
				c(r)
			}
		}
	}
	resumed := func(r *schedule.Request) { r.Resumed = true }
	tests := map[string]struct {
		asked []change // named a, b, c in the order in which they are asked
		want  string
	}{
		"by arrival":                           {[]change{at(30), at(10), at(20)}, "bca"},
		"urgent before bulk":                   {[]change{both(bulk, at(0)), at(10)}, "ba"},
		"resumed before urgent":                {[]change{at(0), both(resumed, bulk, at(10))}, "ba"},
		"on time before late":                  {[]change{late, at(10)}, "ba"},
		"a late urgent one before bulk":        {[]change{both(bulk, at(0)), late}, "ba"},
		"large organisation behind the others": {[]change{both(of("large"), at(0)), both(of("large"), at(5)), at(10)}, "cab"},
		"large and urgent before bulk":         {[]change{both(bulk, at(0)), both(of("large"), at(10))}, "ba"},
		"large and resumed first":              {[]change{at(0), both(of("large"), resumed, at(10))}, "ba"},
		"large on time before late":            {[]change{late, both(of("large"), at(10))}, "ba"},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			all := endpoints("d1")
			all[0].Slots = 1
			s := scheduler(all)
			r := run("busy", 1, 0, 300)
			r.Organisation = "large"
			s.Report("vm0", schedule.Report{Runs: []schedule.Run{r}}, start)
			for i, change := range c.asked {
				is.Equal(s.Ask(request(string(rune('a'+i)), change), start).Outcome, schedule.Queued)
			}
			// One slot after the other becomes free, while the large organisation keeps most of the work elsewhere.
			r.Endpoint = 99
			s.Report("vm0", schedule.Report{Runs: []schedule.Run{r}}, start)
			got := ""
			for range c.asked {
				granted := s.Dispatch(start)
				is.Equal(len(granted), 1)
				got += string(granted[0].Request)
				s.Report("vm1", schedule.Report{Runs: []schedule.Run{run(string(granted[0].Request), 1, 0, 100)}}, start)
				s.Report("vm1", schedule.Report{}, start)
			}
			is.Equal(got, c.want)
			is.Equal(s.Waiting(), 0)
		})
	}
}

// TestFits checks when a request finds room, against engines that are given more runs, memory or prompts than they can take.
func TestFits(t *testing.T) {
	resumed := func(r *schedule.Request) { r.Resumed = true }
	tokens := func(n int) func(r *schedule.Request) { return func(r *schedule.Request) { r.Tokens = n } }
	full := []schedule.Run{run("1", 1, 0, 10), run("2", 1, 0, 10), run("3", 1, 0, 10), run("4", 1, 0, 10)}
	tests := map[string]struct {
		runs      []schedule.Run // at engine 1, the only one that has room if others is 0
		others    int            // further engines, all excluded
		change    func(r *schedule.Request)
		after     time.Duration
		want      schedule.Outcome
		noCopying bool
	}{
		"empty":                                  {want: schedule.Granted},
		"a slot is left":                         {runs: full[:3], want: schedule.Granted},
		"no slot is left":                        {runs: full, want: schedule.Queued},
		"no slot for resumed ones either":        {runs: full, change: resumed, want: schedule.Queued},
		"memory up to 0.9":                       {runs: []schedule.Run{run("1", 1, 0, 800)}, others: 2, want: schedule.Granted},
		"memory over 0.9":                        {runs: []schedule.Run{run("1", 1, 0, 801)}, others: 2, want: schedule.Queued},
		"copies take memory":                     {runs: []schedule.Run{run("1", 9, 1, 801)}, others: 2, want: schedule.Queued},
		"resumed up to all memory":               {runs: []schedule.Run{run("1", 1, 0, 900)}, change: resumed, want: schedule.Granted},
		"resumed over all memory":                {runs: []schedule.Run{run("1", 1, 0, 901)}, change: resumed, want: schedule.Queued},
		"a prompt is being prefilled":            {runs: []schedule.Run{prefilling("1", 1, 10, 100)}, want: schedule.Queued},
		"it should have ended long ago":          {runs: []schedule.Run{prefilling("1", 1, 10, 100)}, after: time.Second, want: schedule.Granted},
		"a long one may take three times":        {runs: []schedule.Run{prefilling("1", 1, 10, 8000)}, after: 5990 * time.Millisecond, want: schedule.Queued},
		"and not longer":                         {runs: []schedule.Run{prefilling("1", 1, 10, 8000)}, after: 6 * time.Second, want: schedule.Granted},
		"several take three times together":      {runs: []schedule.Run{prefilling("1", 1, 10, 2000), prefilling("2", 1, 10, 2000), prefilling("3", 1, 10, 2000)}, after: 4490 * time.Millisecond, want: schedule.Queued},
		"and not longer than that":               {runs: []schedule.Run{prefilling("1", 1, 10, 2000), prefilling("2", 1, 10, 2000), prefilling("3", 1, 10, 2000)}, after: 4500 * time.Millisecond, want: schedule.Granted},
		"resumed beside one prompt":              {runs: []schedule.Run{prefilling("1", 1, 10, 100)}, change: resumed, want: schedule.Granted},
		"resumed beside two prompts":             {runs: []schedule.Run{prefilling("1", 1, 10, 100), prefilling("2", 1, 10, 100)}, change: resumed, want: schedule.Queued},
		"the bound counts a copy of each run":    {runs: []schedule.Run{run("1", 1, 0, 351)}, want: schedule.Queued},
		"up to the bound":                        {runs: []schedule.Run{run("1", 1, 0, 350)}, want: schedule.Granted},
		"without copies":                         {runs: []schedule.Run{run("1", 1, 0, 800)}, noCopying: true, want: schedule.Granted},
		"resumed beyond the bound":               {runs: []schedule.Run{run("1", 1, 0, 800)}, change: resumed, want: schedule.Granted},
		"runs at engines that are gone count":    {runs: []schedule.Run{run("1", 99, 0, 351)}, want: schedule.Queued},
		"half of the bound is the largest alone": {change: tokens(450), want: schedule.Granted},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			all := endpoints(append([]string{"d1"}, slices.Repeat([]string{"d2"}, c.others)...)...)
			s := scheduler(all)
			s.Capacity.CopiesMemory = !c.noCopying
			now := start.Add(c.after)
			s.Report("vm0", schedule.Report{Runs: c.runs}, now)
			r := request("new", c.change)
			r.Arrived = now
			for _, e := range all[1:] {
				r.Exclude = append(r.Exclude, e.Key)
			}
			is.New(t).Equal(s.Ask(r, now).Outcome, c.want)
		})
	}
}

// TestReserve guards against bulk requests that take all memory, so that the next urgent one has to wait for the end of a run.
func TestReserve(t *testing.T) {
	tests := map[string]struct {
		used     int // tokens of 2,000 for runs and copies, 1,800 of which are the bound
		priority int
		after    time.Duration // since an urgent request
		want     schedule.Outcome
	}{
		"bulk up to 0.9 of the bound":     {used: 710, priority: 2, want: schedule.Granted},
		"not more of it":                  {used: 711, priority: 2, want: schedule.Queued},
		"urgent up to the bound":          {used: 800, want: schedule.Granted},
		"not more of it either":           {used: 801, want: schedule.Queued},
		"bulk alone up to the bound":      {used: 800, priority: 2, after: 10 * time.Second, want: schedule.Granted},
		"no urgent request for some time": {used: 711, priority: 2, after: 9999 * time.Millisecond, want: schedule.Queued},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			s := scheduler(endpoints("a", "b"))
			s.Ask(request("urgent", nil), start)
			s.Leave("urgent")
			now := start.Add(max(c.after, time.Second)) // its grant ends unconfirmed
			s.Report("vm0", schedule.Report{Runs: []schedule.Run{run("1", 1, 0, c.used-300), run("2", 2, 0, 300)}}, now)
			r := request("new", func(r *schedule.Request) { r.Priority, r.Arrived = c.priority, now })
			is.New(t).Equal(s.Ask(r, now).Outcome, c.want)
		})
	}
}

// TestOrderKept guards against small new requests that overtake one for which there is no room, and against one that is kept from certain
// engines holding up all others.
func TestOrderKept(t *testing.T) {
	tests := map[string]struct {
		first   int // tokens
		exclude []schedule.Key
		want    schedule.Outcome // of a second, small request
	}{
		"no room for the first":             {first: 300, want: schedule.Queued},
		"the first may not run at the only": {first: 100, exclude: []schedule.Key{1}, want: schedule.Granted},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := scheduler(endpoints("d1"))
			s.Report("vm0", schedule.Report{Runs: []schedule.Run{run("1", 1, 0, 200)}}, start)
			is.Equal(s.Ask(request("first", func(r *schedule.Request) { r.Tokens, r.Exclude = c.first, c.exclude }), start).Outcome, schedule.Queued)
			is.Equal(s.Ask(request("second", nil), start).Outcome, c.want)
		})
	}
}

// TestPlacement checks which engine and which standby a run gets.
func TestPlacement(t *testing.T) {
	slow := func(i int) schedule.Sample {
		return schedule.Sample{Address: address(i), Event: 60 * time.Millisecond}
	}
	usual := func(i int) schedule.Sample {
		return schedule.Sample{Address: address(i), Event: 30 * time.Millisecond}
	}
	tests := map[string]struct {
		domains string // of the engines, a letter each
		runs    []schedule.Run
		samples []schedule.Sample
		exclude []schedule.Key
		resumed bool
		noCopy  bool
		want    [2]schedule.Key // engine and standby
	}{
		"the first of equals":                  {domains: "ab", want: [2]schedule.Key{1, 2}},
		"not a slow one":                       {domains: "abc", samples: []schedule.Sample{slow(1), usual(2), usual(3)}, want: [2]schedule.Key{2, 3}},
		"a slow one if the others are full":    {domains: "abc", samples: []schedule.Sample{slow(1), usual(2), usual(3)}, runs: []schedule.Run{run("1", 2, 0, 850), run("2", 3, 0, 300)}, exclude: []schedule.Key{3}, want: [2]schedule.Key{1, 0}},
		"fewest runs to delay":                 {domains: "aba", runs: []schedule.Run{run("1", 1, 0, 10), run("2", 2, 0, 10)}, want: [2]schedule.Key{3, 2}},
		"excluded":                             {domains: "ab", exclude: []schedule.Key{1}, want: [2]schedule.Key{2, 0}},
		"resumed goes where none is prefilled": {domains: "ab", resumed: true, runs: []schedule.Run{prefilling("1", 1, 10, 1000)}, want: [2]schedule.Key{2, 1}},
		"standby in another failure domain":    {domains: "aab", want: [2]schedule.Key{1, 3}},
		"standby with the most free memory":    {domains: "abb", runs: []schedule.Run{run("1", 2, 0, 10)}, want: [2]schedule.Key{1, 3}},
		"copies count there":                   {domains: "abb", runs: []schedule.Run{run("1", 9, 2, 10)}, want: [2]schedule.Key{1, 3}},
		"no slow standby":                      {domains: "aabbb", samples: []schedule.Sample{usual(1), usual(2), slow(3), usual(4), usual(5)}, runs: []schedule.Run{run("1", 4, 0, 400), run("2", 5, 0, 500)}, want: [2]schedule.Key{1, 4}},
		"no standby has room":                  {domains: "ab", runs: []schedule.Run{run("1", 2, 0, 801)}, resumed: true, want: [2]schedule.Key{1, 0}},
		"runs without copies":                  {domains: "ab", noCopy: true, want: [2]schedule.Key{1, 0}},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := scheduler(endpoints(splitLetters(c.domains)...))
			s.Capacity.CopiesMemory = !c.noCopy
			s.Report("vm0", schedule.Report{Runs: c.runs, Samples: c.samples}, start)
			s.Report("vm0", schedule.Report{Runs: c.runs, Samples: c.samples}, start.Add(300*time.Millisecond)) // after which the median counts them all
			d := s.Ask(request("new", func(r *schedule.Request) { r.Exclude, r.Resumed = c.exclude, c.resumed }), start.Add(300*time.Millisecond))
			is.Equal(d.Outcome, schedule.Granted)
			is.Equal([2]schedule.Key{d.Endpoint, d.Standby}, c.want)
		})
	}
}

func splitLetters(s string) (all []string) {
	for _, r := range s {
		all = append(all, string(r))
	}
	return all
}

// TestTurns guards against engines of equal load of which always the first is chosen.
func TestTurns(t *testing.T) {
	is := is.New(t)
	s := scheduler(endpoints("a", "b", "c"))
	got := map[schedule.Key]bool{}
	for i := range 3 {
		d := s.Ask(request(fmt.Sprint(i), func(r *schedule.Request) { r.Tokens = 10 }), start)
		got[d.Endpoint] = true
		s.Report("vm1", schedule.Report{Runs: []schedule.Run{run(fmt.Sprint(i), int(d.Endpoint), int(d.Standby), 10)}}, start)
		s.Report("vm1", schedule.Report{}, start)
	}
	is.Equal(len(got), 3)
}

// TestRefusal checks which requests are refused at once, and when their callers may return.
func TestRefusal(t *testing.T) {
	tests := map[string]struct {
		ahead  int // requests of 4,000 prompt tokens that wait, of which an engine is expected to take 0.7 a second
		change func(r *schedule.Request)
		want   schedule.Outcome
	}{
		"a short queue":                        {ahead: 4, want: schedule.Queued},
		"a long queue":                         {ahead: 10, want: schedule.Refused},
		"a long queue, urgent":                 {ahead: 10, change: func(r *schedule.Request) { r.Priority = -1 }, want: schedule.Queued},
		"a long queue, resumed":                {ahead: 10, change: func(r *schedule.Request) { r.Resumed = true }, want: schedule.Queued},
		"a shorter target":                     {ahead: 4, change: func(r *schedule.Request) { r.Target = 4 * time.Second }, want: schedule.Refused},
		"its target less its prefill":          {ahead: 5, change: func(r *schedule.Request) { r.Target = 9400 * time.Millisecond }, want: schedule.Refused},
		"no target, a short queue":             {ahead: 0, change: func(r *schedule.Request) { r.Target = 0 }, want: schedule.Queued},
		"no target, a queue":                   {ahead: 4, change: func(r *schedule.Request) { r.Target = 0 }, want: schedule.Refused},
		"the target is missed already":         {ahead: 0, change: func(r *schedule.Request) { r.Arrived = start.Add(-11 * time.Second) }, want: schedule.Queued},
		"missed already, and a queue":          {ahead: 4, change: func(r *schedule.Request) { r.Arrived = start.Add(-11 * time.Second) }, want: schedule.Refused},
		"a deadline that leaves no time":       {ahead: 0, change: func(r *schedule.Request) { r.Left = time.Second }, want: schedule.TooLate},
		"a deadline that leaves no time to it": {ahead: 4, change: func(r *schedule.Request) { r.Left = 4 * time.Second }, want: schedule.Refused},
		"resumed, close to its deadline":       {ahead: 0, change: func(r *schedule.Request) { r.Resumed, r.Left = true, time.Second }, want: schedule.Queued},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := scheduler(endpoints("a"))
			s.Report("vm0", schedule.Report{Runs: []schedule.Run{run("busy", 1, 0, 901)}}, start)
			for i := range c.ahead {
				is.Equal(s.Ask(request(fmt.Sprintf("a%03d", i), func(r *schedule.Request) { r.Prefill, r.Target = 4000, time.Hour }), start).Outcome, schedule.Queued)
			}
			d := s.Ask(request("new", func(r *schedule.Request) {
				r.Prefill = 4000
				if c.change != nil {
					c.change(r)
				}
			}), start)
			is.Equal(d.Outcome, c.want)
			if c.want == schedule.Refused {
				is.True(d.RetryAfter >= 500*time.Millisecond)
				is.True(d.RetryAfter < 19*time.Second)
				is.Equal(s.Waiting(), c.ahead) // it does not wait any more
			}
		})
	}
}

// TestRetryAfter checks that refused callers are told to return when the queue has room, and not all at the same time.
func TestRetryAfter(t *testing.T) {
	tests := map[string]struct {
		ahead    int
		min, max time.Duration // the wait of the queue less what the request may wait itself, and a quarter more
	}{
		"a little too long": {ahead: 6, min: time.Second, max: 3100 * time.Millisecond},
		"twice too long":    {ahead: 13, min: 11 * time.Second, max: 15600 * time.Millisecond},
		"far too long":      {ahead: 100, min: 15 * time.Second, max: 18750 * time.Millisecond},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := scheduler(endpoints("a"))
			s.Report("vm0", schedule.Report{Runs: []schedule.Run{run("busy", 1, 0, 400)}}, start)
			for i := range c.ahead {
				s.Ask(request(fmt.Sprintf("a%03d", i), func(r *schedule.Request) { r.Prefill, r.Target = 4000, time.Hour }), start)
			}
			seen := map[time.Duration]bool{}
			for i := range 20 {
				d := s.Ask(request(fmt.Sprint("n", i), func(r *schedule.Request) { r.Prefill = 4000 }), start)
				is.Equal(d.Outcome, schedule.Refused)
				is.True(d.RetryAfter >= c.min && d.RetryAfter <= c.max)
				seen[d.RetryAfter] = true
			}
			is.True(len(seen) > 10)
		})
	}
}

// TestWait checks what becomes of a request that waits, against requests that wait for longer than they may and callers that have left.
func TestWait(t *testing.T) {
	tests := map[string]struct {
		asked []int // ms at which its router asks again
		at    int   // ms of the last question or of the dispatch
		leave bool
		want  schedule.Outcome
		stays int // requests in the queue afterwards
	}{
		"it keeps its place":          {asked: []int{400, 800}, at: 1200, want: schedule.Queued, stays: 1},
		"it has waited for too long":  {asked: []int{400, 800, 1200, 1600, 2000, 2400, 2800, 3200, 3600}, at: 4000, want: schedule.Refused},
		"its router no longer asks":   {at: 601, want: -1},
		"its router asks just enough": {at: 600, want: -1, stays: 1},
		"its caller has left":         {leave: true, at: 10, want: -1},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := scheduler(endpoints("a"))
			busy := func(ms int) {
				s.Report("vm0", schedule.Report{Runs: []schedule.Run{run("busy", 1, 0, 400)}}, start.Add(time.Duration(ms)*time.Millisecond))
			}
			r := request("new", func(r *schedule.Request) { r.Target = 4 * time.Second })
			busy(0)
			is.Equal(s.Ask(r, start).Outcome, schedule.Queued)
			if c.leave {
				s.Leave(r.ID)
			}
			for _, ms := range c.asked {
				busy(ms)
				is.Equal(s.Ask(r, start.Add(time.Duration(ms)*time.Millisecond)).Outcome, schedule.Queued)
			}
			busy(c.at)
			now := start.Add(time.Duration(c.at) * time.Millisecond)
			if c.want >= 0 {
				is.Equal(s.Ask(r, now).Outcome, c.want)
			} else {
				is.Equal(len(s.Dispatch(now)), 0)
			}
			is.Equal(s.Waiting(), c.stays)
		})
	}
}

// TestExpiry checks for how long reports and grants count.
func TestExpiry(t *testing.T) {
	ms := func(n int) time.Time { return start.Add(time.Duration(n) * time.Millisecond) }
	one := schedule.Report{Runs: []schedule.Run{run("1", 1, 2, 100)}}
	tests := map[string]struct {
		do          func(s *schedule.Scheduler)
		at          int // ms
		runs, inUse int
	}{
		"a report":                 {func(s *schedule.Scheduler) { s.Report("vm1", one, start) }, 2499, 1, 200},
		"an old report":            {func(s *schedule.Scheduler) { s.Report("vm1", one, start) }, 2500, 0, 0},
		"a new report replaces it": {func(s *schedule.Scheduler) { s.Report("vm1", one, start); s.Report("vm1", schedule.Report{}, ms(10)) }, 20, 0, 0},
		"of two routers":           {func(s *schedule.Scheduler) { s.Report("vm1", one, start); s.Report("vm2", one, start) }, 20, 2, 400},
		"a grant":                  {func(s *schedule.Scheduler) { s.Ask(request("1", nil), start) }, 999, 1, 200},
		"an unconfirmed grant":     {func(s *schedule.Scheduler) { s.Ask(request("1", nil), start) }, 1000, 0, 0},
		"a confirmed grant":        {func(s *schedule.Scheduler) { s.Ask(request("1", nil), start); s.Report("vm1", one, ms(20)) }, 2000, 1, 200},
		"a report without it": {func(s *schedule.Scheduler) {
			s.Ask(request("1", nil), start)
			s.Report("vm1", schedule.Report{}, ms(20))
		}, 500, 1, 200},
		"granted twice": {func(s *schedule.Scheduler) { s.Ask(request("1", nil), start); s.Ask(request("1", nil), ms(10)) }, 20, 1, 200},
		"confirmed and ended": {func(s *schedule.Scheduler) {
			s.Ask(request("1", nil), start)
			s.Report("vm1", one, ms(20))
			s.Report("vm1", schedule.Report{}, ms(30))
		}, 40, 0, 0},
		"reported by another later": {func(s *schedule.Scheduler) { s.Ask(request("1", nil), start); s.Report("vm2", one, ms(20)) }, 40, 1, 200},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := scheduler(endpoints("a", "b"))
			c.do(s)
			sum := s.Summary(ms(c.at))
			is.Equal(s.Runs(), c.runs)
			is.Equal(sum.InUse, c.inUse)
			is.Equal(sum.Rows[0].Held+sum.Rows[1].Held, c.inUse)
		})
	}
}

// TestSpeed checks which factor is learned, and that it ends without new samples.
func TestSpeed(t *testing.T) {
	type sample struct{ atMs, eventMs int } // of the address in question; two others take 30 ms
	tests := map[string]struct {
		samples []sample
		at      int // s
		want    float64
	}{
		"unknown":                            {nil, 0, 1},
		"twice the median":                   {[]sample{{0, 60}}, 0, 2},
		"half the median":                    {[]sample{{0, 15}}, 0, 0.5},
		"moving average":                     {[]sample{{0, 30}, {0, 60}}, 0, 1.4},
		"it holds for 5 s":                   {[]sample{{0, 60}}, 5, 2},
		"then it returns":                    {[]sample{{0, 60}}, 7, 1.6},
		"to 1":                               {[]sample{{0, 60}}, 10, 1},
		"confirmed, it holds for 10 s":       {[]sample{{0, 60}, {0, 60}}, 10, 2},
		"confirmed often, for 60 s":          {[]sample{{0, 60}, {0, 60}, {0, 60}, {0, 60}, {0, 60}, {0, 60}, {0, 60}}, 60, 2},
		"and not longer than 120 s":          {[]sample{{0, 60}, {0, 60}, {0, 60}, {0, 60}, {0, 60}, {0, 60}, {0, 60}}, 120, 1},
		"another speed shortens it again":    {[]sample{{0, 60}, {0, 60}, {0, 60}, {0, 30}}, 10, 1},
		"it is at most 20":                   {[]sample{{0, 6000}}, 0, 20},
		"and at least a twentieth":           {[]sample{{0, 1}}, 0, 0.05},
		"recovery is learned in few samples": {[]sample{{0, 240}, {300, 30}, {600, 30}, {900, 30}, {1200, 30}, {1500, 30}, {1800, 30}, {2100, 30}}, 2, 1.2},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			var s schedule.Speeds
			for i := 2; i < 5; i++ {
				s.Add(schedule.Sample{Address: address(i), Event: 30 * time.Millisecond}, start)
			}
			for _, m := range c.samples {
				s.Add(schedule.Sample{Address: address(1), Event: time.Duration(m.eventMs) * time.Millisecond}, start.Add(time.Duration(m.atMs)*time.Millisecond))
			}
			s.Add(schedule.Sample{Address: address(3)}, start.Add(time.Duration(c.at)*time.Second))
			if got := s.Factor(address(1)); got < c.want-0.01 || got > c.want+0.01 {
				t.Errorf("factor %.3f, want %.3f", got, c.want)
			}
		})
	}
}

// TestSpeedOfNextIncarnation checks that a new incarnation starts with the speed of its address.
func TestSpeedOfNextIncarnation(t *testing.T) {
	is := is.New(t)
	all := endpoints("a", "b", "c")
	s := scheduler(all)
	for i := range 3 {
		s.Report("vm1", schedule.Report{Samples: []schedule.Sample{{Address: address(i + 1), Event: []time.Duration{60, 30, 30}[i] * time.Millisecond}}}, start.Add(time.Duration(i)*time.Second))
	}
	all = slices.Clone(all)
	all[0].Key = 77
	s.SetEndpoints(all)
	is.Equal(s.Summary(start.Add(3 * time.Second)).Rows[0].Factor, 2.0)
}

// TestGrantsWhileAsking guards against grants that are made while another request is asked for and that nobody hears of: their requests
// would wait until their routers ask again, and keep their engines from others meanwhile.
func TestGrantsWhileAsking(t *testing.T) {
	is := is.New(t)
	all := endpoints("a", "b")
	s := scheduler(all)
	busy := schedule.Report{Runs: []schedule.Run{prefilling("1", 1, 10, 100), prefilling("2", 2, 10, 100)}}
	s.Report("vm0", busy, start)
	is.Equal(s.Ask(request("first", nil), start).Outcome, schedule.Queued)
	now := start.Add(time.Second) // the prefills no longer count
	s.Leave("first")
	is.Equal(s.Ask(request("second", nil), now.Add(-500*time.Millisecond)).Outcome, schedule.Queued)
	is.Equal(s.Ask(request("third", nil), now).Outcome, schedule.Granted)
	granted := s.Dispatch(now)
	is.Equal(len(granted), 1)
	is.Equal(granted[0].Request, jaywind.RequestID("second"))
	is.Equal(len(s.Dispatch(now)), 0)
}

// TestFloodBeforeOthers guards against requests that are refused for the queue of an organisation whose requests come after them: their
// expected wait counts those that are granted before them.
func TestFloodBeforeOthers(t *testing.T) {
	is := is.New(t)
	s := scheduler(endpoints("a"))
	r := run("1", 1, 0, 400)
	r.Organisation = "large"
	s.Report("vm0", schedule.Report{Runs: []schedule.Run{r}}, start)
	for i := range 20 {
		s.Ask(request(string(rune('a'+i)), func(r *schedule.Request) {
			r.Organisation, r.Prefill, r.Target, r.Arrived = "large", 4000, time.Hour, start.Add(-time.Second)
		}), start)
	}
	d := s.Ask(request("other", func(r *schedule.Request) { r.Prefill = 4000 }), start)
	is.Equal(d.Outcome, schedule.Queued)
	is.Equal(d.Ahead, 0)
}

// TestOversizedRequest guards against a request that is larger than an engine's memory and keeps all others waiting.
func TestOversizedRequest(t *testing.T) {
	tests := map[string]func(r *schedule.Request){
		"new":     func(r *schedule.Request) { r.Tokens = 5000 },
		"resumed": func(r *schedule.Request) { r.Tokens, r.Resumed = 5000, true },
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			s := scheduler(endpoints("a", "b"))
			s.Report("vm0", schedule.Report{Runs: []schedule.Run{run("1", 1, 0, 200), run("2", 2, 0, 200)}}, start)
			s.Ask(request("oversized", change), start)
			is.New(t).Equal(s.Ask(request("small", nil), start).Outcome, schedule.Granted)
		})
	}
}

// TestOversizedRun checks that a request which is larger than an engine's memory gets an empty engine, and that its run leaves the
// others to new requests.
func TestOversizedRun(t *testing.T) {
	is := is.New(t)
	s := scheduler(endpoints("a", "b", "c", "d"))
	d := s.Ask(request("oversized", func(r *schedule.Request) { r.Tokens = 5000 }), start)
	is.Equal(d.Outcome, schedule.Granted)
	s.Report("vm1", schedule.Report{Runs: []schedule.Run{run("oversized", int(d.Endpoint), int(d.Standby), 5000)}}, start)
	is.Equal(s.Ask(request("small", nil), start).Outcome, schedule.Granted)
}

// TestLargeOrganisation guards against a change of the organisation with most of the work that is missed: its requests come after those of
// another one that arrive later.
func TestLargeOrganisation(t *testing.T) {
	type work map[string]int // tokens of organisations
	tests := map[string]struct {
		reports []work
		want    string // the first request that is granted; large asks before small
	}{
		"by its own runs":             {[]work{{"small": 100}, {"small": 100, "large": 200}}, "small"},
		"as others have ended":        {[]work{{"small": 100, "large": 100, "third": 100}, {"large": 100, "third": 50}}, "small"},
		"as the largest has ended":    {[]work{{"third": 300, "large": 100}, {"large": 100}}, "small"},
		"the largest of many":         {[]work{{"third": 100, "large": 100, "small": 100}}, "large"},
		"half is not most":            {[]work{{"third": 100, "large": 100}}, "large"},
		"no longer, its runs ended":   {[]work{{"large": 300, "third": 50}, {"large": 50, "third": 50}}, "large"},
		"no longer, others have more": {[]work{{"large": 200}, {"large": 200, "third": 200}}, "large"},
		"another one now":             {[]work{{"large": 300}, {"third": 300}}, "large"},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			all := endpoints("a", "b")
			all[0].Slots, all[1].Slots = 1, 0
			s := scheduler(all)
			ask := func(id string) schedule.Request {
				return request(id, func(r *schedule.Request) { r.Organisation = jaywind.Organisation(id) })
			}
			for i, w := range c.reports {
				busy := schedule.Report{Runs: []schedule.Run{run("busy", 1, 0, 0)}}
				for o, tokens := range w {
					r := run("run of "+o, 99, 0, tokens) // at an engine that is about to stop
					r.Organisation = jaywind.Organisation(o)
					busy.Runs = append(busy.Runs, r)
				}
				s.Report("vm1", busy, start)
				if i == 0 { // the queue is looked at in between
					is.Equal(s.Ask(ask("large"), start).Outcome, schedule.Queued)
					is.Equal(s.Ask(ask("small"), start.Add(time.Millisecond)).Outcome, schedule.Queued)
				}
			}
			all[0].Slots = 2
			s.SetEndpoints(all)
			granted := s.Dispatch(start)
			is.Equal(len(granted), 1)
			is.Equal(string(granted[0].Request), c.want)
		})
	}
}
