package step

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"jaywind"
	"jaywind/internal/core/generate"
	"jaywind/internal/core/rule"
	"jaywind/internal/core/table"
)

const (
	firstTarget  = 860 * time.Millisecond
	resumeTarget = 4 * time.Second
	reportPeriod = 500 * time.Millisecond
	fullPeriod   = 20 * time.Millisecond
)

// answer is what a caller has seen of one request.
type answer struct {
	organisation jaywind.Organisation
	arrived      time.Time
	first        time.Time
	last         time.Time
	gap          time.Duration // longest between two tokens
	ended        time.Time
	final        *table.Finish
	ask          table.Ask
	again        bool // whether the caller was refused before
}

func (a *answer) good() bool {
	return a.final != nil && a.final.Outcome == table.OutcomeWhole && a.first.Sub(a.arrived) <= firstTarget
}

// world is one router before modelled engines in virtual time.
type world struct {
	core    Core
	now     time.Time
	start   time.Time
	engines []*engine
	answers map[jaywind.RequestID]*answer
	events  []table.Event
	random  *rand.Rand
	reports bool
	long    int // bytes of the prompts of long generations
	number  int
	returns bool // whether refused callers come back when they were told to
	back    []comeback
}

// newWorld has fleetSize engines; the baseline places at random and admits everything.
func newWorld(naive bool) *world {
	w := newWorldOf(fleetSize)
	if naive {
		w.core.systems = []table.System{Rules{}, generate.Intake{}, generate.Silence{}, random{}}
	}
	return w
}

// newWorldOf has engines spread over four failure domains.
func newWorldOf(engines int) *world {
	w := &world{answers: map[jaywind.RequestID]*answer{}, random: rand.New(rand.NewPCG(7, 7)), reports: true}
	w.now = time.Unix(1e9, 0)
	w.start = w.now
	w.core.State = table.New(1)
	text := "model heat version=v1 # test\n" + noLimits
	for i := range engines {
		e := &engine{id: jaywind.EndpointID(fmt.Sprint("e", i))}
		w.engines = append(w.engines, e)
		text += fmt.Sprintf("endpoint %s model=heat version=v1 url=http://%s domain=d%d # test\n", e.id, e.id, i%4)
	}
	set, findings := rule.Parse("test", text)
	if len(findings) > 0 {
		panic(findings[0])
	}
	w.events = append(w.events, table.Ruled{Version: 1, Set: set})
	return w
}

// run lets callers arrive at a rate by organisation for a time.
func (w *world) run(d time.Duration, rates map[jaywind.Organisation]float64) {
	for end := w.now.Add(d); w.now.Before(end); {
		for _, name := range []jaywind.Organisation{"large", "small"} {
			w.arrive(name, rates[name])
		}
		w.askAgain()
		w.tick()
	}
}

func (w *world) arrive(name jaywind.Organisation, rate float64) {
	for due := rate * modelStep.Seconds(); due > 0; due-- {
		if w.random.Float64() >= due {
			return
		}
		w.number++
		limit, prompt := 60+w.random.IntN(80), 400
		if w.random.IntN(100) < 3 {
			limit, prompt = 1500, max(prompt, w.long)
		}
		w.ask(table.Ask{ID: jaywind.RequestID(fmt.Sprint(w.number)), Listener: 1, Organisation: name, Model: "heat", Prompt: string(make([]byte, prompt)), Limit: limit}, false)
	}
}

// comeback is a caller that was refused.
type comeback struct {
	at  time.Time
	ask table.Ask
}

func (w *world) ask(a table.Ask, again bool) {
	w.answers[a.ID] = &answer{organisation: a.Organisation, arrived: w.now, ask: a, again: again}
	w.events = append(w.events, table.Arrived{Ask: a})
}

// askAgain lets the callers return whose time has come.
func (w *world) askAgain() {
	due := func(b comeback) bool { return !b.at.After(w.now) }
	for _, b := range w.back {
		if due(b) {
			b.ask.ID += "+"
			w.ask(b.ask, true)
		}
	}
	w.back = slices.DeleteFunc(w.back, due)
}

func (w *world) tick() {
	w.now = w.now.Add(modelStep)
	elapsed := w.now.Sub(w.start)
	for _, e := range w.engines {
		w.events = append(w.events, e.step()...)
		if w.reports && elapsed%reportPeriod == 0 {
			w.events = append(w.events, e.report(w.now))
		}
	}
	events := w.events
	w.events = nil
	for _, c := range w.core.Step(w.now, elapsed%fullPeriod == 0, events) {
		w.execute(c)
	}
}

func (w *world) execute(c table.Command) {
	switch c := c.(type) {
	case table.Open:
		if err := w.engine(c.At).open(c.Call); err != nil {
			w.events = append(w.events, table.Lost{Request: c.Call.Request, Attempt: c.Call.Attempt, Err: err})
		}
	case table.Cancel:
		if c.At != "" && !c.KeepWork {
			w.engine(c.At).cancel(c.Request, c.Attempt)
		}
	case table.Probe:
		p, err := w.engine(c.At).progress(c.Request)
		w.events = append(w.events, table.Probed{Request: c.Request, Attempt: c.Attempt, Progress: p, Err: err})
	case table.Deliver:
		w.deliver(w.answers[c.Mark.Request])
	case table.Finish:
		a := w.answers[c.Request]
		a.ended, a.final = w.now, &c
		if w.returns && c.Outcome == table.OutcomeRefused {
			w.back = append(w.back, comeback{at: w.now.Add(c.RetryAfter), ask: a.ask})
		}
	}
}

func (w *world) deliver(a *answer) {
	if a.first.IsZero() {
		a.first = w.now
	} else {
		a.gap = max(a.gap, w.now.Sub(a.last))
	}
	a.last = w.now
}

func (w *world) engine(at jaywind.Address) *engine {
	return w.engines[slices.IndexFunc(w.engines, func(e *engine) bool { return "http://"+string(e.id) == string(at) })]
}

// count returns how many answers asked for from a time on fit.
func (w *world) count(from time.Time, fits func(a *answer) bool) int {
	n := 0
	for _, a := range w.answers {
		if !a.arrived.Before(from) && fits(a) {
			n++
		}
	}
	return n
}

// random is the baseline: it admits everything and places at random.
type random struct{}

func (random) Step(s *table.State) {
	ids := append(s.Ready, s.Queued...)
	s.Ready, s.Queued = nil, nil
	for _, id := range ids {
		r := s.Requests[id]
		if r == nil || r.Phase > table.PhaseReady {
			continue
		}
		e := s.Rules.Endpoints[jaywind.EndpointID(fmt.Sprint("e", s.Random.IntN(len(s.Rules.Endpoints))))]
		r.Version, r.Endpoint, r.Opened, r.Phase = e.Version, e.ID, s.Now, table.PhaseOpening
		r.Attempt++
		s.Emit(table.Open{Endpoint: e.ID, At: e.URL, Call: jaywind.Call{Request: id, Attempt: r.Attempt, Prompt: r.Prompt, Limit: r.Limit, From: r.Position(), Prefix: slices.Clone(r.Tokens)}})
	}
}
