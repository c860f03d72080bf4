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

var errConnectionLost = errors.New("connection was cut")

// failOperations injects a fault into the next writes to the store, for a time; faultDown fails reads as well.
func failOperations(b storeFault, writes int, d time.Duration) func(*world, *node) {
	return func(w *world, _ *node) {
		end := w.now + d
		left := writes
		w.store.before = func(write bool) (storeFault, bool) {
			if w.now >= end || left == 0 || !write && b != faultDown {
				return 0, false
			}
			left--
			return b, true
		}
	}
}

// competingClaims commits other claims to the shard directly before the router's next swap.
func competingClaims(size int) func(*world, *node) {
	return func(w *world, _ *node) {
		other := claims.Shard{Store: w.store}
		w.store.before = func(write bool) (storeFault, bool) {
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

func serviceOutcome(delay time.Duration, err error) func(*world, *node) {
	return func(w *world, _ *node) {
		w.service = func(int) (time.Duration, error) { return delay, err }
	}
}

func callerDisconnects(w *world, n *node) {
	w.disconnected["a"] = true
	n.step(false, table.ServiceCallerGone{Request: "a"})
}

var faults = map[string]func(*world, *node){
	"store down for 1 s":                     failOperations(faultDown, -1, time.Second),
	"store down permanently":                 failOperations(faultDown, -1, runTime),
	"write lost, reply lost":                 failOperations(faultWriteLost, 1, runTime),
	"writes lost for 20 s":                   failOperations(faultWriteLost, -1, 20*time.Second),
	"write applied, reply lost":              failOperations(faultReplyLost, 1, runTime),
	"writes applied, replies lost":           failOperations(faultReplyLost, -1, 20*time.Second),
	"write applied late, reply lost":         failOperations(faultDelayed, 1, runTime),
	"writes applied late":                    failOperations(faultDelayed, -1, 20*time.Second),
	"swap conflicts":                         competingClaims(10),
	"segment is sealed before the swap":      competingClaims(40 << 10),
	"router crashes":                         func(_ *world, n *node) { n.dead = true },
	"router pauses for 1 s":                  func(w *world, n *node) { n.paused = w.now + time.Second },
	"router pauses past deadline":            func(w *world, n *node) { n.paused = w.now + 2*deadline },
	"router stops":                           func(_ *world, n *node) { n.state.Stopping = true },
	"one endpoint refuses":                   func(w *world, _ *node) { w.refusing["s1"] = true },
	"all endpoints refuse permanently":       func(w *world, _ *node) { w.refusing["s1"], w.refusing["s2"] = true, true },
	"service fails after receiving the call": serviceOutcome(time.Second, errConnectionLost),
	"service is slow":                        serviceOutcome(3*time.Second, nil),
	"service is too slow":                    serviceOutcome(deadline+5*time.Second, nil),
	"caller disconnects":                     callerDisconnects,
	"concurrent claimant":                    func(w *world, _ *node) { w.nodes[1].call("b", 1) },
}

// simulate runs a request, repeats of it at other routers, and a request with another body under the same key.
func simulate(injected map[step][]string) *world {
	w := newWorld(3)
	for at, names := range injected {
		for _, name := range names {
			w.faults[at] = append(w.faults[at], faults[name])
		}
	}
	w.after(0, func() { w.nodes[0].call("a", 1) })
	w.after(4*time.Second, func() { w.nodes[2].call("c", 1) })
	w.after(30*time.Second, func() { w.nodes[2].call("d", 2) })
	w.after(40*time.Second, func() { w.nodes[1].call("e", 1) })
	w.runUntil(runTime)
	return w
}

// violations returns the guarantees that a run has violated.
func violations(w *world) []string {
	var out []string
	if n := w.runs["k"]; n > 1 {
		out = append(out, fmt.Sprintf("run %d times", n))
	}
	for _, id := range slices.Sorted(maps.Keys(w.answers)) {
		a := w.answers[id]
		if a.Result == table.ResultNotRun && w.runsOf[id] > 0 {
			out = append(out, string(id)+" was answered \"not run\" but ran")
		}
		if a.Result == table.ResultNotRun && a.RetryAfter <= 0 {
			out = append(out, string(id)+" got no retry delay")
		}
		if a.Result == table.ResultReply && w.runs["k"] != 1 {
			out = append(out, string(id)+" got a reply without a run")
		}
	}
	if w.answers["d"].Result != table.ResultKeyReused && w.runsOf["a"]+w.runsOf["b"]+w.runsOf["c"] > 0 && answered(w, "d") &&
		w.answers["d"].Result != table.ResultNotRun {
		out = append(out, fmt.Sprint("another body under the key got result ", w.answers["d"].Result))
	}
	return append(out, unansweredCalls(w)...)
}

func answered(w *world, id jaywind.RequestID) bool {
	_, found := w.answers[id]
	return found
}

// unansweredCalls returns the calls at running routers that were not answered in time.
func unansweredCalls(w *world) []string {
	var out []string
	for _, n := range w.nodes {
		for id, a := range n.asks {
			late := a.Deadline.Sub(epoch) + 2*tick
			if n.dead || n.paused > 0 {
				continue
			}
			if answeredAt, found := w.answeredAt[id]; (!found || answeredAt > late) && !w.disconnected[id] {
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
				w := simulate(map[step][]string{at: {name}})
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
					w := simulate(map[step][]string{at: {first}, then: {second}})
					if at == then {
						w = simulate(map[step][]string{at: {first, second}})
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

// TestAnswers checks how calls are answered after a single fault.
func TestAnswers(t *testing.T) {
	type results struct{ first, repeat table.Result }
	tests := map[string]struct {
		fault string
		at    step
		want  results
		runs  int  // of the key, by any request
		soon  bool // the first call is answered within a second
	}{
		"no fault":                          {"", 0, results{table.ResultReply, table.ResultReply}, 1, true},
		"store down":                        {"store down permanently", stepClaim, results{table.ResultNotRun, table.ResultNotRun}, 0, true},
		"store down after claim":            {"store down permanently", stepCommit, results{table.ResultReply, table.ResultNotRun}, 1, true},
		"claim's reply lost":                {"write applied, reply lost", stepClaim, results{table.ResultReply, table.ResultReply}, 1, true},
		"claim lost":                        {"write lost, reply lost", stepClaim, results{table.ResultReply, table.ResultReply}, 1, true},
		"conflict":                          {"swap conflicts", stepClaim, results{table.ResultReply, table.ResultReply}, 1, true},
		"sealed":                            {"segment is sealed before the swap", stepRecord, results{table.ResultReply, table.ResultReply}, 1, true},
		"one endpoint refuses":              {"one endpoint refuses", stepSend, results{table.ResultReply, table.ResultReply}, 1, true},
		"all endpoints refuse":              {"all endpoints refuse permanently", stepSend, results{table.ResultNotRun, table.ResultNotRun}, 0, true},
		"service fails":                     {"service fails after receiving the call", stepSend, results{table.ResultUnknown, table.ResultUnknown}, 1, false},
		"service too slow":                  {"service is too slow", stepSend, results{table.ResultUnknown, table.ResultUnknown}, 1, false},
		"crash after the claim":             {"router crashes", stepCommit, results{-1, table.ResultUnknown}, 0, false},
		"crash before the record":           {"router crashes", stepRecord, results{table.ResultReply, table.ResultUnknown}, 1, true},
		"pause before the send":             {"router pauses past deadline", stepSend, results{table.ResultUnknown, table.ResultUnknown}, 1, false},
		"caller disconnects while claiming": {"caller disconnects", stepClaim, results{-1, table.ResultReply}, 1, false},
		"concurrent claimants":              {"concurrent claimant", stepClaim, results{table.ResultReply, table.ResultReply}, 1, true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			injected := map[step][]string{}
			if c.fault != "" {
				injected[c.at] = []string{c.fault}
			}
			w := simulate(injected)
			is.Equal(resultOf(w, "a"), c.want.first)
			is.Equal(resultOf(w, "c"), c.want.repeat)
			is.Equal(w.runs["k"], c.runs)
			is.True(!c.soon || w.answeredAt["a"] < time.Second)
			is.Equal(violations(w), nil)
		})
	}
}

// TestLateSend checks that a router that was paused past a call's deadline doesn't send the call afterwards.
func TestLateSend(t *testing.T) {
	is := is.New(t)
	w := simulate(map[step][]string{stepSend: {"router pauses past deadline"}})
	is.Equal(w.runsOf["a"], 0)
	is.Equal(w.runsOf["e"], 1) // the claim was released, so a later repeat runs
}

// resultOf returns the result of a call, or -1 if it was not answered.
func resultOf(w *world, id jaywind.RequestID) table.Result {
	if a, found := w.answers[id]; found {
		return a.Result
	}
	return -1
}
