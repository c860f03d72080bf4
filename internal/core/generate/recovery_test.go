package generate_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/internal/core/generate"
	"jaywind/internal/core/table"
)

// TestBudgetFitsTheTarget checks that the limits add up to less than the target on each way to another
// engine.
func TestBudgetFitsTheTarget(t *testing.T) {
	const fullTick = 20 * time.Millisecond
	tests := map[string]time.Duration{
		"silent engine":  generate.MaxSilence + fullTick + generate.ProbeTimeout + generate.PlacementTime + generate.FirstTokenTime,
		"stalled engine": generate.EngineStallTimeout + generate.ProbeInterval + fullTick + generate.ProbeTimeout + generate.PlacementTime + generate.FirstTokenTime,
		"stuck stream":   generate.StreamStallTimeout + fullTick + generate.PlacementTime + generate.FirstTokenTime,
		"unsent stream": generate.MaxSilence + fullTick + generate.ProbeTimeout + generate.PlacementTime +
			generate.ReopenTimeout + fullTick + generate.PlacementTime + generate.FirstTokenTime,
		"lost probe": generate.MaxSilence + 2*(fullTick+generate.ProbeTimeout) + generate.PlacementTime + generate.FirstTokenTime,
	}
	for name, sum := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).True(sum < generate.ResumeTarget)
		})
	}
}

// startLongAnswers starts n long answers and runs until all have some tokens.
func startLongAnswers(sim *simulation, n int) {
	sim.limit = longAnswerTokens
	for i := range n {
		sim.connect(jaywind.RequestID(fmt.Sprintf("r%d", i+1)), 0, false)
	}
	for range 100 {
		sim.tick()
	}
}

// countOn counts the requests with an attempt at an endpoint of the first router.
func countOn(sim *simulation, id jaywind.EndpointID) int {
	n := 0
	for _, r := range sim.routers[0].core.State.Requests {
		if r.Endpoint == id && r.Phase != table.PhaseReady {
			n++
		}
	}
	return n
}

// TestDeadEngineLosesAllStreamsAtOnce checks that all streams leave an engine that has stopped answering,
// and that one dead connection with a lost probe does not count as a dead engine.
func TestDeadEngineLosesAllStreamsAtOnce(t *testing.T) {
	tests := map[string]struct {
		inject func(c *conn)
		moved  bool // all streams leave the engine, and its breaker opens
	}{
		"silent engine":         {inject: func(c *conn) { c.engine.muteUntil = time.Unix(1<<40, 0) }, moved: true},
		"one silent connection": {inject: func(c *conn) { c.mute = true; c.engine.probesToDrop = 1 }},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(t, 1)
			startLongAnswers(sim, 30)
			e := sim.current().engine
			before := countOn(sim, e.id)
			is.True(before > 3)
			c.inject(sim.current())
			state := sim.routers[0].core.State
			for countOn(sim, e.id) == before && sim.now.Sub(sim.callers["r1"].last) < generate.ResumeTarget {
				sim.tick()
			}
			if c.moved {
				is.Equal(countOn(sim, e.id), 0)
				is.True(state.Endpoints[e.id].Breaker.Open(sim.now))
				return
			}
			is.Equal(countOn(sim, e.id), before-1)
			is.True(!state.Endpoints[e.id].Breaker.Open(sim.now))
		})
	}
}

func TestGenerationThatCannotGoOnIsEndedAtOnce(t *testing.T) {
	tests := map[string]struct {
		inject func(sim *simulation, c *conn)
		within time.Duration
	}{
		"no replica of the version is left": {
			inject: func(sim *simulation, c *conn) {
				sim.applyRules(2)
				faults["engine dies with reset"](sim, c)
			},
			within: 100 * time.Millisecond,
		},
		"end has another digest": {
			inject: func(_ *simulation, c *conn) {
				c.tamper = func(f jaywind.Frame) []jaywind.Frame {
					return []jaywind.Frame{modified(f, func(f *jaywind.Frame) { f.End = true; f.Digest++ })}
				}
			},
			within: 100 * time.Millisecond,
		},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(t, 1)
			sim.connect("r1", 0, false)
			for len(sim.callers["r1"].tokens) < answerTokens/2 {
				sim.tick()
			}
			injectedAt := sim.now
			c.inject(sim, sim.current())
			for len(sim.callers["r1"].finishes) == 0 && sim.now.Sub(injectedAt) < generate.ResumeTarget {
				sim.tick()
			}
			is.Equal(len(sim.callers["r1"].finishes), 1)
			is.Equal(sim.callers["r1"].finishes[0].Outcome, table.OutcomeFailed)
			is.True(sim.callers["r1"].finishes[0].RetryAfter > 0)
			is.True(sim.now.Sub(injectedAt) <= c.within)
			is.Equal(sim.routers[0].core.State.Endpoints[sim.current().engine.id].Inflight, 0)
		})
	}
}

func TestWorkForAGoneCallerIsKeptForAWhile(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 1)
	sim.connect("r1", 0, false)
	for len(sim.callers["r1"].tokens) < 2 {
		sim.tick()
	}
	e := sim.current().engine
	e.gap = time.Second
	sim.disconnectR1()
	gone := sim.now
	for sim.now.Sub(gone) < generate.DisconnectGrace {
		is.True(e.runs[workOf("r1", 1)] != nil)
		sim.tick()
	}
	for range 2 * fullTickEvery {
		sim.tick()
	}
	is.True(e.runs[workOf("r1", 1)] == nil)
	is.Equal(len(sim.routers[0].core.State.Requests), 0)
}

// TestStalledEngine checks that a stalled stream leaves an engine that answers probes only if no other stream
// of the engine goes on; otherwise it waits longer.
func TestStalledEngine(t *testing.T) {
	tests := map[string]struct {
		others int // streams of the same engine that go on
		moves  bool
	}{
		"none goes on": {others: 0, moves: true},
		"others go on": {others: 30},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 1)
			startLongAnswers(sim, 1+c.others)
			stalled := sim.current()
			stalled.run.next = sim.now.Add(time.Hour)
			start := sim.now
			for sim.now.Sub(start) < generate.EngineStallTimeout+generate.ProbeInterval+generate.ProbeTimeout {
				sim.tick()
			}
			is.New(t).Equal(sim.current() != stalled, c.moves)
		})
	}
}

// TestOvertakenWorkLeaves checks that a request without a first token leaves an engine that answers probes
// once the engine has served later work that is not more urgent. Work that is merely waiting for earlier or more
// urgent work must stay.
func TestOvertakenWorkLeaves(t *testing.T) {
	tests := map[string]struct {
		earlier bool // the other work began earlier
		urgent  jaywind.Priority
		moves   bool
	}{
		"work that began later goes on":  {moves: true},
		"work that began before goes on": {earlier: true},
		"more urgent work goes on":       {urgent: 1},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 1)
			sim.otherPriority = c.urgent
			if c.earlier {
				sim.addOtherCallers(&conn{})
				sim.run(prefill + 10*tokenGap)
			}
			sim.connect("r1", 0, false)
			sim.run(2 * tick)
			stuck := sim.current()
			stuck.run.stuck = true
			sim.addOtherCallers(stuck)
			sim.run(generate.StreamStallTimeout + generate.ProbeInterval)
			is.New(t).Equal(sim.current() != stuck, c.moves)
		})
	}
}

// TestSlowEngineIsLeftInTime injects faults into an engine that is so slow that its silence limit is at its
// upper bound, while the prefill on other engines takes as long as the target allows.
func TestSlowEngineIsLeftInTime(t *testing.T) {
	for _, fault := range []string{
		"engine dies with reset", "engine dies in silence", "connection goes silent", "silent and probe lost",
		"engine stuck on one stream", "engine makes one stream and sends nothing of it",
	} {
		t.Run(fault, func(t *testing.T) {
			sim := newSimulation(t, 1)
			for _, e := range sim.engines {
				e.gap = generate.MaxSilence / 3
			}
			sim.connect("r1", 0, false)
			sim.addOtherCallers(&conn{})
			injected := false
			runToEnd(sim, func() {
				if !injected && len(sim.callers["r1"].tokens) == answerTokens/2 {
					injected = true
					sim.prefill = generate.FirstTokenTime
					faults[fault](sim, sim.current())
				}
			})
			is.New(t).True(injected)
			checkAnswer(t, sim, generate.ResumeTarget)
		})
	}
}

// TestAnotherRequestMayNotTakeOverAnAnswer sends another request with the id of a running one.
func TestAnotherRequestMayNotTakeOverAnAnswer(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 1)
	sim.connect("r1", 0, false)
	for len(sim.callers["r1"].tokens) < 2 {
		sim.tick()
	}
	ask := table.GenerationRequest{ID: "r1", Model: "heat", Prompt: "another", MaxTokens: answerTokens, Listener: 99}
	var refused []table.FinishRequest
	for _, c := range sim.routers[0].core.Step(sim.now, false, []table.Event{table.RequestArrived{Request: ask}}) {
		if f, ok := c.(table.FinishRequest); ok {
			refused = append(refused, f)
		}
	}
	is.Equal(len(refused), 1)
	is.Equal(refused[0].Listener, table.Listener(99))
	is.Equal(refused[0].Outcome, table.OutcomeBookmarkMismatch)
	runToEnd(sim, func() {})
	checkAnswer(t, sim, generate.ResumeTarget)
}
