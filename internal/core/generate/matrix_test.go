package generate_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/internal/core/generate"
	"jaywind/internal/core/table"
)

const patience = 30 * time.Second // virtual

// faults strike the newest stream of r1 and the engine behind it.
var faults = map[string]func(w *world, c *conn){
	"engine dies with reset": func(w *world, c *conn) { c.engine.dead = true; w.cut(c.engine, nil) },
	"engine dies in silence": func(_ *world, c *conn) { c.engine.muteTill = time.Unix(1<<40, 0) },
	"engine pauses briefly":  func(w *world, c *conn) { c.engine.muteTill = w.now.Add(time.Second) },
	"engine pauses for long": func(w *world, c *conn) { c.engine.muteTill = w.now.Add(3 * time.Second) },
	"connection goes silent": func(_ *world, c *conn) { c.mute = true },
	"connection is reset":    func(w *world, c *conn) { w.cut(c.engine, c) },
	"silent and probe lost":  func(_ *world, c *conn) { c.mute = true; c.engine.deaf = 1 },
	"reset and stream gone":  func(w *world, c *conn) { delete(c.engine.runs, c.call.Work()); w.cut(c.engine, c) },
	"reset, resume refused":  func(w *world, c *conn) { c.engine.noResume = true; w.cut(c.engine, c) },
	"reset, engine refuses":  func(w *world, c *conn) { c.engine.refuse = true; w.cut(c.engine, c) },
	"engine is slow":         func(_ *world, c *conn) { c.engine.gap = 700 * time.Millisecond },
	"engine stuck on one stream": func(w *world, c *conn) {
		w.surround(c)
		c.run.stuck = true
	},
	"engine makes one stream and sends nothing of it": func(w *world, c *conn) {
		w.surround(c)
		c.run.unsent = true
	},
	"frame of another request": func(_ *world, c *conn) {
		c.tamper = func(f jaywind.Frame) []jaywind.Frame {
			return []jaywind.Frame{altered(f, func(f *jaywind.Frame) { f.Request = "r9"; f.Token.ID++ })}
		}
	},
	"frame of another attempt": func(_ *world, c *conn) {
		c.tamper = func(f jaywind.Frame) []jaywind.Frame {
			return []jaywind.Frame{altered(f, func(f *jaywind.Frame) { f.Attempt += 9; f.Token.ID++ })}
		}
	},
	"frame of another generation": func(_ *world, c *conn) {
		c.tamper = func(f jaywind.Frame) []jaywind.Frame {
			return []jaywind.Frame{altered(f, func(f *jaywind.Frame) { f.Token.ID++; f.Digest = 99; f.End = false })}
		}
	},
	"reset, another run is resumed": func(w *world, c *conn) { c.engine.mix(c.run); w.cut(c.engine, c) },
	"frame of another run is repeated": func(_ *world, c *conn) {
		c.tamper = func(f jaywind.Frame) []jaywind.Frame {
			return []jaywind.Frame{f, altered(f, func(f *jaywind.Frame) { f.Token.ID++; f.End = false })}
		}
	},
	"frame is repeated": func(_ *world, c *conn) {
		c.tamper = func(f jaywind.Frame) []jaywind.Frame { return []jaywind.Frame{f, f} }
	},
	"frame is left out": func(_ *world, c *conn) {
		c.tamper = func(jaywind.Frame) []jaywind.Frame { return nil }
	},
	"end frame too early": func(_ *world, c *conn) {
		c.tamper = func(f jaywind.Frame) []jaywind.Frame {
			return []jaywind.Frame{altered(f, func(f *jaywind.Frame) { f.End = true; f.Position++ }), f}
		}
	},
	"caller comes back here": func(w *world, _ *conn) { w.leave(); w.ask("r1", w.callers["r1"].router, false) },
	"caller comes back here before it is missed": func(w *world, _ *conn) {
		w.ask("r1", w.callers["r1"].router, false)
	},
	"router pauses": func(w *world, _ *conn) {
		w.routers[w.callers["r1"].router].pausedTill = w.now.Add(1500 * time.Millisecond)
	},
	"router pauses and wakes when its caller is elsewhere": func(w *world, _ *conn) {
		w.routers[0].pausedTill = w.now.Add(2 * time.Second)
		w.ask("r1", 1, true)
	},
	"caller comes back elsewhere": func(w *world, _ *conn) { w.leave(); w.ask("r1", 1, true) },
	"router is lost":              func(w *world, _ *conn) { w.ask("r1", 1, true) },
}

func altered(f jaywind.Frame, change func(*jaywind.Frame)) jaywind.Frame {
	change(&f)
	return f
}

// steps tell when a fault strikes.
var steps = map[string]func(w *world) bool{
	"opening":     func(w *world) bool { return w.opens == 1 },
	"first token": func(w *world) bool { return len(w.callers["r1"].tokens) == 1 },
	"mid-answer":  func(w *world) bool { return len(w.callers["r1"].tokens) == wholeLimit/2 },
	"last token":  func(w *world) bool { return len(w.callers["r1"].tokens) == wholeLimit-1 },
	"final frame": func(w *world) bool { return len(w.callers["r1"].tokens) == wholeLimit },
}

// play runs a world until r1 has its final word and all work has ended.
func play(w *world, each func()) {
	end := w.now.Add(patience)
	for w.now.Before(end) && len(w.callers["r1"].finals) == 0 {
		w.beat()
		each()
	}
	w.disperse()
	for settled := w.now.Add(2 * generate.GoneLimit); w.now.Before(settled) && !w.idle(); {
		w.beat()
	}
	for range 100 {
		w.beat() // what is late comes now
	}
}

func check(t *testing.T, w *world, bound time.Duration) {
	t.Helper()
	is := is.New(t)
	c := w.callers["r1"]
	is.Equal(len(c.finals), 1) // exactly one final word
	is.Equal(c.finals[0].Outcome, table.OutcomeWhole)
	is.Equal(len(c.tokens), w.limit)
	is.Equal(c.finals[0].Mark.Digest, jaywind.DigestOf(c.tokens))
	is.True(c.longest <= bound) // output goes on in time
	for _, r := range w.routers {
		is.Equal(len(r.core.State.Requests), 0)
		for _, e := range r.core.State.Endpoints {
			is.Equal(e.Inflight, 0)
		}
	}
}

func TestEachFaultAtEachStep(t *testing.T) {
	for fault, strike := range faults {
		for at, due := range steps {
			t.Run(fault+"/"+at, func(t *testing.T) {
				w := newWorld(t, 2)
				w.ask("r1", 0, false)
				struck := false
				play(w, func() {
					if !struck && due(w) {
						struck = true
						strike(w, w.current())
					}
				})
				is.New(t).True(struck)
				check(t, w, generate.ResumeTarget)
			})
		}
	}
}

// TestEachFaultDuringResume strikes once when the loss of an engine is being mended, at its opening and at its first token.
func TestEachFaultDuringResume(t *testing.T) {
	tests := map[string]struct{ more int }{
		"at its opening":     {more: 0},
		"at its first token": {more: 1},
	}
	for fault, strike := range faults {
		for at, c := range tests {
			t.Run(fault+"/"+at, func(t *testing.T) {
				w := newWorld(t, 2)
				w.ask("r1", 0, false)
				before, struck := -1, false
				play(w, func() {
					read := len(w.callers["r1"].tokens)
					switch {
					case before < 0 && read == wholeLimit/2:
						before = read
						faults["engine dies with reset"](w, w.current())
					case before > 0 && !struck && w.opens >= 2 && read >= before+c.more:
						struck = true
						strike(w, w.current())
					}
				})
				is.New(t).True(struck)
				check(t, w, 2*generate.ResumeTarget)
			})
		}
	}
}

// TestPairsOfFaults strikes a second time shortly after the first.
func TestPairsOfFaults(t *testing.T) {
	for first, strike := range faults {
		for second, again := range faults {
			t.Run(first+" and "+second, func(t *testing.T) {
				w := newWorld(t, 2)
				w.ask("r1", 0, false)
				var struck time.Time
				both := false
				play(w, func() {
					switch {
					case struck.IsZero() && len(w.callers["r1"].tokens) == wholeLimit/4:
						struck = w.now
						strike(w, w.current())
					case !struck.IsZero() && !both && w.now.Sub(struck) >= 400*time.Millisecond:
						both = true
						again(w, w.current())
					}
				})
				is.New(t).True(both)
				check(t, w, 2*generate.ResumeTarget)
			})
		}
	}
}
