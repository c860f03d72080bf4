package moves

import (
	"fmt"
	"slices"

	"jaywind/internal/core/table"
)

// Study is a number of seeded simulations of one scenario with one workload.
type Study struct {
	Workload Workload
	Scenario Scenario
	Runs     int
	Seed     uint64 // of the first run; the next runs use the next seeds
}

// Result sums up the runs of a study.
type Result struct {
	Workload         Workload
	Scenario         Scenario
	Runs             int
	Done             int // moves that all routers know as completed before the end of the run
	RolledBack       int // moves that all routers know as rolled back before the end of the run
	Unfinished       int // neither of the two
	EarlyRollbacks   int // rolled back within the first 9/10 of the time, so on evidence rather than at the deadline
	Detected         int // runs in which the oracle detected a bad version
	ShareBefore      float64
	WorstShareBefore float64 // highest share of a run before the detection
	ShareAfter       float64 // share of the traffic on the new version, in exposureWindow after detectionGrace
	RunsAboveTarget  int     // runs in which that share was above 0.01
	Reasons          map[string]int
	BytesPerSecond   float64 // reports and replies of the busiest router, in and out, averaged over the move; highest of the runs
	MedianSeconds    float64 // from the start of the move to its end
}

// Run simulates all runs.
func (s Study) Run() Result {
	out := Result{Workload: s.Workload, Scenario: s.Scenario, Runs: s.Runs, Reasons: map[string]int{}}
	var before, after traffic
	var durations []float64
	for i := range s.Runs {
		sim := newSimulation(s.Workload, s.Scenario, s.Seed+uint64(i))
		sim.run()
		out.add(sim)
		before.total += sim.oracle.before.total
		before.newVersion += sim.oracle.before.newVersion
		if sim.oracle.detected {
			after.total += sim.oracle.after.total
			after.newVersion += sim.oracle.after.newVersion
			out.WorstShareBefore = max(out.WorstShareBefore, sim.oracle.before.share())
		}
		durations = append(durations, sim.move(0).Ended.Sub(sim.start).Seconds())
	}
	out.ShareBefore = before.share()
	out.ShareAfter = after.share()
	slices.Sort(durations)
	out.MedianSeconds = durations[len(durations)/2]
	return out
}

func (r *Result) add(sim *simulation) {
	m := sim.move(0)
	switch {
	case sim.settledTick == 0:
		r.Unfinished++
	case m.State == table.MoveDone:
		r.Done++
	default:
		r.RolledBack++
	}
	r.Reasons[m.Reason]++
	r.BytesPerSecond = max(r.BytesPerSecond, float64(slices.Max(sim.bytes))/max(m.Ended.Sub(sim.start).Seconds(), 1))
	if m.State == table.MoveRolledBack && m.Ended.Before(sim.start.Add(sim.workload.Duration*9/10)) {
		r.EarlyRollbacks++
	}
	if sim.oracle.detected {
		r.Detected++
		if sim.oracle.after.share() > 0.01 {
			r.RunsAboveTarget++
		}
	}
}

// Header names the columns of a Result's String.
const Header = "load    version                          runs  done  back  open  early  shown  share before  worst  after 2 s  runs >1%  median end  KB/s"

// String formats the result as a line of the table with the columns of Header.
func (r Result) String() string {
	line := fmt.Sprintf("%-7s %-32s %5d %5d %5d %5d %6d", r.Workload.Name, r.Scenario.Name, r.Runs, r.Done, r.RolledBack, r.Unfinished, r.EarlyRollbacks)
	if !r.Scenario.Bad {
		return line + fmt.Sprintf("%62.0f s %5.1f", r.MedianSeconds, r.BytesPerSecond/1000)
	}
	return line + fmt.Sprintf(" %6d %12.2f%% %5.1f%% %9.3f%% %9d %9.0f s %5.1f", r.Detected, 100*r.ShareBefore, 100*r.WorstShareBefore, 100*r.ShareAfter, r.RunsAboveTarget, r.MedianSeconds, r.BytesPerSecond/1000)
}
