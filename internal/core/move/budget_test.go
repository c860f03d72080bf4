package move

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/internal/core/table"
)

// TestBudgetGoesWhereTheTrafficIs has requests come in at few routers of a small fleet, on a version without outcomes.
func TestBudgetGoesWhereTheTrafficIs(t *testing.T) {
	const (
		routers = 9
		budget  = 200
		turns   = 400 // of a quarter of a second
		proof   = 100 // starts that the first step needs
	)
	all := func(int, int) bool { return true }
	one := func(_, i int) bool { return i == 0 }
	tests := map[string]struct {
		busy   func(turn, i int) bool                 // whether requests come in at a router
		carry  func(turn, i, j int) int               // how often a report from i to j arrives; once when nil
		strike func(turn int, routers []*table.State) // nil for nothing
		least  int                                    // starts in all
	}{
		"all have traffic":        {busy: all, least: proof},
		"one has":                 {busy: one, least: proof},
		"two have":                {busy: func(_, i int) bool { return i < 2 }, least: proof},
		"one has, then another":   {busy: func(turn, i int) bool { return i == turn/40%2 }, least: proof},
		"each report comes twice": {busy: one, carry: func(int, int, int) int { return 2 }, least: proof},
		"half of them are lost":   {busy: one, carry: func(turn, i, j int) int { return (turn + i + j) % 2 }, least: proof},
		"the busy one hears nobody": {busy: one, carry: func(_, _, j int) int {
			if j == 0 {
				return 0
			}
			return 1
		}, least: budget / routers},
		"a giver begins again": {busy: one, strike: func(turn int, rs []*table.State) {
			if turn == 40 {
				rs[3].Moves["heat"].Starts = 0
				rs[3].Moves["heat"].Given = map[jaywind.VM]int{}
				rs[3].Moves["heat"].Relay.Since = rs[3].Now
				rs[3].Moves["heat"].Told = 0
			}
		}, least: proof},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var rs []*table.State
			inbox := make([][]table.Event, routers)
			for i := range routers {
				s := newRouter(i)
				s.Membership.Members = routers
				inbox[i] = storeKnowsMove()
				rs = append(rs, s)
			}
			for turn := range turns {
				now := start.Add(time.Duration(turn) * 250 * time.Millisecond)
				if c.strike != nil {
					c.strike(turn, rs)
				}
				for i, s := range rs {
					events := inbox[i]
					inbox[i] = nil
					s.Begin(now, true, events)
					Decide{}.Step(s)
					for k := range 200 {
						if c.busy(turn, i) {
							VersionFor(s, &table.Request{ID: jaywind.RequestID(fmt.Sprint(i, "-", turn, "-", k)), Model: "heat"})
						}
					}
					for _, x := range s.Take() {
						x, tells := x.(table.Tell)
						for j := range routers {
							n := 1
							if c.carry != nil {
								n = c.carry(turn, i, j)
							}
							for range n {
								if tells && j != i {
									inbox[j] = append(inbox[j], table.Reported{Report: x.Report})
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
			is.True(sum >= c.least)
			is.True(sum <= budget+routers) // parts are rounded by hash
		})
	}
}
