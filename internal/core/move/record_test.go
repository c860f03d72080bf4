package move

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/internal/core/table"
)

// TestEndIsRecordedInTime completes the last step shortly before the deadline, with one of three routers dead. The end goes
// unrecorded if only a randomly chosen router writes it and the choice falls on the dead one.
func TestEndIsRecordedInTime(t *testing.T) {
	for seed := range 50 {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			asked := 0
			for i := range 2 {
				s := newRouter(2*seed + i)
				s.Membership.Members = 3
				s.BeginTick(start, true, noRecord())
				Decide{}.Step(s)
				s.TakeCommands()
				m := s.Moves["heat"]
				m.Step = len(steps) - 1
				m.StepAt = start
				m.Proof = table.Proof{Step: minStepOutcomes, Loaded: minLoadedOutcomes, Routes: map[jaywind.Route]table.RouteOutcomes{"risk": {Old: minRouteOutcomes, New: minRouteOutcomes}}}
				s.Now = deadline(m).Add(-recordRetryInterval / 2)
				grow(s, m)
				for _, c := range s.TakeCommands() {
					if r, ok := c.(table.WriteMoveRecord); ok && r.State == table.MoveDone {
						asked++
					}
				}
			}
			is.True(asked > 0)
		})
	}
}
