package moves

import (
	"flag"
	"testing"

	"github.com/matryer/is"
)

var runs = flag.Int("runs", 1, "seeded runs of each kind at each load, printed as a table with -v")

// quick are the kinds of which one run at the target's load has to end rightly in each run of the tests.
var quick = map[string]bool{"good": true, "half fail": true, "slow": true, "3 in 10 hang": true}

// TestTable prints the study; with one run it plays only a few kinds, which have to end rightly.
func TestTable(t *testing.T) {
	for _, l := range []Load{Target, Many, Today} {
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
