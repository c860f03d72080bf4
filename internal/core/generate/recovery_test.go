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

func TestBudgetFitsTheTarget(t *testing.T) {
	const tick = 20 * time.Millisecond
	tests := map[string]time.Duration{
		"silent engine":  generate.SilenceCap + tick + generate.ProbeLimit + generate.PlaceLimit + generate.FirstLimit,
		"stalled engine": generate.StallLimit + generate.ProbeWait + tick + generate.ProbeLimit + generate.PlaceLimit + generate.FirstLimit,
		"stuck stream":   generate.StuckLimit + tick + generate.PlaceLimit + generate.FirstLimit,
		"unsent stream": generate.SilenceCap + tick + generate.ProbeLimit + generate.PlaceLimit +
			generate.ReopenLimit + tick + generate.PlaceLimit + generate.FirstLimit,
		"lost probe": generate.SilenceCap + 2*(tick+generate.ProbeLimit) + generate.PlaceLimit + generate.FirstLimit,
	}
	for name, sum := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).True(sum < generate.ResumeTarget)
		})
	}
}

// crowd opens n long answers and runs until all have some tokens.
func crowd(w *world, n int) {
	w.limit = crowdLimit
	for i := range n {
		w.ask(jaywind.RequestID(fmt.Sprintf("r%d", i+1)), 0, false)
	}
	for range 100 {
		w.beat()
	}
}

func on(w *world, id jaywind.EndpointID) int {
	n := 0
	for _, r := range w.routers[0].core.State.Requests {
		if r.Endpoint == id && r.Phase != table.PhaseReady {
			n++
		}
	}
	return n
}

func TestDeadEngineLosesAllStreamsAtOnce(t *testing.T) {
	tests := map[string]struct {
		strike func(c *conn)
		moved  bool // all streams, and the breaker is open
	}{
		"silent engine":         {strike: func(c *conn) { c.engine.muteTill = time.Unix(1<<40, 0) }, moved: true},
		"one silent connection": {strike: func(c *conn) { c.mute = true; c.engine.deaf = 1 }},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, 1)
			crowd(w, 30)
			e := w.current().engine
			before := on(w, e.id)
			is.True(before > 3)
			c.strike(w.current())
			state := w.routers[0].core.State
			for on(w, e.id) == before && w.now.Sub(w.callers["r1"].last) < generate.ResumeTarget {
				w.beat()
			}
			if c.moved {
				is.Equal(on(w, e.id), 0)
				is.True(state.Endpoints[e.id].Breaker.Open(w.now))
				return
			}
			is.Equal(on(w, e.id), before-1)
			is.True(!state.Endpoints[e.id].Breaker.Open(w.now))
		})
	}
}

func TestGenerationThatCannotGoOnIsEndedAtOnce(t *testing.T) {
	tests := map[string]struct {
		strike func(w *world, c *conn)
		within time.Duration
	}{
		"no replica of the version is left": {
			strike: func(w *world, c *conn) {
				w.rule(2)
				faults["engine dies with reset"](w, c)
			},
			within: 100 * time.Millisecond,
		},
		"end has another digest": {
			strike: func(_ *world, c *conn) {
				c.tamper = func(f jaywind.Frame) []jaywind.Frame {
					return []jaywind.Frame{altered(f, func(f *jaywind.Frame) { f.End = true; f.Digest++ })}
				}
			},
			within: 100 * time.Millisecond,
		},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, 1)
			w.ask("r1", 0, false)
			for len(w.callers["r1"].tokens) < wholeLimit/2 {
				w.beat()
			}
			struck := w.now
			c.strike(w, w.current())
			for len(w.callers["r1"].finals) == 0 && w.now.Sub(struck) < generate.ResumeTarget {
				w.beat()
			}
			is.Equal(len(w.callers["r1"].finals), 1)
			is.Equal(w.callers["r1"].finals[0].Outcome, table.OutcomeFailed)
			is.True(w.callers["r1"].finals[0].RetryAfter > 0)
			is.True(w.now.Sub(struck) <= c.within)
			is.Equal(w.routers[0].core.State.Endpoints[w.current().engine.id].Inflight, 0)
		})
	}
}

func TestWorkForAGoneCallerIsKeptForAWhile(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1)
	w.ask("r1", 0, false)
	for len(w.callers["r1"].tokens) < 2 {
		w.beat()
	}
	e := w.current().engine
	e.gap = time.Second
	w.leave()
	gone := w.now
	for w.now.Sub(gone) < generate.GoneLimit {
		is.True(e.runs[work("r1", 1)] != nil)
		w.beat()
	}
	for range 2 * fullEvery {
		w.beat()
	}
	is.True(e.runs[work("r1", 1)] == nil)
	is.Equal(len(w.routers[0].core.State.Requests), 0)
}

// TestStalledEngine counts endpoints left while an engine answers probes but is slow for a while.
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
			w := newWorld(t, 1)
			crowd(w, 1+c.others)
			stalled := w.current()
			stalled.run.next = w.now.Add(time.Hour)
			start := w.now
			for w.now.Sub(start) < generate.StallLimit+generate.ProbeWait+generate.ProbeLimit {
				w.beat()
			}
			is.New(t).Equal(w.current() != stalled, c.moves)
		})
	}
}

// TestOvertakenWorkLeaves has an engine that answers probes give no first token.
func TestOvertakenWorkLeaves(t *testing.T) {
	tests := map[string]struct {
		earlier bool // the other work began before
		urgent  jaywind.Priority
		moves   bool
	}{
		"work that began later goes on":  {moves: true},
		"work that began before goes on": {earlier: true},
		"more urgent work goes on":       {urgent: 1},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1)
			w.urgent = c.urgent
			if c.earlier {
				w.surround(&conn{})
				w.run(prefill + 10*tokenGap)
			}
			w.ask("r1", 0, false)
			w.run(2 * beat)
			stuck := w.current()
			stuck.run.stuck = true
			w.surround(stuck)
			w.run(generate.StuckLimit + generate.ProbeWait)
			is.New(t).Equal(w.current() != stuck, c.moves)
		})
	}
}

// TestSlowEngineIsLeftInTime strikes an engine whose gaps raise its silence limit to the cap, with
// the longest prefill of the budget elsewhere.
func TestSlowEngineIsLeftInTime(t *testing.T) {
	for _, fault := range []string{
		"engine dies with reset", "engine dies in silence", "connection goes silent", "silent and probe lost",
		"engine stuck on one stream", "engine makes one stream and sends nothing of it",
	} {
		t.Run(fault, func(t *testing.T) {
			w := newWorld(t, 1)
			for _, e := range w.engines {
				e.gap = generate.SilenceCap / 3
			}
			w.ask("r1", 0, false)
			w.surround(&conn{})
			struck := false
			play(w, func() {
				if !struck && len(w.callers["r1"].tokens) == wholeLimit/2 {
					struck = true
					w.prefill = generate.FirstLimit
					faults[fault](w, w.current())
				}
			})
			is.New(t).True(struck)
			check(t, w, generate.ResumeTarget)
		})
	}
}

// TestAnotherRequestMayNotTakeOverAnAnswer asks under the id of a running request.
func TestAnotherRequestMayNotTakeOverAnAnswer(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1)
	w.ask("r1", 0, false)
	for len(w.callers["r1"].tokens) < 2 {
		w.beat()
	}
	ask := table.Ask{ID: "r1", Model: "heat", Prompt: "another", Limit: wholeLimit, Listener: 99}
	var refused []table.Finish
	for _, c := range w.routers[0].core.Step(w.now, false, []table.Event{table.Arrived{Ask: ask}}) {
		if f, ok := c.(table.Finish); ok {
			refused = append(refused, f)
		}
	}
	is.Equal(len(refused), 1)
	is.Equal(refused[0].Listener, table.Listener(99))
	is.Equal(refused[0].Outcome, table.OutcomeMismatch)
	play(w, func() {})
	check(t, w, generate.ResumeTarget)
}
