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

// answer is what a caller has received for one request.
type answer struct {
	organisation jaywind.Organisation
	arrived      time.Time
	first        time.Time
	last         time.Time
	gap          time.Duration // longest time between two tokens
	ended        time.Time
	final        *table.FinishRequest
	request      table.GenerationRequest
	isRetry      bool // whether the request is a retry after a refusal
}

// inTime tells whether the answer is complete and its first token met the target.
func (a *answer) inTime() bool {
	return a.final != nil && a.final.Outcome == table.OutcomeCompleted && a.first.Sub(a.arrived) <= firstTarget
}

// simulation is a router with simulated engines and callers, in virtual time.
type simulation struct {
	core            Core
	now             time.Time
	start           time.Time
	engines         []*engine
	answers         map[jaywind.RequestID]*answer
	events          []table.Event
	random          *rand.Rand
	reports         bool // whether engines report their load
	longPromptBytes int  // prompt size of long generations
	number          int  // id of the last new request
	retryRefused    bool // whether refused callers retry after the delay that they were given
	retries         []retry
}

// newSimulation has fleetSize engines. The baseline admits every request and places it at random.
func newSimulation(baseline bool) *simulation {
	sim := newSimulationOf(fleetSize)
	if baseline {
		sim.core.systems = []table.System{Rules{}, generate.EventHandler{}, generate.SilenceDetector{}, randomPlacement{}}
	}
	return sim
}

// newSimulationOf has that many engines, spread over four failure domains.
func newSimulationOf(engines int) *simulation {
	sim := &simulation{answers: map[jaywind.RequestID]*answer{}, random: rand.New(rand.NewPCG(7, 7)), reports: true}
	sim.now = time.Unix(1e9, 0)
	sim.start = sim.now
	sim.core.State = table.New(1)
	text := "model heat version=v1 # test\n" + noLimits
	for i := range engines {
		e := &engine{id: jaywind.EndpointID(fmt.Sprint("e", i))}
		sim.engines = append(sim.engines, e)
		text += fmt.Sprintf("endpoint %s model=heat version=v1 url=http://%s domain=d%d # test\n", e.id, e.id, i%4)
	}
	set, findings := rule.Parse("test", text)
	if len(findings) > 0 {
		panic(findings[0])
	}
	sim.events = append(sim.events, table.RulesReceived{Version: 1, Set: set})
	return sim
}

// run simulates a period in which each organisation sends requests at its rate, per second.
func (sim *simulation) run(d time.Duration, rates map[jaywind.Organisation]float64) {
	for end := sim.now.Add(d); sim.now.Before(end); {
		for _, name := range []jaywind.Organisation{"large", "small"} {
			sim.submitNew(name, rates[name])
		}
		sim.submitRetries()
		sim.tick()
	}
}

// submitNew submits the requests of an organisation for one step: 97% with a short prompt and answer, 3% with long ones.
func (sim *simulation) submitNew(name jaywind.Organisation, rate float64) {
	for due := rate * simulationStep.Seconds(); due > 0; due-- {
		if sim.random.Float64() >= due {
			return
		}
		sim.number++
		limit, prompt := 60+sim.random.IntN(80), 400
		if sim.random.IntN(100) < 3 {
			limit, prompt = 1500, max(prompt, sim.longPromptBytes)
		}
		sim.submit(table.GenerationRequest{ID: jaywind.RequestID(fmt.Sprint(sim.number)), Listener: 1, Organisation: name, Model: "heat", Prompt: string(make([]byte, prompt)), MaxTokens: limit}, false)
	}
}

// retry is a refused request that is sent again.
type retry struct {
	at      time.Time
	request table.GenerationRequest
}

func (sim *simulation) submit(a table.GenerationRequest, isRetry bool) {
	sim.answers[a.ID] = &answer{organisation: a.Organisation, arrived: sim.now, request: a, isRetry: isRetry}
	sim.events = append(sim.events, table.RequestArrived{Request: a})
}

// submitRetries submits the retries that are due.
func (sim *simulation) submitRetries() {
	due := func(r retry) bool { return !r.at.After(sim.now) }
	for _, r := range sim.retries {
		if due(r) {
			r.request.ID += "+"
			sim.submit(r.request, true)
		}
	}
	sim.retries = slices.DeleteFunc(sim.retries, due)
}

func (sim *simulation) tick() {
	sim.now = sim.now.Add(simulationStep)
	elapsed := sim.now.Sub(sim.start)
	for _, e := range sim.engines {
		sim.events = append(sim.events, e.step()...)
		if sim.reports && elapsed%reportPeriod == 0 {
			sim.events = append(sim.events, e.report(sim.now))
		}
	}
	events := sim.events
	sim.events = nil
	for _, c := range sim.core.Step(sim.now, elapsed%fullPeriod == 0, events) {
		sim.execute(c)
	}
}

func (sim *simulation) execute(c table.Command) {
	switch c := c.(type) {
	case table.OpenStream:
		if err := sim.engine(c.Address).open(c.Call); err != nil {
			sim.events = append(sim.events, table.StreamLost{Request: c.Call.Request, Attempt: c.Call.Attempt, Err: err})
		}
	case table.CancelAttempt:
		if c.Address != "" && !c.KeepWork {
			sim.engine(c.Address).cancel(c.Request, c.Attempt)
		}
	case table.ProbeProgress:
		p, err := sim.engine(c.Address).progress(c.Request)
		sim.events = append(sim.events, table.ProbeAnswered{Request: c.Request, Attempt: c.Attempt, Progress: p, Err: err})
	case table.DeliverToken:
		sim.deliver(sim.answers[c.Bookmark.Request])
	case table.FinishRequest:
		a := sim.answers[c.Request]
		a.ended, a.final = sim.now, &c
		if sim.retryRefused && c.Outcome == table.OutcomeRefused {
			sim.retries = append(sim.retries, retry{at: sim.now.Add(c.RetryAfter), request: a.request})
		}
	}
}

func (sim *simulation) deliver(a *answer) {
	if a.first.IsZero() {
		a.first = sim.now
	} else {
		a.gap = max(a.gap, sim.now.Sub(a.last))
	}
	a.last = sim.now
}

func (sim *simulation) engine(at jaywind.Address) *engine {
	return sim.engines[slices.IndexFunc(sim.engines, func(e *engine) bool { return "http://"+string(e.id) == string(at) })]
}

// count returns how many answers to requests since a time match.
func (sim *simulation) count(from time.Time, matches func(a *answer) bool) int {
	n := 0
	for _, a := range sim.answers {
		if !a.arrived.Before(from) && matches(a) {
			n++
		}
	}
	return n
}

// randomPlacement is the baseline: it admits every request and places it at random.
type randomPlacement struct{}

func (randomPlacement) Step(s *table.State) {
	ids := append(s.Ready, s.Queued...)
	s.Ready, s.Queued = nil, nil
	for _, id := range ids {
		r := s.Requests[id]
		if r == nil || r.Phase > table.PhaseReady {
			continue
		}
		e := s.Rules.Endpoints[jaywind.EndpointID(fmt.Sprint("e", s.Random.IntN(len(s.Rules.Endpoints))))]
		r.Version, r.Endpoint, r.OpenedAt, r.Phase = e.Version, e.ID, s.Now, table.PhaseOpening
		r.Attempt++
		s.Emit(table.OpenStream{Endpoint: e.ID, Address: e.URL, Call: jaywind.Call{Request: id, Attempt: r.Attempt, Prompt: r.Prompt, MaxTokens: r.MaxTokens, Position: r.Position(), Prefix: slices.Clone(r.Tokens)}})
	}
}
