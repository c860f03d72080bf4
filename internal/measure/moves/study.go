package moves

import (
	"fmt"
	"slices"

	"jaywind/internal/core/table"
)

// Study is a number of seeded runs of one kind at one load.
type Study struct {
	Load Load
	Kind Kind
	Runs int
	Seed uint64 // of the first run
}

// Result sums up a study.
type Result struct {
	Load       Load
	Kind       Kind
	Runs       int
	Done       int // all routers know the move as done by its time
	Back       int // taken back by its time
	Open       int // neither
	Verdicts   int // taken back on evidence rather than at its time
	Shown      int // runs in which the version showed itself bad
	Before     float64
	Early      float64 // worst share of one run before it showed itself bad
	After      float64 // share later than 2 s after it showed itself bad
	AfterRuns  int     // runs in which that was above 1 in 100
	Reasons    map[string]int
	Bytes      float64 // a second on the busiest router's reports and answers, in and out, over its whole move
	MedianTime float64 // seconds from the start of the move to its end
}

// Run plays all runs.
func (y Study) Run() Result {
	out := Result{Load: y.Load, Kind: y.Kind, Runs: y.Runs, Reasons: map[string]int{}}
	var before, after traffic
	var ends []float64
	for i := range y.Runs {
		u := newRun(y.Load, y.Kind, y.Seed+uint64(i))
		u.play()
		out.add(u)
		before.all += u.shown.before.all
		before.recent += u.shown.before.recent
		if u.shown.yes {
			after.all += u.shown.after.all
			after.recent += u.shown.after.recent
			out.Early = max(out.Early, u.shown.before.share())
		}
		ends = append(ends, u.move(0).Ended.Sub(u.start).Seconds())
	}
	out.Before = before.share()
	out.After = after.share()
	slices.Sort(ends)
	out.MedianTime = ends[len(ends)/2]
	return out
}

func (r *Result) add(u *run) {
	m := u.move(0)
	switch {
	case u.settled == 0:
		r.Open++
	case m.State == table.MoveDone:
		r.Done++
	default:
		r.Back++
	}
	r.Reasons[m.Reason]++
	r.Bytes = max(r.Bytes, float64(slices.Max(u.bytes))/max(m.Ended.Sub(u.start).Seconds(), 1))
	if m.State == table.MoveRolledBack && m.Ended.Before(u.start.Add(u.load.Length*9/10)) {
		r.Verdicts++
	}
	if u.shown.yes {
		r.Shown++
		if u.shown.after.share() > 0.01 {
			r.AfterRuns++
		}
	}
}

// Header names the columns of a Result's String.
const Header = "load    version                          runs  done  back  open  early  shown  share before  worst  after 2 s  runs >1%  median end  KB/s"

// String returns the result as one line of a table.
func (r Result) String() string {
	line := fmt.Sprintf("%-7s %-32s %5d %5d %5d %5d %6d", r.Load.Name, r.Kind.Name, r.Runs, r.Done, r.Back, r.Open, r.Verdicts)
	if !r.Kind.Bad {
		return line + fmt.Sprintf("%62.0f s %5.1f", r.MedianTime, r.Bytes/1000)
	}
	return line + fmt.Sprintf(" %6d %12.2f%% %5.1f%% %9.3f%% %9d %9.0f s %5.1f", r.Shown, 100*r.Before, 100*r.Early, 100*r.After, r.AfterRuns, r.MedianTime, r.Bytes/1000)
}
