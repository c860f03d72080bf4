package move

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/internal/core/table"
)

// TestBudgetGoesWhereTheTrafficIs checks that unused budget reaches the routers that receive the requests. Requests arrive
// at few routers of a small fleet, and the new version yields no outcomes.
func TestBudgetGoesWhereTheTrafficIs(t *testing.T) {
	const (
		routers = 9
		budget  = 200
		turns   = 400 // of 250 ms
		proof   = 100 // starts required in the first step
	)
	all := func(int, int) bool { return true }
	one := func(_, i int) bool { return i == 0 }
	tests := map[string]struct {
		busy       func(turn, i int) bool                 // whether requests arrive at a router
		deliveries func(turn, i, j int) int               // how often a report from i to j arrives; once when nil
		fault      func(turn int, routers []*table.State) // injects a fault before each turn; nil for none
		minStarts  int                                    // minimum number of starts on all routers
	}{
		"all routers have traffic":             {busy: all, minStarts: proof},
		"one router has traffic":               {busy: one, minStarts: proof},
		"two routers have traffic":             {busy: func(_, i int) bool { return i < 2 }, minStarts: proof},
		"one router has traffic, then another": {busy: func(turn, i int) bool { return i == turn/40%2 }, minStarts: proof},
		"each report comes twice":              {busy: one, deliveries: func(int, int, int) int { return 2 }, minStarts: proof},
		"half of the reports are lost":         {busy: one, deliveries: func(turn, i, j int) int { return (turn + i + j) % 2 }, minStarts: proof},
		"the busy router receives no reports": {busy: one, deliveries: func(_, _, j int) int {
			if j == 0 {
				return 0
			}
			return 1
		}, minStarts: budget / routers},
		"a giver restarts": {busy: one, fault: func(turn int, rs []*table.State) {
			if turn == 40 {
				rs[3].Moves["heat"].Starts = 0
				rs[3].Moves["heat"].BudgetGiven = map[jaywind.VM]int{}
				rs[3].Moves["heat"].Relay.Since = rs[3].Now
				rs[3].Moves["heat"].ReportsSent = 0
			}
		}, minStarts: proof},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var rs []*table.State
			inbox := make([][]table.Event, routers)
			for i := range routers {
				s := newRouter(i)
				s.Membership.Members = routers
				inbox[i] = noRecord()
				rs = append(rs, s)
			}
			for turn := range turns {
				now := start.Add(time.Duration(turn) * 250 * time.Millisecond)
				if c.fault != nil {
					c.fault(turn, rs)
				}
				for i, s := range rs {
					events := inbox[i]
					inbox[i] = nil
					s.BeginTick(now, true, events)
					Decide{}.Step(s)
					for k := range 200 {
						if c.busy(turn, i) {
							VersionFor(s, &table.Request{ID: jaywind.RequestID(fmt.Sprint(i, "-", turn, "-", k)), Model: "heat"})
						}
					}
					for _, x := range s.TakeCommands() {
						x, isReport := x.(table.SendReport)
						for j := range routers {
							n := 1
							if c.deliveries != nil {
								n = c.deliveries(turn, i, j)
							}
							for range n {
								if isReport && j != i {
									inbox[j] = append(inbox[j], table.ReportReceived{Report: x.Report})
								}
							}
						}
					}
				}
			}
			sum := 0
			for _, s := range rs {
				sum += s.Moves["heat"].Starts
				is.Equal(s.Moves["heat"].Step, 0)
			}
			t.Logf("%d starts in all", sum)
			is.True(sum >= c.minStarts)
			is.True(sum <= budget+routers) // the remainder is assigned by hash
		})
	}
}
