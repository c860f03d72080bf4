package claim_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/internal/core/table"
	"jaywind/internal/provider/claims"
)

var errCut = errors.New("connection was cut")

// bendFor bends the writes, and in an outage the reads too, of the coming operations.
func bendFor(b bend, writes int, d time.Duration) func(*world, *node) {
	return func(w *world, _ *node) {
		end := w.now + d
		left := writes
		w.store.before = func(write bool) (bend, bool) {
			if w.now >= end || left == 0 || !write && b != bendDown {
				return 0, false
			}
			left--
			return b, true
		}
	}
}

// rivals commits other claims to the shard right before the router's next swap.
func rivals(size int) func(*world, *node) {
	return func(w *world, _ *node) {
		other := claims.Shard{Store: w.store}
		w.store.before = func(write bool) (bend, bool) {
			if !write {
				return 0, false
			}
			w.store.before = nil
			for i := range 3 {
				c := jaywind.Claim{Key: jaywind.IdempotencyKey(fmt.Sprint("other", i)), State: jaywind.ClaimAnswered}
				c.Reply = jaywind.Reply{Status: 200, Body: make([]byte, size)}
				_, _ = other.Commit(context.Background(), []jaywind.Claim{c})
			}
			return 0, false
		}
	}
}

func serviceEnds(delay time.Duration, err error) func(*world, *node) {
	return func(w *world, _ *node) {
		w.service = func(int) (time.Duration, error) { return delay, err }
	}
}

func callerGoes(w *world, n *node) {
	w.gone["a"] = true
	n.step(false, table.ServiceCallerGone{Request: "a"})
}

var faults = map[string]func(*world, *node){
	"store down for 1 s":            bendFor(bendDown, -1, time.Second),
	"store down for good":           bendFor(bendDown, -1, ending),
	"write lost, reply lost":        bendFor(bendDrop, 1, ending),
	"writes lost for 20 s":          bendFor(bendDrop, -1, 20*time.Second),
	"write taken, reply lost":       bendFor(bendLost, 1, ending),
	"writes taken, replies lost":    bendFor(bendLost, -1, 20*time.Second),
	"write taken late, reply lost":  bendFor(bendDelay, 1, ending),
	"writes taken late":             bendFor(bendDelay, -1, 20*time.Second),
	"swap conflicts":                rivals(10),
	"segment is sealed in between":  rivals(40 << 10),
	"router crashes":                func(_ *world, n *node) { n.dead = true },
	"router pauses for 1 s":         func(w *world, n *node) { n.paused = w.now + time.Second },
	"router pauses past deadline":   func(w *world, n *node) { n.paused = w.now + 2*deadline },
	"router stops":                  func(_ *world, n *node) { n.state.Stopping = true },
	"one endpoint refuses":          func(w *world, _ *node) { w.refuse["s1"] = true },
	"all endpoints refuse for good": func(w *world, _ *node) { w.refuse["s1"], w.refuse["s2"] = true, true },
	"service dies after the bytes":  serviceEnds(time.Second, errCut),
	"service is slow":               serviceEnds(3*time.Second, nil),
	"service is too slow":           serviceEnds(deadline+5*time.Second, nil),
	"caller goes":                   callerGoes,
	"another claimant at once":      func(w *world, _ *node) { w.nodes[1].ask("b", 1) },
}

// play runs a request, repeats of it by other routers, and one with another body.
func play(strikes map[step][]string) *world {
	w := newWorld(3)
	for at, names := range strikes {
		for _, name := range names {
			w.faults[at] = append(w.faults[at], faults[name])
		}
	}
	w.after(0, func() { w.nodes[0].ask("a", 1) })
	w.after(4*time.Second, func() { w.nodes[2].ask("c", 1) })
	w.after(30*time.Second, func() { w.nodes[2].ask("d", 2) })
	w.after(40*time.Second, func() { w.nodes[1].ask("e", 1) })
	w.runUntil(ending)
	return w
}

// violations returns which promises a world has broken.
func violations(w *world) []string {
	var out []string
	if n := w.runs["k"]; n > 1 {
		out = append(out, fmt.Sprintf("run %d times", n))
	}
	for _, id := range slices.Sorted(maps.Keys(w.answers)) {
		a := w.answers[id]
		if a.Result == table.ResultNotRun && w.runsOf[id] > 0 {
			out = append(out, string(id)+" was told not run, but ran")
		}
		if a.Result == table.ResultNotRun && a.RetryAfter <= 0 {
			out = append(out, string(id)+" was not told when to come back")
		}
		if a.Result == table.ResultReply && w.runs["k"] != 1 {
			out = append(out, string(id)+" got a reply without a run")
		}
	}
	if w.answers["d"].Result != table.ResultKeyReused && w.runsOf["a"]+w.runsOf["b"]+w.runsOf["c"] > 0 && answered(w, "d") &&
		w.answers["d"].Result != table.ResultNotRun {
		out = append(out, fmt.Sprint("another body under the key was told ", w.answers["d"].Result))
	}
	return append(out, silences(w)...)
}

func answered(w *world, id jaywind.RequestID) bool {
	_, found := w.answers[id]
	return found
}

// silences returns which callers of routers that run got no answer in time.
func silences(w *world) []string {
	var out []string
	for _, n := range w.nodes {
		for id, a := range n.asks {
			late := a.Deadline.Sub(epoch) + 2*tick
			if n.dead || n.paused > 0 {
				continue
			}
			if told, found := w.told[id]; (!found || told > late) && !w.gone[id] {
				out = append(out, string(id)+" has no answer in time")
			}
		}
	}
	return out
}

func TestEveryFaultAtEveryStep(t *testing.T) {
	for name := range faults {
		for at := range steps {
			t.Run(fmt.Sprintf("%s at step %d", name, at), func(t *testing.T) {
				w := play(map[step][]string{at: {name}})
				is.New(t).Equal(violations(w), nil)
			})
		}
	}
}

func TestPairsOfFaults(t *testing.T) {
	is := is.New(t)
	for first := range faults {
		for second := range faults {
			for at := range steps {
				for then := at; then < steps; then++ {
					w := play(map[step][]string{at: {first}, then: {second}})
					if at == then {
						w = play(map[step][]string{at: {first, second}})
					}
					if v := violations(w); len(v) > 0 {
						t.Logf("%s at %d, %s at %d: %v", first, at, second, then, v)
						t.Fail()
					}
				}
			}
		}
	}
	is.True(!t.Failed())
}

// TestAnswers holds what callers are told after one fault.
func TestAnswers(t *testing.T) {
	type told struct{ first, repeat table.Result }
	tests := map[string]struct {
		fault string
		at    step
		want  told
		runs  int  // of the key, by whichever request
		soon  bool // the first answer comes within a second
	}{
		"no fault":                 {"", 0, told{table.ResultReply, table.ResultReply}, 1, true},
		"store down":               {"store down for good", stepClaim, told{table.ResultNotRun, table.ResultNotRun}, 0, true},
		"store down after claim":   {"store down for good", stepCommit, told{table.ResultReply, table.ResultNotRun}, 1, true},
		"claim's reply lost":       {"write taken, reply lost", stepClaim, told{table.ResultReply, table.ResultReply}, 1, true},
		"claim lost":               {"write lost, reply lost", stepClaim, told{table.ResultReply, table.ResultReply}, 1, true},
		"conflict":                 {"swap conflicts", stepClaim, told{table.ResultReply, table.ResultReply}, 1, true},
		"sealed":                   {"segment is sealed in between", stepRecord, told{table.ResultReply, table.ResultReply}, 1, true},
		"one endpoint refuses":     {"one endpoint refuses", stepSend, told{table.ResultReply, table.ResultReply}, 1, true},
		"all endpoints refuse":     {"all endpoints refuse for good", stepSend, told{table.ResultNotRun, table.ResultNotRun}, 0, true},
		"service dies":             {"service dies after the bytes", stepSend, told{table.ResultUnknown, table.ResultUnknown}, 1, false},
		"service too slow":         {"service is too slow", stepSend, told{table.ResultUnknown, table.ResultUnknown}, 1, false},
		"crash after the claim":    {"router crashes", stepCommit, told{-1, table.ResultUnknown}, 0, false},
		"crash before the record":  {"router crashes", stepRecord, told{table.ResultReply, table.ResultUnknown}, 1, true},
		"pause before the send":    {"router pauses past deadline", stepSend, told{table.ResultUnknown, table.ResultUnknown}, 1, false},
		"caller goes in the claim": {"caller goes", stepClaim, told{-1, table.ResultReply}, 1, false},
		"two claimants":            {"another claimant at once", stepClaim, told{table.ResultReply, table.ResultReply}, 1, true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			strikes := map[step][]string{}
			if c.fault != "" {
				strikes[c.at] = []string{c.fault}
			}
			w := play(strikes)
			is.Equal(resultOf(w, "a"), c.want.first)
			is.Equal(resultOf(w, "c"), c.want.repeat)
			is.Equal(w.runs["k"], c.runs)
			is.True(!c.soon || w.told["a"] < time.Second)
			is.Equal(violations(w), nil)
		})
	}
}

// TestLateSend holds that a router which was paused past its deadline sends nothing when it wakes.
func TestLateSend(t *testing.T) {
	is := is.New(t)
	w := play(map[step][]string{stepSend: {"router pauses past deadline"}})
	is.Equal(w.runsOf["a"], 0)
	is.Equal(w.runsOf["e"], 1) // the claim was released, so that a later repeat runs
}

// resultOf returns what a caller was told, or -1.
func resultOf(w *world, id jaywind.RequestID) table.Result {
	if a, found := w.answers[id]; found {
		return a.Result
	}
	return -1
}
