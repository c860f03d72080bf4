package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"jaywind"
	"jaywind/internal/client/router"
	standin "jaywind/internal/standin/engine"
	"jaywind/internal/standin/relay"
)

var fullPartition = relay.Faults{HoldToTarget: true, HoldFromTarget: true}

// startRelay forwards connections to target until the test ends. It returns the relay and its address.
func startRelay(t *testing.T, target string) (*relay.Relay, string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay.Relay{Target: target}
	var group conc.WaitGroup
	group.Go(func() { _ = r.Serve(l) })
	t.Cleanup(func() {
		_ = l.Close()
		r.Close()
		group.Wait()
	})
	return r, l.Addr().String()
}

// TestAnswerSurvivesCuts guards against lost or repeated tokens when the network between the routers and the engine
// fails while an answer is streamed.
func TestAnswerSurvivesCuts(t *testing.T) {
	f := newFleet(t)
	relays := map[string]*relay.Relay{}
	for i := range fleetSize {
		id := fmt.Sprint("e", i+1)
		relays[id], f.addresses[id] = startRelay(t, f.address(id))
	}
	f.apply()
	tests := map[string]struct {
		faults relay.Faults
		heals  time.Duration // time until the network works again; never when zero
	}{
		"open connections go silent":       {faults: relay.Faults{Blackhole: true}},
		"engine hears nothing":             {faults: relay.Faults{HoldToTarget: true}},
		"nothing is heard of the engine":   {faults: relay.Faults{HoldFromTarget: true}},
		"cut":                              {faults: fullPartition},
		"cut that heals at once":           {faults: fullPartition, heals: 100 * time.Millisecond},
		"cut that heals during the resume": {faults: fullPartition, heals: 700 * time.Millisecond},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
			defer cancel()
			client := &router.Client{}
			for i := range fleetSize {
				client.Entries = append(client.Entries, jaywind.Address("http://"+f.address(fmt.Sprint("vm", i+1, ".caller"))))
			}
			var cut *relay.Relay
			client.OnToken = func(_ jaywind.Token, m jaywind.Bookmark) {
				if m.Position != faultPosition {
					return
				}
				cut = relays[string(m.Endpoint)]
				cut.Set(c.faults)
				if c.heals > 0 {
					time.AfterFunc(c.heals, func() { cut.Set(relay.Faults{}) })
				}
			}
			defer func() {
				if cut != nil {
					cut.Set(relay.Faults{})
				}
			}()
			seed := jaywind.Seed(3)
			answer, err := client.Generate(ctx, router.Request{Model: "heat", Prompt: "fins", MaxTokens: answerTokens, Seed: &seed})
			is.NoErr(err)
			is.Equal(answer.Tokens, standin.Tokens("v1", seed, "fins", 0, answerTokens))
			is.True(answer.MaxGap <= resumeTarget)
			t.Logf("longest gap: %d ms", answer.MaxGap.Milliseconds())
		})
	}
}

// TestOnceThroughCuts cuts the network between the routers and the store during at-most-once calls. It guards
// against actions that run twice, calls that are not answered within their timeout, and refusals that take
// most of the timeout.
func TestOnceThroughCuts(t *testing.T) {
	const cutTime = 3 * time.Second // longer than the callers' timeout
	tests := map[string]relay.Faults{
		"open connections go silent":  {Blackhole: true},
		"store hears nothing":         {HoldToTarget: true},
		"nothing is heard from store": {HoldFromTarget: true},
		"cut":                         fullPartition,
	}
	for name, faults := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			p := startStandins(t, 2)
			cut, at := startRelay(t, p.store)
			p.startRouters(2, at)
			eventually(t, readyTimeout, "rules in force", p.rulesInForce(1))
			p.setFaults(p.service, `{"slow":20000000}`)
			var first, second, last [onceCalls]int
			var group conc.WaitGroup
			group.Go(func() { p.callBindKeys(0, &first) })
			group.Go(func() { p.callBindKeys(1, &second) })
			time.Sleep(onceCalls * onceInterval / 2)
			cut.Set(faults)
			time.Sleep(cutTime)
			cut.Set(relay.Faults{})
			group.Wait()
			p.awaitClaims(1)
			p.callBindKeys(1, &last)
			results := map[string]int{}
			for i := range onceCalls {
				runs := p.runs(fmt.Sprint("k", i))
				answers := []int{first[i], second[i], last[i]}
				results[fmt.Sprint(answers, " run ", runs)]++
				is.True(runs == "0" || runs == "1")
				is.True(first[i] != connectionBroken && second[i] != connectionBroken)
				if runs == "0" {
					is.True(first[i] != http.StatusOK && second[i] != http.StatusOK && last[i] != http.StatusOK)
				}
			}
			maxRefusal := time.Duration(p.maxRefusalTime.Load())
			t.Logf("longest time until a refusal: %d ms", maxRefusal.Milliseconds())
			is.True(maxRefusal < onceTimeout*3/4)
			for answers, count := range results {
				t.Logf("%3d calls: answers %s", count, answers)
			}
		})
	}
}
