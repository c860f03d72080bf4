package moves

import (
	"flag"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

var testRuns = flag.Int("runs", 1, "`number` of seeded runs of each scenario with each workload; -v prints the table")

// quickScenarios are the scenarios that run by default, with the target workload only.
var quickScenarios = map[string]bool{"good": true, "half fail": true, "slow": true, "3 in 10 hang": true}

// TestTable prints the results of all scenarios. With the default of one run it only runs quickScenarios, and fails if a
// good version is not completed or a bad one is not rolled back.
func TestTable(t *testing.T) {
	for _, l := range []Workload{Target, AllRouters, Current, Small} {
		for _, k := range Scenarios {
			if *testRuns == 1 && (l.Name != Target.Name || !quickScenarios[k.Name]) {
				continue
			}
			t.Run(l.Name+"/"+k.Name, func(t *testing.T) {
				r := Study{Workload: l, Scenario: k, Runs: *testRuns, Seed: 1}.Run()
				t.Log("\n" + Header + "\n" + r.String())
				t.Log(r.Reasons)
				if *testRuns > 1 {
					return
				}
				is := is.New(t)
				if k.Bad {
					is.Equal(r.RolledBack, 1)
				} else {
					is.Equal(r.Done, 1)
				}
			})
		}
	}
}

// TestDoubtIsEnded guards against a small fleet that sends a suspected version too few requests to prove it bad: a version
// of which half the requests fail is rolled back on evidence within three quarters of the move's time.
func TestDoubtIsEnded(t *testing.T) {
	for seed := range uint64(100) {
		sim := newSimulation(Small, Scenario{Name: "half fail", Bad: true, FailureRate: 0.5}, seed)
		sim.run()
		m := sim.move(0)
		elapsed := m.Ended.Sub(sim.start).Round(time.Millisecond)
		if !strings.Contains(m.Reason, "is worse than") || elapsed > Small.Duration*3/4 {
			t.Errorf("seed %d: after %v: %s", seed, elapsed, m.Reason)
		}
	}
}
