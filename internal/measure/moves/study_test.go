package moves

import (
	"flag"
	"testing"
)

var runs = flag.Int("runs", 0, "seeded runs of each kind at each load, printed as a table")

func TestTable(t *testing.T) {
	if *runs == 0 {
		t.Skip("prints the table of the study with -runs")
	}
	for _, l := range []Load{Target, Today} {
		t.Run(l.Name, func(t *testing.T) {
			t.Log(Header)
			for _, k := range Kinds {
				r := Study{Load: l, Kind: k, Runs: *runs, Seed: 1}.Run()
				t.Log(r)
				t.Log(r.Reasons)
			}
		})
	}
}
