package generate_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/internal/core/generate"
	"jaywind/internal/core/table"
)

const maxVirtualTime = 30 * time.Second // for r1 to end

// faults inject a fault into the newest stream of r1, its engine, its caller or the routers.
var faults = map[string]func(sim *simulation, c *conn){
	"engine dies with reset": func(sim *simulation, c *conn) { c.engine.dead = true; sim.resetConnections(c.engine, nil) },
	"engine dies in silence": func(_ *simulation, c *conn) { c.engine.muteUntil = time.Unix(1<<40, 0) },
	"engine pauses briefly":  func(sim *simulation, c *conn) { c.engine.muteUntil = sim.now.Add(time.Second) },
	"engine pauses for long": func(sim *simulation, c *conn) { c.engine.muteUntil = sim.now.Add(3 * time.Second) },
	"connection goes silent": func(_ *simulation, c *conn) { c.mute = true },
	"connection is reset":    func(sim *simulation, c *conn) { sim.resetConnections(c.engine, c) },
	"silent and probe lost":  func(_ *simulation, c *conn) { c.mute = true; c.engine.probesToDrop = 1 },
	"reset and stream gone": func(sim *simulation, c *conn) {
		delete(c.engine.runs, c.call.Work())
		sim.resetConnections(c.engine, c)
	},
	"reset, resume refused": func(sim *simulation, c *conn) { c.engine.refuseResume = true; sim.resetConnections(c.engine, c) },
	"reset, engine refuses": func(sim *simulation, c *conn) { c.engine.busy = true; sim.resetConnections(c.engine, c) },
	"engine is slow":        func(_ *simulation, c *conn) { c.engine.gap = 700 * time.Millisecond },
	"engine stuck on one stream": func(sim *simulation, c *conn) {
		sim.addOtherCallers(c)
		c.run.stuck = true
	},
	"engine makes one stream and sends nothing of it": func(sim *simulation, c *conn) {
		sim.addOtherCallers(c)
		c.run.unsent = true
	},
	"frame of another request": func(_ *simulation, c *conn) {
		c.tamper = func(f jaywind.Frame) []jaywind.Frame {
			return []jaywind.Frame{modified(f, func(f *jaywind.Frame) { f.Request = "r9"; f.Token.ID++ })}
		}
	},
	"frame of another attempt": func(_ *simulation, c *conn) {
		c.tamper = func(f jaywind.Frame) []jaywind.Frame {
			return []jaywind.Frame{modified(f, func(f *jaywind.Frame) { f.Attempt += 9; f.Token.ID++ })}
		}
	},
	"frame of another generation": func(_ *simulation, c *conn) {
		c.tamper = func(f jaywind.Frame) []jaywind.Frame {
			return []jaywind.Frame{modified(f, func(f *jaywind.Frame) { f.Token.ID++; f.Digest = 99; f.End = false })}
		}
	},
	"reset, another run is resumed": func(sim *simulation, c *conn) { c.engine.replaceTokens(c.run); sim.resetConnections(c.engine, c) },
	"frame of another run is repeated": func(_ *simulation, c *conn) {
		c.tamper = func(f jaywind.Frame) []jaywind.Frame {
			return []jaywind.Frame{f, modified(f, func(f *jaywind.Frame) { f.Token.ID++; f.End = false })}
		}
	},
	"frame is repeated": func(_ *simulation, c *conn) {
		c.tamper = func(f jaywind.Frame) []jaywind.Frame { return []jaywind.Frame{f, f} }
	},
	"frame is left out": func(_ *simulation, c *conn) {
		c.tamper = func(jaywind.Frame) []jaywind.Frame { return nil }
	},
	"end frame too early": func(_ *simulation, c *conn) {
		c.tamper = func(f jaywind.Frame) []jaywind.Frame {
			return []jaywind.Frame{modified(f, func(f *jaywind.Frame) { f.End = true; f.Position++ }), f}
		}
	},
	"caller comes back here": func(sim *simulation, _ *conn) { sim.disconnectR1(); sim.connect("r1", sim.callers["r1"].router, false) },
	"caller comes back here before it is missed": func(sim *simulation, _ *conn) {
		sim.connect("r1", sim.callers["r1"].router, false)
	},
	"router pauses": func(sim *simulation, _ *conn) {
		sim.routers[sim.callers["r1"].router].pausedUntil = sim.now.Add(1500 * time.Millisecond)
	},
	"router pauses and wakes when its caller is elsewhere": func(sim *simulation, _ *conn) {
		sim.routers[0].pausedUntil = sim.now.Add(2 * time.Second)
		sim.connect("r1", 1, true)
	},
	"caller comes back elsewhere": func(sim *simulation, _ *conn) { sim.disconnectR1(); sim.connect("r1", 1, true) },
	"router is lost":              func(sim *simulation, _ *conn) { sim.connect("r1", 1, true) },
}

func modified(f jaywind.Frame, change func(*jaywind.Frame)) jaywind.Frame {
	change(&f)
	return f
}

// triggers tell when a fault is injected.
var triggers = map[string]func(sim *simulation) bool{
	"opening":     func(sim *simulation) bool { return sim.opens == 1 },
	"first token": func(sim *simulation) bool { return len(sim.callers["r1"].tokens) == 1 },
	"mid-answer":  func(sim *simulation) bool { return len(sim.callers["r1"].tokens) == answerTokens/2 },
	"last token":  func(sim *simulation) bool { return len(sim.callers["r1"].tokens) == answerTokens-1 },
	"final frame": func(sim *simulation) bool { return len(sim.callers["r1"].tokens) == answerTokens },
}

// runToEnd runs a simulation until r1 has finished and no router has a request, and calls each after every tick
// until r1 has finished.
func runToEnd(sim *simulation, each func()) {
	end := sim.now.Add(maxVirtualTime)
	for sim.now.Before(end) && len(sim.callers["r1"].finishes) == 0 {
		sim.tick()
		each()
	}
	sim.disconnectOthers()
	for settled := sim.now.Add(2 * generate.DisconnectGrace); sim.now.Before(settled) && !sim.idle(); {
		sim.tick()
	}
	for range 100 {
		sim.tick() // lets late events arrive
	}
}

func checkAnswer(t *testing.T, sim *simulation, bound time.Duration) {
	t.Helper()
	is := is.New(t)
	c := sim.callers["r1"]
	is.Equal(len(c.finishes), 1) // exactly one outcome
	is.Equal(c.finishes[0].Outcome, table.OutcomeCompleted)
	is.Equal(len(c.tokens), sim.limit)
	is.Equal(c.finishes[0].Bookmark.Digest, jaywind.DigestOf(c.tokens))
	is.True(c.longest <= bound) // output resumes in time
	for _, r := range sim.routers {
		is.Equal(len(r.core.State.Requests), 0)
		for _, e := range r.core.State.Endpoints {
			is.Equal(e.Inflight, 0)
		}
	}
}

func TestEachFaultAtEachStep(t *testing.T) {
	for fault, inject := range faults {
		for at, due := range triggers {
			t.Run(fault+"/"+at, func(t *testing.T) {
				sim := newSimulation(t, 2)
				sim.connect("r1", 0, false)
				injected := false
				runToEnd(sim, func() {
					if !injected && due(sim) {
						injected = true
						inject(sim, sim.current())
					}
				})
				is.New(t).True(injected)
				checkAnswer(t, sim, generate.ResumeTarget)
			})
		}
	}
}

// TestEachFaultDuringResume injects a fault while a request resumes after the loss of its engine, when the
// new stream is opened and at its first token.
func TestEachFaultDuringResume(t *testing.T) {
	tests := map[string]struct{ more int }{
		"at its opening":     {more: 0},
		"at its first token": {more: 1},
	}
	for fault, inject := range faults {
		for at, c := range tests {
			t.Run(fault+"/"+at, func(t *testing.T) {
				sim := newSimulation(t, 2)
				sim.connect("r1", 0, false)
				before, injected := -1, false
				runToEnd(sim, func() {
					read := len(sim.callers["r1"].tokens)
					switch {
					case before < 0 && read == answerTokens/2:
						before = read
						faults["engine dies with reset"](sim, sim.current())
					case before > 0 && !injected && sim.opens >= 2 && read >= before+c.more:
						injected = true
						inject(sim, sim.current())
					}
				})
				is.New(t).True(injected)
				checkAnswer(t, sim, 2*generate.ResumeTarget)
			})
		}
	}
}

// TestPairsOfFaults injects a second fault 400 ms after the first.
func TestPairsOfFaults(t *testing.T) {
	for first, inject := range faults {
		for second, injectSecond := range faults {
			t.Run(first+" and "+second, func(t *testing.T) {
				sim := newSimulation(t, 2)
				sim.connect("r1", 0, false)
				var injectedAt time.Time
				both := false
				runToEnd(sim, func() {
					switch {
					case injectedAt.IsZero() && len(sim.callers["r1"].tokens) == answerTokens/4:
						injectedAt = sim.now
						inject(sim, sim.current())
					case !injectedAt.IsZero() && !both && sim.now.Sub(injectedAt) >= 400*time.Millisecond:
						both = true
						injectSecond(sim, sim.current())
					}
				})
				is.New(t).True(both)
				checkAnswer(t, sim, 2*generate.ResumeTarget)
			})
		}
	}
}
