package moves

import (
	"flag"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

var runs = flag.Int("runs", 1, "seeded runs of each kind at each load, printed as a table with -v")

// quick are the kinds of which one run at the target's load has to end rightly in each run of the tests.
var quick = map[string]bool{"good": true, "half fail": true, "slow": true, "3 in 10 hang": true}

// TestTable prints the study; with one run it plays only a few kinds, which have to end rightly.
func TestTable(t *testing.T) {
	for _, l := range []Load{Target, Many, Today, Small} {
		for _, k := range Kinds {
			if *runs == 1 && (l.Name != Target.Name || !quick[k.Name]) {
				continue
			}
			t.Run(l.Name+"/"+k.Name, func(t *testing.T) {
				r := Study{Load: l, Kind: k, Runs: *runs, Seed: 1}.Run()
				t.Log("\n" + Header + "\n" + r.String())
				t.Log(r.Reasons)
				if *runs > 1 {
					return
				}
				is := is.New(t)
				if k.Bad {
					is.Equal(r.Back, 1)
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
		u := newRun(Small, Kind{Name: "half fail", Bad: true, Fail: 0.5}, seed)
		u.play()
		m := u.move(0)
		took := m.Ended.Sub(u.start).Round(time.Millisecond)
		if !strings.Contains(m.Reason, "is worse than") || took > Small.Length*3/4 {
			t.Errorf("seed %d: after %v: %s", seed, took, m.Reason)
		}
	}
}
