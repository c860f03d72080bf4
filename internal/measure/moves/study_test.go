package moves

import (
	"flag"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

var testRuns = flag.Int("runs", 1, "seeded runs of each kind at each load, printed as a table with -v")

// quick are the kinds of which one run at the target's load has to end rightly in each run of the tests.
var quickScenarios = map[string]bool{"good": true, "half fail": true, "slow": true, "3 in 10 hang": true}

// TestTable prints the study; with one run it plays only a few kinds, which have to end rightly.
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

// TestDoubtIsEnded fails when a small fleet starves a version under suspicion of the requests that would show it bad:
// a version half of whose work fails gets its verdict within three quarters of the move's time.
func TestDoubtIsEnded(t *testing.T) {
	for seed := range uint64(100) {
		u := newSimulation(Small, Scenario{Name: "half fail", Bad: true, FailureRate: 0.5}, seed)
		u.run()
		m := u.move(0)
		took := m.Ended.Sub(u.start).Round(time.Millisecond)
		if !strings.Contains(m.Reason, "is worse than") || took > Small.Duration*3/4 {
			t.Errorf("seed %d: after %v: %s", seed, took, m.Reason)
		}
	}
}
