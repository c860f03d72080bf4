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
	for _, l := range []Load{Target, Many, Today} {
		for _, k := range Kinds {
			t.Run(l.Name+"/"+k.Name, func(t *testing.T) {
				r := Study{Load: l, Kind: k, Runs: *runs, Seed: 1}.Run()
				t.Log("\n" + Header + "\n" + r.String())
				t.Log(r.Reasons)
			})
		}
	}
}
